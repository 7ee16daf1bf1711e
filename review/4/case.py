"""BUDGET: tokens that a gateway may grant without a charge are granted twice to one program.

Programs run one turn each. Then one of seven gateways freezes for some seconds while the programs
call tools; they go on at the others until shortly after it is back. Within `RetentionS` of its last
turn, each program returns for one more turn through another zone.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness import CannotRunError, World, plain_config, run_case

TOKENS_PER_EVENT = 10
EVENTS = 12  # of each turn; each replica writes as many as the turn may have
MOST = TOKENS_PER_EVENT * EVENTS
TURNS = 6
BUDGET = TURNS * MOST
GATEWAYS = 7
FROZEN = 2  # its number
PROGRAMS = 36
LEAD_S = 12.0  # as at the sites: traffic starts 12 s after the machines do
TOOL_S = 2.0  # a program calls tools for so long between its first two turns
FREEZE_S = 5.0
LAST_TURN_S = 31.0  # all after the first turns
RETURN_S = 74.0  # less than `RetentionS`, 60 s, after the last turns


async def turn(world: World, program: str, gateway: int) -> tuple[int, int]:
    """Run one turn; return its status and the tokens that the client has got."""
    headers = {
        "Program-Id": program,
        "Session-Id": f"s-{program}",
        "Program-Deadline-Ms": "90000",
        "Token-Budget": str(BUDGET),
        "Token-Count": f"600,{MOST}",
        "Prompt-Prefix": f"5c1e07a2:512,{program.encode().hex()}:88",
        "Model": "m",
    }
    answer = await world.send(
        world.gateways[gateway],
        "POST",
        f"/turns/stream-{EVENTS}-5/{program}",
        deadline_ms=4000,
        headers=headers,
        body=program.encode(),
    )
    return answer.status, TOKENS_PER_EVENT * len(answer.events)


async def run_program(world: World, program: str, began_s: float) -> int:
    """Run a program's turns up to its last one, and its return; return the tokens it got."""
    status, tokens = await turn(world, program, 0)
    if status != 200 or tokens != MOST:
        raise CannotRunError(f"first turn of {program}: status {status}, {tokens} tokens")
    await sleep_until(world, began_s + 1.0 + TOOL_S)
    pause_s = (LAST_TURN_S - 1.0 - TOOL_S) / (TURNS + 2)
    last_s = world.now_s()
    for _ in range(TURNS + 2):
        status, got = await turn(world, program, 0)
        tokens += got
        last_s = world.now_s()
        if status == 402:
            break
        await asyncio.sleep(pause_s)
    await sleep_until(world, began_s + RETURN_S)
    world.note(f"return   {program} after {world.now_s() - last_s:.1f} s, has {tokens} tokens")
    for _ in range(2):
        status, got = await turn(world, program, 1)
        tokens += got
    return tokens


async def sleep_until(world: World, at_s: float) -> None:
    """Sleep until a time of the run."""
    await asyncio.sleep(max(0.0, at_s - world.now_s()))


async def freeze(world: World, began_s: float) -> None:
    """Freeze a gateway for some seconds, once the first turns have ended."""
    await sleep_until(world, began_s + 1.0)
    world.note(f"freeze   {world.gateways[FROZEN].name}")
    world.gateways[FROZEN].signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    world.gateways[FROZEN].signal(signal.SIGCONT)
    world.note(f"thaw     {world.gateways[FROZEN].name}")


async def case(world: World, has_trouble: bool) -> bool:
    """Return whether a program got more than its budget and the most of one turn."""
    await world.start(plain_config(), gateways=GATEWAYS, replicas_by_service={"model": 5})
    await asyncio.sleep(max(0.0, LEAD_S - world.now_s()))
    began_s = world.now_s()
    programs = [f"prog{number:02d}" for number in range(PROGRAMS)]
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(run_program(world, each, began_s)) for each in programs]
        if has_trouble:
            group.create_task(freeze(world, began_s))
    limit = BUDGET + MOST
    totals = {program: task.result() for program, task in zip(programs, tasks, strict=True)}
    for program, tokens in totals.items():
        world.note(f"total    {program} {tokens} tokens, at most {limit}")
    return any(tokens > limit for tokens in totals.values())


if __name__ == "__main__":
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(str(Path(__file__).parent), case, has_trouble=has_trouble))
