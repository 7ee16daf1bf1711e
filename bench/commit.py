"""Measures how the interval of group commit affects commit latency and the number of writes.

    python -m bench.commit [--rate 13.4] [--seconds 4] [--seeds 3] [--shards 1]
        [--instances 1] [--by_domain] [--intervals_ms 5,50]

Turns arrive at random at the instances of one failure domain, `rate` a second at each, which owns
`shards` shards. Each turn commits an intent and an outcome to a key-value stand-in in another
process that answers in 2 ms. Prints a JSON line for each interval with the least and the greatest
value over the seeds: the latency of a commit in ms, the calls to the key-value stand-in and the
journal entries a second, the records per call, the bytes per turn, and the processor time of the
instances and the load together in percent of a core. `by_domain` commits through the failure
domain's committer.
"""

import random
import time
from dataclasses import asdict, dataclass

import fire
import msgspec
import trio

from bench._kv_process import connect, start_kv
from bench._owner import (
    create_program,
    make_outcome,
    make_request,
    start_domain,
)
from lagoonfold_node._ownership import OpenShard, Ownership, OwnershipSettings

INTERVALS_MS = (0, 5, 20, 50, 100, 250, 500)
KV_DELAY_S = 0.002
_MS_PER_S = 1_000


class _LoadRun:
    """A run of the load at one interval with one seed."""

    def __init__(self, owners: tuple[Ownership, ...], rate_per_s: float, seed: int) -> None:
        self.latencies_s: list[float] = []
        self.turns = 0
        self._owners = owners
        self._rate_per_s = rate_per_s
        self._random = random.Random(seed)

    async def run(self, seconds: float) -> None:
        """Start turns at random times and wait until all have ended."""
        next_at_s = trio.current_time()
        ends_at_s = next_at_s + seconds
        async with trio.open_nursery() as nursery:
            while (next_at_s := self._next_after(next_at_s)) < ends_at_s:
                await trio.sleep_until(next_at_s)
                self.turns += 1
                nursery.start_soon(self._turn, f"prg-{self.turns}")

    def _next_after(self, at_s: float) -> float:
        return at_s + self._random.expovariate(self._rate_per_s)

    async def _turn(self, program_id: str) -> None:
        found = (owner.shards.find_open_for(program_id) for owner in self._owners)
        shard = next(shard for shard in found if shard is not None)
        await create_program(shard, program_id)
        request = make_request(program_id, 1)
        execute = shard.state.decide_begin(request, 0.0, run_id="bench").unwrap()
        await self._commit_timed(shard, execute.records)
        await self._commit_timed(shard, (make_outcome(request),))

    async def _commit_timed(self, shard: OpenShard, records: tuple) -> None:
        started_at_s = time.perf_counter()
        (await shard.commit(records)).unwrap()
        self.latencies_s.append(time.perf_counter() - started_at_s)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Load:
    """The load; `rate_per_s` and `shards` are per instance."""

    rate_per_s: float
    seconds: float
    shards: int
    instances: int
    by_domain: bool


async def _measure(load: _Load, interval_s: float, seed: int) -> dict:
    settings = OwnershipSettings(
        shard_count=load.shards * load.instances,
        commit_interval_s=interval_s,
        commits_through_committer=load.by_domain,
        checkpoint_commits=1_000_000,
    )
    async with start_kv(delay_s=KV_DELAY_S) as address:
        stores = tuple(connect(address) for _ in range(load.instances))
        async with start_domain(stores, settings) as owners:
            run = _LoadRun(owners, load.rate_per_s * load.instances, seed)
            bytes_before = _count_bytes(owners)
            calls_before = _count_calls(owners)
            cpu_before_s = time.process_time()
            await run.run(load.seconds)
            cpu_s = time.process_time() - cpu_before_s
            calls = _count_calls(owners) - calls_before
            return {
                "p50_ms": _quantile(run.latencies_s, 0.5) * _MS_PER_S,
                "p99_ms": _quantile(run.latencies_s, 0.99) * _MS_PER_S,
                "turns_per_s": run.turns / load.seconds,
                "calls_per_s": calls / load.seconds,
                "entries_per_s": _count(owners, "commits") / load.seconds,
                "records_per_call": _count(owners, "committed_records") / calls,
                "bytes_per_turn": (_count_bytes(owners) - bytes_before) / run.turns,
                "cpu_percent": 100 * cpu_s / load.seconds,
            }


def _count(owners: tuple[Ownership, ...], name: str, reason: str = "") -> float:
    return sum(owner.context.metrics.counter_value(name, reason) for owner in owners)


def _count_calls(owners: tuple[Ownership, ...]) -> float:
    """Return the number of store calls with journal entries."""
    return _count(owners, "journal_calls", "shared") + _count(owners, "journal_calls", "single")


def _count_bytes(owners: tuple[Ownership, ...]) -> int:
    """Return the bytes of all journal entries since the owners fenced their shards."""
    shards = [shard for owner in owners for shard in owner.context.board.shards.read().values()]
    return sum(shard._appender.bytes_written for shard in shards)


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _spread(points: list[dict]) -> dict:
    """Return the least and the greatest value of each measurement over the seeds."""
    return {
        name: [
            round(min(point[name] for point in points), 2),
            round(max(p[name] for p in points), 2),
        ]
        for name in points[0]
    }


async def _run(load: _Load, seeds: int, intervals_s: tuple[float, ...]) -> None:
    for interval_s in intervals_s:
        points = [await _measure(load, interval_s, seed) for seed in range(seeds)]
        line = {"interval_ms": interval_s * _MS_PER_S, **asdict(load), **_spread(points)}
        print(msgspec.json.encode(line).decode(), flush=True)


def main(
    rate: float = 13.4,
    seconds: float = 4.0,
    seeds: int = 3,
    shards: int = 1,
    instances: int = 1,
    by_domain: bool = False,
    intervals_ms: tuple[float, ...] = INTERVALS_MS,
) -> None:
    """Measure every interval at `rate` turns a second for `seconds` with each seed."""
    load = _Load(
        rate_per_s=rate, seconds=seconds, shards=shards, instances=instances, by_domain=by_domain
    )
    intervals_s = tuple(interval / _MS_PER_S for interval in intervals_ms)
    trio.run(_run, load, seeds, intervals_s)


if __name__ == "__main__":
    fire.Fire(main)
