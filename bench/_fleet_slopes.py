"""What idle instances cost by the size of the fleet: control traffic, processor time, memory.

All instances stand in one failure domain, so that one of them watches the configuration for the
others. Bytes are those of the sockets' payloads, both directions; without callers' requests, all
of them are control.
"""

import json
import time
from collections import defaultdict
from dataclasses import dataclass, field

from bench._fit import Point, Slope, fit
from bench._sockets import read_bytes_by_peer
from bench._usage import read_usage
from standins.fleet import Fleet, InstanceHandle, call, wait_until

WINDOWS = 3
WINDOW_S = 8.0
SETTLE_S = 6.0
LEASE_S = 9.0
CHANGES = 8
INSTANCE_COUNTS = (1, 2, 4)
ENGINE_COUNTS = (1, 4, 8)
_DOMAIN = "domain-a"
_UNITS_BY_ENDING = {
    "_bytes_per_s": "bytes/s",
    "_calls_per_s": "calls/s",
    "_percent": "% of a core",
    "_bytes": "bytes",
    "_s": "s",
}
_KINDS = ("kv", "list", "peers", "engines")


@dataclass(slots=True)
class Idle:
    """Samples of an idle fleet's instances by quantity."""

    samples_by_name: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))

    def add(self, name: str, value: float) -> None:
        """Add one sample."""
        self.samples_by_name[name].append(value)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Reading:
    at_s: float
    cpu_s: float
    resident_bytes: int
    bytes_by_kind: dict[str, int]
    calls_by_operation: dict[str, int]


def _names(fleet: Fleet) -> dict[str, str]:
    names = {fleet.store_address: "kv", fleet.list_address: "list"}
    names.update({handle.peer: "peers" for handle in fleet.instances_by_id.values()})
    for upstream_id in fleet.upstreams_by_id:
        names[fleet.entries_by_id[upstream_id]["address"]] = "engines"
    return names


def _read(fleet: Fleet, handle: InstanceHandle) -> _Reading:
    pid = handle.process.child.pid
    usage = read_usage(pid)
    status = json.loads(call("GET", handle.operator, "/v1/status")[1])
    return _Reading(
        at_s=time.monotonic(),
        cpu_s=usage.cpu_s,
        resident_bytes=usage.resident_bytes,
        bytes_by_kind=read_bytes_by_peer(pid, _names(fleet)),
        calls_by_operation=status["store_calls"],
    )


def _add_window(idle: Idle, before: _Reading, after: _Reading) -> None:
    seconds = after.at_s - before.at_s
    idle.add("cpu_percent", (after.cpu_s - before.cpu_s) / seconds * 100)
    idle.add("resident_bytes", after.resident_bytes)
    total = 0.0
    for kind in _KINDS:
        moved = after.bytes_by_kind.get(kind, 0) - before.bytes_by_kind.get(kind, 0)
        idle.add(f"{kind}_bytes_per_s", moved / seconds)
        total += moved / seconds
    idle.add("control_bytes_per_s", total)
    calls = sum(after.calls_by_operation.values()) - sum(before.calls_by_operation.values())
    idle.add("kv_calls_per_s", calls / seconds)


def _measure_idle(fleet: Fleet) -> Idle:
    """Return the samples of the first instance, which is the watcher."""
    time.sleep(SETTLE_S)
    idle = Idle()
    watcher = fleet.instances_by_id["i1"]
    for _ in range(WINDOWS):
        before = _read(fleet, watcher)
        time.sleep(WINDOW_S)
        _add_window(idle, before, _read(fleet, watcher))
    return idle


def _measure_changes(fleet: Fleet, idle: Idle, quantity: str) -> None:
    """Time changes of the configuration from their acceptance until they are in force."""
    for number in range(CHANGES):
        name = f"{quantity}-{number}"
        version = fleet.operate("account", "add", name, "--rate=1", "--burst=1")["version"]
        accepted_at_s = time.monotonic()
        wait_until(lambda version=version: _is_everywhere(fleet, version), f"version {version}")
        idle.add(quantity, time.monotonic() - accepted_at_s)


def _is_everywhere(fleet: Fleet, version: int) -> bool:
    operators = [handle.operator for handle in fleet.instances_by_id.values()]
    statuses = [json.loads(call("GET", operator, "/v1/status")[1]) for operator in operators]
    return all(status["config_version"] >= version for status in statuses)


def _fit_all(prefix: str, per: str, samples_by_size: dict[int, Idle]) -> list[Slope]:
    names = sorted(next(iter(samples_by_size.values())).samples_by_name)
    return [
        fit(
            f"{prefix}{name}",
            _unit(name),
            per,
            [
                Point(size=size, samples=tuple(idle.samples_by_name[name]))
                for size, idle in samples_by_size.items()
            ],
        )
        for name in names
    ]


def _unit(name: str) -> str:
    """Return the unit that a quantity's name ends with."""
    for ending, unit in _UNITS_BY_ENDING.items():
        if name.endswith(ending):
            return unit
    raise ValueError(f"{name} has no unit")


def measure_instances() -> list[Slope]:
    """Measure idle fleets of growing numbers of instances before one engine."""
    watchers: dict[int, Idle] = {}
    for count in INSTANCE_COUNTS:
        options = {"instances": count, "engines": 1, "failure_domains": (_DOMAIN,)}
        with Fleet.start(lease_s=LEASE_S, **options) as fleet:
            watchers[count] = _measure_idle(fleet)
            _measure_changes(fleet, watchers[count], "change_s")
            fleet.inject_store(mute_watches=True)
            _measure_changes(fleet, watchers[count], "silent_watch_change_s")
    return _fit_all("watcher_", "instance in its group", watchers)


def measure_engines() -> list[Slope]:
    """Measure one idle instance before growing numbers of engines."""
    watchers: dict[int, Idle] = {}
    for count in ENGINE_COUNTS:
        with Fleet.start(instances=1, engines=count, lease_s=LEASE_S) as fleet:
            watchers[count] = _measure_idle(fleet)
    return _fit_all("instance_", "engine", watchers)
