"""QUOTA: a gateway that was frozen grants tokens of accounts that another one has taken over.

Clients of several accounts press beyond their limits at six of seven gateways. The seventh freezes
for some seconds and goes on. The rule's sum is taken over each window of the requests that were
sent and run in it.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness import Answer, World, plain_config, run_case

LEAD_S = 12.0  # as at the sites: traffic starts 12 s after the machines do
GATEWAYS = 7
FROZEN = 6  # its number
ACCOUNTS = 8
RATE_PER_S = 12
BURST = 12
PRESS_X = 6  # times the rate that an account asks for
CALM_S = 0.6  # of pressing before the freeze
FREEZE_S = 2.0
PRESS_S = 9.0
WINDOW_S = 5.0  # `QuotaWindowS`
OVERSHOOT = 0.1  # `QuotaOvershoot`
SLACK = 20  # `QuotaSlack`


async def press(world: World, number: int, answers: list[tuple[int, Answer]]) -> None:
    """Send the requests of one account at an even pace, through all gateways but one."""
    async with asyncio.TaskGroup() as group:
        for index in range(int(PRESS_S * RATE_PER_S * PRESS_X)):
            group.create_task(ask(world, number, index, answers))
            await asyncio.sleep(1 / (RATE_PER_S * PRESS_X))


async def ask(world: World, number: int, index: int, answers: list[tuple[int, Answer]]) -> None:
    """Send one lookup of an account."""
    answer = await world.send(
        world.gateways[index % FROZEN],
        "GET",
        f"/lookups/plain-5/{number}.{index}",
        deadline_ms=1200,
        key=f"key-{number}",
    )
    answers.append((number, answer))


async def freeze(world: World) -> None:
    """Freeze a gateway for some seconds."""
    await asyncio.sleep(CALM_S)
    world.note(f"freeze   {world.gateways[FROZEN].name}")
    world.gateways[FROZEN].signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    world.gateways[FROZEN].signal(signal.SIGCONT)
    world.note(f"thaw     {world.gateways[FROZEN].name}")


def most_in_a_window(world: World, mine: list[Answer]) -> int:
    """Return the most requests that were both sent and run in some window."""
    ran_at = {attempt: at_s for at_s, attempt, _ in world.runs}
    spans = [(each.sent_s, ran_at[each.attempt]) for each in mine if each.attempt in ran_at]
    return max(
        (
            sum(begin <= sent and ran <= begin + WINDOW_S for sent, ran in spans)
            for begin, _ in spans
        ),
        default=0,
    )


async def case(world: World, has_trouble: bool) -> bool:
    """Return whether some account got more in a window than its quota allows."""
    accounts = [
        {
            "Name": f"tenant-{number}",
            "ApiKeys": [f"key-{number}"],
            "Priority": 1,
            "RatePerS": RATE_PER_S,
            "Burst": BURST,
        }
        for number in range(ACCOUNTS)
    ]
    config = plain_config(Tenants=accounts)
    await world.start(config, gateways=GATEWAYS, replicas_by_service={"orders": 3, "model": 5})
    await asyncio.sleep(max(0.0, LEAD_S - world.now_s()))
    answers: list[tuple[int, Answer]] = []
    async with asyncio.TaskGroup() as group:
        for number in range(ACCOUNTS):
            group.create_task(press(world, number, answers))
        if has_trouble:
            group.create_task(freeze(world))
    limit = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
    most = []
    for number in range(ACCOUNTS):
        mine = [answer for owner, answer in answers if owner == number]
        most.append(most_in_a_window(world, mine))
        refused = sum(answer.status == 429 for answer in mine)
        world.note(f"windows  tenant-{number}: {most[-1]} of at most {limit:.1f}; {refused} 429")
    return any(count > limit for count in most)


if __name__ == "__main__":
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(str(Path(__file__).parent), case, has_trouble=has_trouble))
