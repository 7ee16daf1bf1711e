"""Group commit: the commit interval against the latency that it adds and the writes it saves.

    python -m bench.commit [--rate 13.4] [--seconds 4] [--seeds 3] [--shards 1]

Turns arrive at random at one owner's shards; each commits an intent and an outcome through
a key-value stand-in of another process that answers in 2 ms. Prints JSON: for each interval the
latency of one commit, the calls of the service and the journal entries a second, the records in a
call and the bytes of a turn.
"""

import random
import time

import fire
import msgspec
import trio

from bench._kv_process import connect, start_kv
from bench._owner import (
    create_program,
    make_outcome,
    make_request,
    opened_shard,
    start_owner,
)
from lagoonfold_node._ownership import OpenShard, Ownership, OwnershipSettings

INTERVALS_S = (0.0, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5)
KV_DELAY_S = 0.002
_MS = 1_000


class _Run:
    """One point: an interval and a seed."""

    def __init__(self, ownership: Ownership, rate_per_s: float, seed: int) -> None:
        self.latencies_s: list[float] = []
        self.turns = 0
        self._ownership = ownership
        self._rate_per_s = rate_per_s
        self._random = random.Random(seed)

    async def drive(self, seconds: float) -> None:
        """Start turns at random times; wait for all."""
        ends_at_s = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < ends_at_s:
                await trio.sleep(self._random.expovariate(self._rate_per_s))
                self.turns += 1
                nursery.start_soon(self._turn, f"prg-{self.turns}")

    async def _turn(self, program_id: str) -> None:
        shard = self._ownership.shards.opened_for(program_id)
        await create_program(shard, program_id)
        request = make_request(program_id, 1)
        execute = shard.state.decide_begin(request, 0.0, executor="bench").unwrap()
        await self._timed(shard, execute.records)
        await self._timed(shard, (make_outcome(request),))

    async def _timed(self, shard: OpenShard, records: tuple) -> None:
        started_at_s = time.perf_counter()
        (await shard.commit(records)).unwrap()
        self.latencies_s.append(time.perf_counter() - started_at_s)


async def _measure(
    interval_s: float, rate_per_s: float, seconds: float, seed: int, shards: int
) -> dict:
    settings = OwnershipSettings(
        shard_count=shards, commit_interval_s=interval_s, checkpoint_commits=1_000_000
    )
    async with start_kv(delay_s=KV_DELAY_S) as address:
        store = connect(address)
        async with start_owner(store, settings) as ownership:
            opened = await _open_all(ownership, shards)
            run = _Run(ownership, rate_per_s, seed)
            bytes_before = sum(shard._appender.bytes_written for shard in opened)
            calls_before = _count_calls(ownership)
            await run.drive(seconds)
            metrics = ownership.context.metrics
            calls = _count_calls(ownership) - calls_before
            written = sum(shard._appender.bytes_written for shard in opened) - bytes_before
            return {
                "p50_ms": _quantile(run.latencies_s, 0.5) * _MS,
                "p99_ms": _quantile(run.latencies_s, 0.99) * _MS,
                "calls_per_s": calls / seconds,
                "entries_per_s": metrics.counted("commits") / seconds,
                "records_per_call": metrics.counted("committed_records") / calls,
                "bytes_per_turn": written / run.turns,
            }


async def _open_all(ownership: Ownership, count: int) -> list[OpenShard]:
    """Wait until every shard is open."""
    await opened_shard(ownership, "prg-1")
    while len(opened := ownership.context.board.shards.read()) < count:
        await trio.sleep(0.002)
    return list(opened.values())


def _count_calls(ownership: Ownership) -> float:
    """Return how many calls have carried journal entries."""
    metrics = ownership.context.metrics
    return metrics.counted("journal_calls", "shared") + metrics.counted("journal_calls", "single")


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _spread(points: list[dict]) -> dict:
    """Return the least and the greatest of each figure over the seeds."""
    return {
        name: [
            round(min(point[name] for point in points), 2),
            round(max(p[name] for p in points), 2),
        ]
        for name in points[0]
    }


async def _run(rate: float, seconds: float, seeds: int, shards: int) -> None:
    for interval_s in INTERVALS_S:
        points = [await _measure(interval_s, rate, seconds, seed, shards) for seed in range(seeds)]
        head = {"interval_ms": interval_s * _MS, "rate_per_s": rate, "shards": shards}
        line = {**head, **_spread(points)}
        print(msgspec.json.encode(line).decode(), flush=True)


def main(rate: float = 13.4, seconds: float = 4.0, seeds: int = 3, shards: int = 1) -> None:
    """Measure every interval at `rate` turns a second for `seconds` with each seed."""
    trio.run(_run, rate, seconds, seeds, shards)


if __name__ == "__main__":
    fire.Fire(main)
