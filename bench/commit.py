"""Group commit: the commit interval against the latency that it adds and the writes it saves.

    python -m bench.commit [--rate 13.4] [--seconds 4] [--seeds 3]

Turns arrive at random at one owner with one shard; each commits an intent and an outcome through
a key-value stand-in of another process that answers in 2 ms. Prints JSON: for each interval the
latency of one commit, the writes a second, the records in a write and the bytes of a turn.
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
from lagoonfold_node._ownership import OpenShard, OwnershipSettings

INTERVALS_S = (0.0, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5)
KV_DELAY_S = 0.002
_MS = 1_000


class _Run:
    """One point: an interval and a seed."""

    def __init__(self, shard: OpenShard, rate_per_s: float, seed: int) -> None:
        self.latencies_s: list[float] = []
        self.turns = 0
        self._shard = shard
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
        await create_program(self._shard, program_id)
        request = make_request(program_id, 1)
        execute = self._shard.state.decide_begin(request, 0.0, executor="bench").unwrap()
        await self._timed(execute.records)
        await self._timed((make_outcome(request),))

    async def _timed(self, records: tuple) -> None:
        started_at_s = time.perf_counter()
        (await self._shard.commit(records)).unwrap()
        self.latencies_s.append(time.perf_counter() - started_at_s)


async def _measure(interval_s: float, rate_per_s: float, seconds: float, seed: int) -> dict:
    settings = OwnershipSettings(
        shard_count=1, commit_interval_s=interval_s, checkpoint_commits=1_000_000
    )
    async with start_kv(delay_s=KV_DELAY_S) as address:
        store = connect(address)
        async with start_owner(store, settings) as ownership:
            shard = await opened_shard(ownership, "prg-1")
            run = _Run(shard, rate_per_s, seed)
            before = shard._appender.bytes_written
            await run.drive(seconds)
            metrics = ownership.context.metrics
            commits = metrics.counted("commits")
            return {
                "p50_ms": _quantile(run.latencies_s, 0.5) * _MS,
                "p99_ms": _quantile(run.latencies_s, 0.99) * _MS,
                "writes_per_s": commits / seconds,
                "records_per_write": metrics.counted("committed_records") / commits,
                "bytes_per_turn": (shard._appender.bytes_written - before) / run.turns,
            }


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


async def _run(rate: float, seconds: float, seeds: int) -> None:
    for interval_s in INTERVALS_S:
        points = [await _measure(interval_s, rate, seconds, seed) for seed in range(seeds)]
        line = {"interval_ms": interval_s * _MS, "rate_per_s": rate, **_spread(points)}
        print(msgspec.json.encode(line).decode(), flush=True)


def main(rate: float = 13.4, seconds: float = 4.0, seeds: int = 3) -> None:
    """Measure every interval at `rate` turns a second for `seconds` with each seed."""
    trio.run(_run, rate, seconds, seeds)


if __name__ == "__main__":
    fire.Fire(main)
