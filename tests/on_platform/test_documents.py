"""Tests of decoding the platform's documents into lagoonfold's types."""

import json

from lagoonfold.forwarding import RouteKind
from lagoonfold_platform.documents import decode_config, decode_replica
from tests._suite import load_functions

CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r1",
            "Host": "A.example",
            "PathPrefix": "/a/",
            "RouteType": "stream",
            "TimeoutMs": 4000,
            "TargetLatencyMs": 250,
            "Priority": 1,
            "TrafficSplit": [{"Service": "m", "Weight": 90}, {"Service": "n", "Weight": 10}],
            "MaxAttempts": 1,
            "SessionAffinity": True,
            "AllowResume": True,
            "GapTargetMs": 150,
            "Unknown": 1,
        },
        {
            "Name": "r2",
            "Host": "a.example",
            "PathPrefix": "/b/",
            "RouteType": "non_idempotent",
            "TimeoutMs": 1500,
            "TargetLatencyMs": 250,
            "Service": "n",
            "AuthExempt": True,
        },
    ],
    "Services": [
        {"Name": "m", "MaxConns": 150, "Engine": {"TokensPerEvent": 10, "KvCapacityTokens": 48515}},
        {"Name": "n", "MaxConns": 100, "ColdStartS": 3.0, "ColdPerS": 27.0},
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 1000,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [
        {"Name": "t1", "ApiKeys": ["k1", "k2"], "Priority": 1, "RatePerS": 77, "Burst": 70},
        {"Name": "t2", "ApiKeys": ["k3"]},
    ],
}
ENTRY = {
    "Service": "m",
    "Address": "10.0.0.9:8080",
    "Zone": "zone-a",
    "Slots": 12,
    "State": "ready",
    "Version": "v1.1",
    "ColdRemainingMs": 500,
    "born": 1700000000000,
}


def test_configuration() -> None:
    """Routes, services, accounts and limits are decoded; times are converted to seconds."""
    config = decode_config(json.dumps(CONFIG).encode()).unwrap()
    stream, write = config.routes
    assert config.version == 7
    assert (stream.host, stream.kind, stream.timeout_s) == ("a.example", RouteKind.STREAM, 4.0)
    assert stream.may_repeat and stream.is_program_turn and stream.max_upstreams == 1
    assert [target.weight for target in stream.targets] == [90, 10]
    assert stream.patience_s == 2.0 and write.patience_s is None
    assert write.kind is RouteKind.AT_MOST_ONCE and write.is_open and not write.may_repeat
    warm, cold = config.services_by_name["m"], config.services_by_name["n"]
    assert (warm.tokens_per_event, warm.cold_start_s) == (10, 0.0)
    assert (cold.cold_start_s, cold.cold_per_s) == (3.0, 27.0)
    assert (warm.memory_tokens, cold.memory_tokens) == (48_515, 0)
    assert config.limits.max_body_bytes == 1000
    account = config.accounts_by_key["k2"]
    assert (account.name, account.rank, account.limit.rate_per_s) == ("t1", 1, 77)
    assert config.accounts_by_key["k3"].limit is None


def test_patience_of_callers_is_the_longest_of_the_platforms_bounds() -> None:
    """It is 2 s, four objectives or eight pauses."""
    for fields, patience_s in (
        ({}, 2.0),
        ({"TargetLatencyMs": 600}, 2.4),
        ({"GapTargetMs": 300}, 2.4),
    ):
        route = {**CONFIG["Routes"][0], **fields}
        document = json.dumps({**CONFIG, "Routes": [route]}).encode()
        assert decode_config(document).unwrap().routes[0].patience_s == patience_s


def test_configuration_without_tenants_and_unreadable_ones() -> None:
    """Without tenants no key is required; a faulty document is refused with a reason."""
    bare = {key: value for key, value in CONFIG.items() if key != "Tenants"}
    assert decode_config(json.dumps(bare).encode()).unwrap().accounts_by_key is None
    assert "cannot be read" in decode_config(b"{").err_value
    bad = json.loads(json.dumps(CONFIG))
    bad["Routes"][0]["RouteType"] = "unheard-of"
    assert decode_config(json.dumps(bad).encode()).is_err()
    bad["Routes"][0]["RouteType"] = "stream"
    del bad["Routes"][0]["TrafficSplit"]
    assert "names no service" in decode_config(json.dumps(bad).encode()).err_value


def test_replica_entry() -> None:
    """An entry becomes a replica; its start time distinguishes two starts under one id."""
    replica = decode_replica("i-1", json.dumps(ENTRY).encode()).unwrap()
    assert (replica.replica_id, replica.service, replica.slots) == ("i-1", "m", 12)
    assert not replica.is_draining and replica.started == 1700000000000
    draining = decode_replica("i-1", json.dumps(ENTRY | {"State": "draining"}).encode()).unwrap()
    assert draining.is_draining and draining.version == "v1.1"
    without = {key: value for key, value in ENTRY.items() if key != "Version"}
    assert decode_replica("i-1", json.dumps(without).encode()).unwrap().version == ""


def test_time_for_which_a_replica_is_cold() -> None:
    """A value that is no time must not hide the replica; it is negative, which is reported."""
    for value, cold_s in ((500, 0.5), (None, None), (-7, -0.007), ("x", -1.0), (10**400, -1.0)):
        entry = json.dumps({**ENTRY, "ColdRemainingMs": value}).encode()
        replica = decode_replica("i-1", entry).unwrap()
        assert (replica.cold_s, replica.started_unix_s) == (cold_s, 1.7e9), value


def test_unreadable_replica_entries_are_refused() -> None:
    """Entries with missing fields, wrong types, unknown states or undecodable bytes are refused."""
    for bad in ({"State": "resting"}, {"Slots": "many"}, {"Address": None}, {"Version": 2}):
        assert decode_replica("i-1", json.dumps(ENTRY | bad).encode()).is_err()
    missing = {key: value for key, value in ENTRY.items() if key != "Zone"}
    assert decode_replica("i-1", json.dumps(missing).encode()).is_err()
    assert decode_replica("i-1", b"\xff").is_err()


def test_odd_entries_of_other_writers_name_no_replica() -> None:
    """They are deeply nested, or a number is out of range."""
    plain = json.dumps(ENTRY).encode()
    deep = b"[" * 100_000 + b"]" * 100_000
    for odd in (
        plain[:-1] + b',"More":' + deep + b"}",
        plain.replace(b"12", b"9" * 5_000),
        plain.replace(b"12", b"1e400"),
    ):
        assert decode_replica("i-1", odd).is_err(), odd[:200]
    assert decode_config(json.dumps(CONFIG).encode()[:-1] + b',"More":' + deep + b"}").is_err()


load_tests = load_functions(globals())
