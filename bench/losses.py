"""Measures how long the shards of crashed or stopped instances are not open at any instance.

    python -m bench.losses --event=crash --instances=40 --lost=20 --lease_s=9

Runs the ownership parts of the instances in one event loop, 4 shards each, over 10 failure domains,
with a key-value stand-in in another process that answers in 2 ms. Then it crashes `lost` instances
at once (`crash`) or all instances of one failure domain (`domain`), or it stops `lost` instances
one after another with a handover (`stop`). Prints JSON with the least, median and greatest time in
seconds: from the crash until another instance has opened the shard, or with `stop` between the
close and the next open. All instances share one thread, so work that a fleet does in parallel is
serialized here and takes longer.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import fire
import msgspec
import trio

from bench._kv_process import connect, start_kv
from bench._owner import create_program, start_owner
from lagoonfold import ShardId
from lagoonfold.membership import shard_of
from lagoonfold_node._ownership import Ownership, OwnershipSettings

SHARDS_PER_INSTANCE = 4
DOMAINS = 10
PROGRAMS_PER_SHARD = 5
KV_DELAY_S = 0.002
HAND_OVER_LIMIT_S = 30.0
START_LIMIT_S = 120.0
POLL_S = 0.01


@dataclass(slots=True)
class _Instance:
    """An instance of the benchmark; cancelling `scope` ends it as in a crash."""

    name: str
    failure_domain: str
    ownership: Ownership | None = None
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def open_shards(self) -> frozenset[ShardId]:
        """Return the shards whose ownership the instance holds."""
        if self.ownership is None or self.scope.cancel_called:
            return frozenset()
        shards = self.ownership.context.board.shards.read()
        return frozenset(shard_id for shard_id, shard in shards.items() if shard.holds_ownership())


@dataclass(slots=True)
class _Fleet:
    """The instances and the address of their key-value service."""

    address: str
    settings: OwnershipSettings
    instances: list[_Instance] = field(default_factory=list)

    async def run(self, instance: _Instance) -> None:
        """Run one instance until its scope is cancelled."""
        with instance.scope:
            async with start_owner(
                connect(self.address),
                self.settings,
                name=instance.name,
                failure_domain=instance.failure_domain,
            ) as ownership:
                instance.ownership = ownership
                await trio.sleep_forever()

    def open_shards(self) -> frozenset[ShardId]:
        """Return the shards whose ownership any instance holds."""
        return frozenset().union(*(instance.open_shards() for instance in self.instances))

    async def wait_until_placed(self) -> None:
        """Wait until all shards are open and every instance has one or more."""
        with trio.fail_after(START_LIMIT_S):
            while not self._is_placed():
                await trio.sleep(POLL_S)

    def _is_placed(self) -> bool:
        counts = [len(instance.open_shards()) for instance in self.instances]
        return min(counts) > 0 and sum(counts) == self.settings.shard_count

    async def fill(self) -> None:
        """Create programs in every shard."""
        missing = {ShardId(each): PROGRAMS_PER_SHARD for each in range(self.settings.shard_count)}
        number = 0
        while any(missing.values()):
            number += 1
            program_id = f"prg-{number}"
            shard_id = shard_of(program_id, self.settings.shard_count)
            if missing[shard_id]:
                missing[shard_id] -= 1
                await self._create(shard_id, program_id)

    async def _create(self, shard_id: ShardId, program_id: str) -> None:
        owner = next(each for each in self.instances if shard_id in each.open_shards())
        await create_program(owner.ownership.shards.find_open(shard_id), program_id)


Event = Callable[[_Fleet, int], Awaitable[list[float]]]
_EVENTS_BY_NAME: dict[str, Event] = {}


def _event(action: Event) -> Event:
    _EVENTS_BY_NAME[action.__name__.removeprefix("_")] = action
    return action


@_event
async def _crash(fleet: _Fleet, lost: int) -> list[float]:
    return await _crash_instances(fleet, fleet.instances[:lost])


@_event
async def _domain(fleet: _Fleet, lost: int) -> list[float]:
    domain = fleet.instances[0].failure_domain
    return await _crash_instances(
        fleet, [each for each in fleet.instances if each.failure_domain == domain]
    )


async def _crash_instances(fleet: _Fleet, lost_instances: list[_Instance]) -> list[float]:
    affected = frozenset().union(*(each.open_shards() for each in lost_instances))
    started_at_s = trio.current_time()
    for instance in lost_instances:
        instance.scope.cancel()
    return await _measure_reopening(fleet, affected, started_at_s)


@_event
async def _stop(fleet: _Fleet, lost: int) -> list[float]:
    times_s: list[float] = []
    for instance in fleet.instances[:lost]:
        times_s += await _stop_one(fleet, instance)
    return times_s


async def _stop_one(fleet: _Fleet, instance: _Instance) -> list[float]:
    """Stop one instance; return how long each of its shards was closed everywhere."""
    affected = instance.open_shards()
    closed_at_s: dict[ShardId, float] = {}
    opened_at_s: dict[ShardId, float] = {}
    instance.ownership.context.board.stopping.write(True)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_hand_over, instance)
        while len(opened_at_s) < len(affected):
            held, elsewhere = instance.open_shards(), fleet.open_shards()
            for shard_id in affected - held:
                closed_at_s.setdefault(shard_id, trio.current_time())
                if shard_id in elsewhere:
                    opened_at_s.setdefault(shard_id, trio.current_time())
            await trio.sleep(POLL_S)
    instance.scope.cancel()
    return [opened_at_s[each] - closed_at_s[each] for each in affected]


async def _hand_over(instance: _Instance) -> None:
    await instance.ownership.hand_over(timeout_s=HAND_OVER_LIMIT_S)
    await instance.ownership.leave()


async def _measure_reopening(
    fleet: _Fleet, affected: frozenset[ShardId], started_at_s: float
) -> list[float]:
    times_s: list[float] = []
    waiting = set(affected)
    while waiting:
        opened = waiting & fleet.open_shards()
        times_s += [trio.current_time() - started_at_s] * len(opened)
        waiting -= opened
        await trio.sleep(POLL_S)
    return times_s


async def _run(event: str, instances: int, lost: int, lease_s: float) -> None:
    settings = OwnershipSettings(
        shard_count=instances * SHARDS_PER_INSTANCE, lease_s=lease_s, renew_s=lease_s / 3
    )
    async with start_kv(delay_s=KV_DELAY_S) as address, trio.open_nursery() as nursery:
        fleet = _Fleet(address, settings)
        for number in range(instances):
            fleet.instances.append(_Instance(f"entry-{number}", f"domain-{number % DOMAINS}"))
            nursery.start_soon(fleet.run, fleet.instances[-1])
        await fleet.wait_until_placed()
        await fleet.fill()
        times_s = sorted(await _EVENTS_BY_NAME[event](fleet, lost))
        print(msgspec.json.encode(_summary(event, instances, lease_s, times_s)).decode())
        nursery.cancel_scope.cancel()


def _summary(event: str, instances: int, lease_s: float, times_s: list[float]) -> dict:
    return {
        "event": event,
        "instances": instances,
        "lease_s": lease_s,
        "shards": len(times_s),
        "least_s": round(times_s[0], 3),
        "median_s": round(times_s[len(times_s) // 2], 3),
        "greatest_s": round(times_s[-1], 3),
    }


def main(event: str = "crash", instances: int = 40, lost: int = 1, lease_s: float = 9.0) -> None:
    """Run one event and print how long the affected shards were without an owner."""
    if event not in _EVENTS_BY_NAME:
        raise SystemExit(f"event is {event!r}, not one of {', '.join(_EVENTS_BY_NAME)}")
    trio.run(_run, event, instances, lost, lease_s)


if __name__ == "__main__":
    fire.Fire(main)
