"""A client account that sends a multiple of its rate for some seconds at a time."""

import random

import trio

from soak._callers import Caller
from soak._config import FLOOD_ACCOUNT_NUMBER, FLOOD_RATE_PER_S
from soak._records import Stream

GAP_S = (2.0, 5.0)
FLOOD_S = (3.0, 6.0)
FLOOD_RATIO = (5.0, 7.5)  # of the account's rate
DEADLINE_MS = 2_000


async def run_floods(caller: Caller, seed: int, seconds: float) -> None:
    """Flood from one account, as drawn from the seed, until the time is over."""
    rng = random.Random(f"{seed}/floods")
    number = 0
    async with trio.open_nursery() as nursery:
        ends_s = trio.current_time() + seconds
        while trio.current_time() < ends_s:
            await trio.sleep(rng.uniform(*GAP_S))
            flood_ends_s = min(ends_s, trio.current_time() + rng.uniform(*FLOOD_S))
            rate_per_s = FLOOD_RATE_PER_S * rng.uniform(*FLOOD_RATIO)
            while trio.current_time() < flood_ends_s:
                number += 1
                nursery.start_soon(_send, caller, number, random.Random(rng.random()))
                await trio.sleep(rng.expovariate(rate_per_s))


async def _send(caller: Caller, number: int, rng: random.Random) -> None:
    stream = Stream(f"f{number}", 1, "drafts", can_resume=True)
    caller.streams.append(stream)
    fields = {"Program-Id": f"f{number}", "Session-Id": f"f{number}", "Model": "m"}
    fields |= {"Key": f"key-{FLOOD_ACCOUNT_NUMBER}", "Deadline-Ms": str(DEADLINE_MS)}
    await caller.send(stream, caller.pick_gateway(stream, rng), fields, rng)
