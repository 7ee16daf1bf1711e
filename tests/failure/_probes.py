"""What tests read from the running fleet to know that a state has been reached."""

import json
from base64 import b64decode, b64encode

from standins.fleet import call, wait_until
from tests.failure._world import World

JOURNALS = (b"shard/", b"shard0")


def config_version(each: World, instance_id: str) -> int:
    """Return the version of the configuration that an instance serves."""
    return _status(each, instance_id)["config_version"]


def calls_under_way(each: World, instance_id: str) -> int:
    """Return how many programs' calls an instance executes."""
    return _status(each, instance_id)["calls"]


def ownership_revision(each: World, instance_id: str) -> int:
    """Return the revision of the ownership table that an instance has read."""
    return _status(each, instance_id)["ownership_revision"]


def wait_in_force(each: World) -> None:
    """Wait until every instance serves the configuration as it is now."""
    newest = max(entry["version"] for entry in each.fleet.operate("history"))
    wait_until(
        lambda: all(config_version(each, name) >= newest for name in each.running()),
        f"version {newest} everywhere",
    )


def wait_listed(each: World, limit_s: float) -> None:
    """Wait until every instance knows the upstreams as they are published."""
    wait_until(
        lambda: all(each.listed_at(name) == each.listed() for name in each.running()),
        "the instance list everywhere",
        limit_s,
    )


def store_hits(each: World) -> int:
    """Return how many calls of the key-value service the injected faults have hit."""
    return json.loads(call("GET", each.fleet.store_address, "/_faults")[1])["hits"]


def is_stored(each: World, mark: str) -> bool:
    """Tell whether the journals in the key-value service hold a mark."""
    start, end = (b64encode(key).decode() for key in JOURNALS)
    body = call("POST", each.fleet.store_address, "/v3/kv/range", {"key": start, "range_end": end})
    return any(mark.encode() in _value(entry) for entry in json.loads(body[1])["kvs"])


def placements(each: World, program_id: str) -> list[str]:
    """Return the upstreams at which the program's calls were placed, the first one first."""
    address = each.fleet.instances_by_id[each.owner_of(program_id)].operator
    decisions = json.loads(call("GET", address, f"/v1/explain/{program_id}")[1])["decisions"]
    return [each["inputs"]["decided"] for each in decisions if each["kind"] == "placement"]


def holders(each: World, program_id: str) -> list[str]:
    """Return the engines that hold a prefix of a program."""
    return [
        name
        for name in each.live_upstreams()
        if each.fleet.entries_by_id[name]["role"] == "engine"
        and program_id
        in call("GET", each.fleet.entries_by_id[name]["address"], "/v1/cache")[1].decode()
    ]


def stored(each: World, key: str) -> list[dict]:
    """Return the entry of a key in the key-value service, as a list of one or none."""
    body = {"key": b64encode(key.encode()).decode()}
    return json.loads(call("POST", each.fleet.store_address, "/v3/kv/range", body)[1])["kvs"]


def allocator(each: World) -> str:
    """Return the instance that places shards."""
    wait_until(lambda: stored(each, "allocator"), "an allocator")
    return _value(stored(each, "allocator")[0]).decode().partition("/")[0]


def _status(each: World, instance_id: str) -> dict:
    address = each.fleet.instances_by_id[instance_id].operator
    return json.loads(call("GET", address, "/v1/status")[1])


def _value(entry: dict) -> bytes:
    return b64decode(entry["value"])
