"""Read the state of the running fleet, and wait for states."""

import json
from base64 import b64decode, b64encode

from standins.fleet import call, wait_until
from tests.failure._world import Environment

JOURNAL_KEY_RANGE = (b"shard/", b"shard0")


def config_version(env: Environment, instance_id: str) -> int:
    """Return the version of the configuration that an instance serves."""
    return _status(env, instance_id)["config_version"]


def running_calls(env: Environment, instance_id: str) -> int:
    """Return how many programs' calls an instance is executing."""
    return _status(env, instance_id)["calls"]


def ownership_revision(env: Environment, instance_id: str) -> int:
    """Return the revision of the ownership table that an instance has read."""
    return _status(env, instance_id)["ownership_revision"]


def wait_config_applied(env: Environment) -> None:
    """Wait until every instance serves the current configuration."""
    newest = max(entry["version"] for entry in env.fleet.operate("history"))
    wait_until(
        lambda: all(config_version(env, name) >= newest for name in env.running()),
        f"version {newest} everywhere",
    )


def wait_list_applied(env: Environment, limit_s: float) -> None:
    """Wait until every instance has applied the published instance list."""
    wait_until(
        lambda: all(env.listed_at(name) == env.listed() for name in env.running()),
        "the instance list everywhere",
        limit_s,
    )


def store_hits(env: Environment) -> int:
    """Return how many requests to the key-value service an injected fault has affected."""
    return json.loads(call("GET", env.fleet.store_address, "/_faults")[1])["hits"]


def is_in_journal(env: Environment, marker: str) -> bool:
    """Return whether the journals in the key-value service contain a marker."""
    start, end = (b64encode(key).decode() for key in JOURNAL_KEY_RANGE)
    body = call("POST", env.fleet.store_address, "/v3/kv/range", {"key": start, "range_end": end})
    return any(marker.encode() in _value(entry) for entry in json.loads(body[1])["kvs"])


def placements(env: Environment, program_id: str) -> list[str]:
    """Return the upstreams on which the program's calls were placed, in order."""
    address = env.fleet.instances_by_id[env.owner_of(program_id)].operator
    decisions = json.loads(call("GET", address, f"/v1/explain/{program_id}")[1])["decisions"]
    return [entry["inputs"]["decided"] for entry in decisions if entry["kind"] == "placement"]


def engines_caching(env: Environment, program_id: str) -> list[str]:
    """Return the engines that have a prefix of a program cached."""
    return [
        name
        for name in env.live_upstreams()
        if env.fleet.entries_by_id[name]["role"] == "engine"
        and program_id
        in call("GET", env.fleet.entries_by_id[name]["address"], "/v1/cache")[1].decode()
    ]


def stored_entries(env: Environment, key: str) -> list[dict]:
    """Return the entry of a key in the key-value service, or an empty list if it is absent."""
    body = {"key": b64encode(key.encode()).decode()}
    return json.loads(call("POST", env.fleet.store_address, "/v3/kv/range", body)[1])["kvs"]


def shard_allocator(env: Environment) -> str:
    """Return the instance that assigns shards to owners."""
    wait_until(lambda: stored_entries(env, "allocator"), "an allocator")
    return _value(stored_entries(env, "allocator")[0]).decode().partition("/")[0]


def _status(env: Environment, instance_id: str) -> dict:
    address = env.fleet.instances_by_id[instance_id].operator
    return json.loads(call("GET", address, "/v1/status")[1])


def _value(entry: dict) -> bytes:
    return b64decode(entry["value"])
