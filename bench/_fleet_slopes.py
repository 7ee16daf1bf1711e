"""Measures control traffic, processor time and memory of idle instances by the size of the fleet.

All instances are in one failure domain, so one of them watches the configuration for the others.
Bytes are the payloads of the sockets in both directions. There are no requests of callers, so all
bytes are control traffic.
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
class IdleSamples:
    """Samples of an instance in an idle fleet by quantity."""

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


def _kinds_by_address(fleet: Fleet) -> dict[str, str]:
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
        bytes_by_kind=read_bytes_by_peer(pid, _kinds_by_address(fleet)),
        calls_by_operation=status["store_calls"],
    )


def _add_window(idle: IdleSamples, before: _Reading, after: _Reading) -> None:
    seconds = after.at_s - before.at_s
    idle.add("cpu_percent", (after.cpu_s - before.cpu_s) / seconds * 100)
    idle.add("resident_bytes", after.resident_bytes)
    total = 0.0
    for kind in _KINDS:
        transferred = after.bytes_by_kind.get(kind, 0) - before.bytes_by_kind.get(kind, 0)
        idle.add(f"{kind}_bytes_per_s", transferred / seconds)
        total += transferred / seconds
    idle.add("control_bytes_per_s", total)
    calls = sum(after.calls_by_operation.values()) - sum(before.calls_by_operation.values())
    idle.add("kv_calls_per_s", calls / seconds)


def _measure_idle(fleet: Fleet) -> IdleSamples:
    """Return samples of the first instance, which watches the configuration for the others."""
    time.sleep(SETTLE_S)
    idle = IdleSamples()
    watcher = fleet.instances_by_id["i1"]
    for _ in range(WINDOWS):
        before = _read(fleet, watcher)
        time.sleep(WINDOW_S)
        _add_window(idle, before, _read(fleet, watcher))
    return idle


def _measure_changes(fleet: Fleet, idle: IdleSamples, quantity: str) -> None:
    """Measure the time from the acceptance of a change until all instances have applied it."""
    for number in range(CHANGES):
        name = f"{quantity}-{number}"
        version = fleet.operate("account", "add", name, "--rate=1", "--burst=1")["version"]
        accepted_at_s = time.monotonic()
        wait_until(
            lambda version=version: _is_applied_everywhere(fleet, version), f"version {version}"
        )
        idle.add(quantity, time.monotonic() - accepted_at_s)


def _is_applied_everywhere(fleet: Fleet, version: int) -> bool:
    operators = [handle.operator for handle in fleet.instances_by_id.values()]
    statuses = [json.loads(call("GET", operator, "/v1/status")[1]) for operator in operators]
    return all(status["config_version"] >= version for status in statuses)


def _fit_all(prefix: str, per: str, samples_by_size: dict[int, IdleSamples]) -> list[Slope]:
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
    """Return the unit given by the ending of a quantity's name."""
    for ending, unit in _UNITS_BY_ENDING.items():
        if name.endswith(ending):
            return unit
    raise ValueError(f"{name} has no unit")


def measure_instances() -> list[Slope]:
    """Measure idle fleets of `INSTANCE_COUNTS` instances with one engine."""
    samples_by_count: dict[int, IdleSamples] = {}
    for count in INSTANCE_COUNTS:
        options = {"instances": count, "engines": 1, "failure_domains": (_DOMAIN,)}
        with Fleet.start(lease_s=LEASE_S, **options) as fleet:
            samples_by_count[count] = _measure_idle(fleet)
            _measure_changes(fleet, samples_by_count[count], "change_s")
            fleet.inject_store(mute_watches=True)
            _measure_changes(fleet, samples_by_count[count], "silent_watch_change_s")
    return _fit_all("watcher_", "instance in its group", samples_by_count)


def measure_engines() -> list[Slope]:
    """Measure one idle instance with `ENGINE_COUNTS` engines."""
    samples_by_count: dict[int, IdleSamples] = {}
    for count in ENGINE_COUNTS:
        with Fleet.start(instances=1, engines=count, lease_s=LEASE_S) as fleet:
            samples_by_count[count] = _measure_idle(fleet)
    return _fit_all("instance_", "engine", samples_by_count)
