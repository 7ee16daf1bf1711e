"""The operator's configuration: routes, services, and client accounts with their limits."""

from soak._replicas import COLD_START_S, MEMORY_TOKENS_BY_SERVICE, ORDERS
from soak.run_checks import COLD_PER_S

SERVICES = ("quill", "pen")
TENANTS = 8
FLOOD_ACCOUNT_NUMBER = TENANTS + 1
SURGE_ACCOUNT_NUMBER = TENANTS + 2
SURGE_RATE_PER_S = 1_000.0  # does not limit the account
FLOOD_RATE_PER_S = 10.0  # of the account that floods, also its burst


def make_config(version: int, *, timeout_ms: int, rate_per_s: float) -> dict:
    """Return a configuration with routes that may be resumed, and one that may not.

    One of them is split, and one keeps its turns at the storage processes.
    """
    route = {
        "Host": "a.example",
        "RouteType": "stream",
        "Priority": 1,
        "TargetLatencyMs": 250,
        "TimeoutMs": timeout_ms,
        "MaxAttempts": 1,
        "RetainContext": False,
        "RetentionS": 60.0,
        "SessionAffinity": True,
        "AllowResume": True,
        "GapTargetMs": 150,
    }
    split = [{"Service": "quill", "Weight": 0.5}, {"Service": "pen", "Weight": 0.5}]
    rates = [(number, rate_per_s) for number in range(1, TENANTS + 1)]
    rates.append((FLOOD_ACCOUNT_NUMBER, FLOOD_RATE_PER_S))
    rates.append((SURGE_ACCOUNT_NUMBER, SURGE_RATE_PER_S))
    engine = {"Slots": 8, "TokensPerEvent": 12}
    return {
        "Version": version,
        "Routes": [
            {**route, "Name": "drafts", "PathPrefix": "/drafts/", "Service": "quill"},
            {**route, "Name": "written", "PathPrefix": "/written/", "Service": "pen"},
            {**route, "Name": "sweeps", "PathPrefix": "/sweeps/", "Service": "quill"},
            {
                **route,
                "Name": "kept",
                "PathPrefix": "/kept/",
                "Service": "quill",
                "RetainContext": True,
            },
            {**route, "Name": "split", "PathPrefix": "/split/", "TrafficSplit": split},
            {
                **route,
                "Name": "once",
                "PathPrefix": "/once/",
                "Service": "pen",
                "AllowResume": False,
            },
            {
                **route,
                "Name": ORDERS,
                "PathPrefix": f"/{ORDERS}/",
                "Service": "pen",
                "RouteType": "non_idempotent",
                "AllowResume": False,
            },
        ],
        "Services": [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConns": 130,
                "Engine": {**engine, "KvCapacityTokens": MEMORY_TOKENS_BY_SERVICE[name]},
                "ColdStartS": COLD_START_S,
                "ColdPerS": COLD_PER_S,
            }
            for name in SERVICES
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [
            {
                "Name": f"tenant-{number}",
                "ApiKeys": [f"key-{number}"],
                "Priority": number % 2,
                "RatePerS": rate,
                "Burst": rate,
            }
            for number, rate in rates
        ],
    }
