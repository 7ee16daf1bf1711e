"""Replicas of a failure domain that start anew together, and a surge of requests meanwhile."""

import random

import trio

from soak._callers import Caller
from soak._config import SERVICES, SURGE_ACCOUNT_NUMBER
from soak._records import Stream
from soak._world import ZONES, World

GAP_S = (5.0, 9.0)
BEFORE_SURGE_S = (0.2, 1.5)  # cold replicas are listed within this time
SURGE_REQUESTS = 200
SURGE_S = 1.0
DEADLINE_MS = 2_000
ROUTE_BY_SERVICE = {"quill": "drafts", "pen": "written"}


async def run_cold_starts(world: World, caller: Caller, seconds: float) -> None:
    """Start replicas anew, as drawn from the seed, until the time is over."""
    rng = random.Random(f"{world.seed}/cold starts")
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(rng.uniform(*GAP_S))
                service, zone = rng.choice(SERVICES), _pick_zone(world, rng)
                world.note(f"cold start of {service} in {zone}")
                for replica in list(world.replicas):
                    if (replica.service, replica.zone) == (service, zone):
                        replica.scope.cancel()
                        world.begin_replica(replica.replica_id, service, zone, replica.version)
                await trio.sleep(rng.uniform(*BEFORE_SURGE_S))
                world.note("surge")
                for _ in range(SURGE_REQUESTS):
                    nursery.start_soon(_send, caller, service, random.Random(rng.random()))
                    await trio.sleep(rng.expovariate(SURGE_REQUESTS / SURGE_S))


def _pick_zone(world: World, rng: random.Random) -> str:
    """Return a failure domain whose replicas get requests, any if none or all are evacuated."""
    zone = rng.choice(ZONES)
    left = [each for each in ZONES if each not in world.evacuated_zones]
    return zone if zone in left or not left else left[0]


async def _send(caller: Caller, service: str, rng: random.Random) -> None:
    name = f"c{len(caller.streams)}"
    stream = Stream(name, 1, ROUTE_BY_SERVICE[service], can_resume=True)
    caller.streams.append(stream)
    fields = {"Program-Id": name, "Session-Id": name, "Model": "m"}
    fields |= {"Key": f"key-{SURGE_ACCOUNT_NUMBER}", "Deadline-Ms": str(DEADLINE_MS)}
    await caller.send(stream, caller.pick_gateway(stream, rng), fields, rng)
