"""Measures turns of programs before, during and after an outage of the key-value store.

    python -m bench.outage --outage_s=20 [--rate 10] [--seed 1]

Turns arrive at random at two owners, and every second one is idempotent. An upstream call takes
0.5 s. A refused caller retries after the time in the refusal, for at most 30 s. Prints JSON for
each kind of call: the turns done and given up, the refusals, latencies in seconds, and the seconds
from the end of the outage until the first turn was done.
"""

import random
from dataclasses import dataclass, field

import fire
import msgspec
import trio
from result import Err, Ok

from bench._kv_process import connect, set_faults, start_kv
from bench._owner import create_program, make_outcome, make_request, start_owner
from lagoonfold.records import NO_COST, CallOutcome, CallRequest, CallSettled, Execute
from lagoonfold_node._ownership import OpenShard, Ownership, OwnershipSettings

BEFORE_S = 4.0
AFTER_S = 10.0
CALL_S = 0.5
CALLER_TIMEOUT_S = 30.0
SETTINGS = OwnershipSettings(shard_count=8)


@dataclass
class _KindStats:
    """Results of the turns of one kind."""

    latencies_s: list[float] = field(default_factory=list)
    given_up: int = 0
    refusals: int = 0
    first_done_at_s: float = float("inf")


class _Load:
    """Load of turns that arrive at random times."""

    def __init__(self, owners: list[Ownership], rate: float, seed: int) -> None:
        self.kinds_by_name = {"idempotent": _KindStats(), "non_idempotent": _KindStats()}
        self.outage_ends_at_s = float("inf")
        self._owners = owners
        self._rate = rate
        self._random = random.Random(seed)

    async def run(self, seconds: float) -> None:
        """Start turns for some seconds and wait until all have ended."""
        ends_at_s = trio.current_time() + seconds
        number = 0
        async with trio.open_nursery() as nursery:
            while trio.current_time() < ends_at_s:
                await trio.sleep(self._random.expovariate(self._rate))
                number += 1
                nursery.start_soon(self._turn, f"prg-{number}", number % 2 == 0)

    async def _turn(self, program_id: str, is_idempotent: bool) -> None:
        kind = self.kinds_by_name["idempotent" if is_idempotent else "non_idempotent"]
        started_at_s = trio.current_time()
        with trio.move_on_after(CALLER_TIMEOUT_S) as scope:
            while not await self._attempt_turn(program_id, is_idempotent, kind):
                pass
        if scope.cancelled_caught:
            kind.given_up += 1
            return
        now_s = trio.current_time()
        kind.latencies_s.append(now_s - started_at_s)
        if now_s > self.outage_ends_at_s:
            kind.first_done_at_s = min(kind.first_done_at_s, now_s - self.outage_ends_at_s)

    async def _attempt_turn(self, program_id: str, is_idempotent: bool, kind: _KindStats) -> bool:
        """Attempt the turn once; after a refusal, wait for the retry time and return False."""
        shard = self._find_shard(program_id)
        if shard is None:
            await trio.sleep(0.1)
            return False
        request = make_request(program_id, 1, is_idempotent=is_idempotent)
        decided = shard.state.decide_begin(request, 0.0, run_id=shard.run_id)
        if isinstance(decided, Err) or not isinstance(decided.ok_value, Execute):
            await trio.sleep(0.1)
            return False
        wait_for_begin = shard.submit(decided.ok_value.records)
        has_begun = shard.state.programs_by_id[program_id].is_running(request.call_id)
        if not is_idempotent or not has_begun:
            begin = await wait_for_begin()
            if isinstance(begin, Err):
                kind.refusals += 1
                _withdraw(shard, request)
                await trio.sleep(begin.err_value.retry_after_s)
                return False
        await trio.sleep(CALL_S)
        return not isinstance(await shard.commit((make_outcome(request),)), Err)

    async def create_programs(self, count: int) -> None:
        """Create the programs of the load."""
        async with trio.open_nursery() as nursery:
            for number in range(1, count + 1):
                program_id = f"prg-{number}"
                nursery.start_soon(create_program, self._find_shard(program_id), program_id)

    def _find_shard(self, program_id: str) -> OpenShard | None:
        for owner in self._owners:
            shard = owner.shards.find_open_for(program_id)
            if shard is not None:
                return shard
        return None


def _withdraw(shard: OpenShard, request: CallRequest) -> None:
    """Settle a call that was not sent, as the executor does, if its begin is still queued."""
    settled = CallSettled(
        request.program_id, request.call_id, CallOutcome.NOT_RUN, 0, "", b"", NO_COST
    )
    decided = shard.state.decide_settle(settled)
    if isinstance(decided, Ok):
        shard.submit(decided.ok_value)


def _summarize(kind: _KindStats) -> dict:
    ordered = sorted(kind.latencies_s)
    return {
        "done": len(ordered),
        "given_up": kind.given_up,
        "refusals": kind.refusals,
        "p50_s": round(ordered[len(ordered) // 2], 2),
        "max_s": round(ordered[-1], 2),
        "first_done_after_s": round(kind.first_done_at_s, 2),
    }


async def _run(outage_s: float, rate: float, seed: int) -> None:
    async with (
        start_kv(delay_s=0.002) as address,
        start_owner(connect(address), SETTINGS, name="entry-1") as first,
        start_owner(connect(address), SETTINGS, name="entry-2") as second,
    ):
        owners = [first, second]
        for number in range(20):
            while not any(each.shards.find_open_for(f"prg-{number}") for each in owners):
                await trio.sleep(0.05)
        load = _Load(owners, rate, seed)
        await load.create_programs(int(2 * rate * (BEFORE_S + outage_s + AFTER_S)))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run, BEFORE_S + outage_s + AFTER_S)
            await trio.sleep(BEFORE_S)
            await set_faults(address, outage="silent")
            await trio.sleep(outage_s)
            await set_faults(address, delay_s=0.002)
            load.outage_ends_at_s = trio.current_time()
        line = {name: _summarize(kind) for name, kind in load.kinds_by_name.items()}
        print(msgspec.json.encode({"outage_s": outage_s, "seed": seed, **line}).decode())


def main(outage_s: float = 20.0, rate: float = 10.0, seed: int = 1) -> None:
    """Run the load through one outage of `outage_s` seconds at `rate` turns a second."""
    trio.run(_run, outage_s, rate, seed)


if __name__ == "__main__":
    fire.Fire(main)
