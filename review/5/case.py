"""DENIED: after one replica has crashed, a sound lookup is refused for minutes with 422.

Field crews of one account ask for the same control point: many through the first of five gateways,
a few now and then through the others. One of seven replicas of the service crashes and is back
after some seconds.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness import Replica, World, plain_config, run_case

LEAD_S = 12.0  # as at the sites: traffic starts 12 s after the machines do
DAY_S = 40.0  # of traffic
CRASH_AT_S = 8.0
DOWN_S = 4.5
AT_CRASH = 3  # lookups that the replica runs
CREWS_BY_GATEWAY = (40, 1, 1, 1, 1)
PAUSE_BY_GATEWAY_S = (0.15, 0.9, 0.9, 0.9, 0.9)  # between an answer and the crew's next lookup
LOOKUP = "/lookups/plain-80/point-7"


async def crew(world: World, gateway: int, number: int, until_s: float) -> None:
    """Look the point up again and again."""
    pause_s = PAUSE_BY_GATEWAY_S[gateway]
    await asyncio.sleep(pause_s * number / CREWS_BY_GATEWAY[gateway])
    while world.now_s() < until_s:
        await world.send(world.gateways[gateway], "GET", LOOKUP, deadline_ms=1200)
        await asyncio.sleep(pause_s)


async def crash(world: World) -> None:
    """Crash a replica that runs several lookups, and start it again."""
    await asyncio.sleep(CRASH_AT_S)
    replica: Replica = max(world.replicas, key=lambda each: each.active)
    while replica.active < AT_CRASH:
        await asyncio.sleep(0.002)
        replica = max(world.replicas, key=lambda each: each.active)
    world.note(f"crash    {replica.name} with {replica.active} lookups")
    await replica.stop()
    await asyncio.sleep(DOWN_S)
    await replica.begin()
    world.note(f"restart  {replica.name}")


async def case(world: World, has_trouble: bool) -> bool:
    """Return whether more proper requests were denied than the rule allows."""
    config = plain_config()
    await world.start(
        config,
        gateways=len(CREWS_BY_GATEWAY),
        replicas_by_service={"orders": 7, "model": 1},
        slots=6,
    )
    await asyncio.sleep(max(0.0, LEAD_S - world.now_s()))
    until_s = world.now_s() + DAY_S
    async with asyncio.TaskGroup() as group:
        for gateway, crews in enumerate(CREWS_BY_GATEWAY):
            for number in range(crews):
                group.create_task(crew(world, gateway, number, until_s))
        if has_trouble:
            group.create_task(crash(world))
    denied = [
        answer
        for answer in world.answers
        if 300 <= answer.status < 500
        and answer.status not in (408, 421, 429)
        and "server-seal" not in answer.headers
    ]
    limit = 5 + len(world.answers) / 500
    statuses = sorted({answer.status for answer in denied})
    world.note(
        f"denied   {len(denied)} of {len(world.answers)} requests, status {statuses},"
        f" at most {limit:.1f}"
    )
    return len(denied) > limit


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).parent), case))
