"""LOST: a gateway that stops ends at once when a storage machine is to be emptied.

One of three gateways gets SIGTERM while it has requests in progress. Half a second later the
operator asks that a storage machine be emptied. Without trouble the gateway gets SIGTERM too, and
the operator asks for nothing.
"""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness import Answer, CannotRunError, World, plain_config, run_case

LEAD_S = 12.0  # as at the sites: traffic starts 12 s after the machines do
GRACE_S = 8.0
REQUESTS = 6
PAUSE_S = 0.3  # between SIGTERM and the requests before it, and after it


async def case(world: World, has_trouble: bool) -> bool:
    """Return whether a request that was passed on got no complete answer."""
    await world.start(
        plain_config(), gateways=3, replicas_by_service={"model": 2, "orders": 3}, slots=6
    )
    await world.start_storage(3)
    await asyncio.sleep(max(0.0, LEAD_S - world.now_s()))
    gateway = world.gateways[2]
    async with asyncio.TaskGroup() as group:
        requests = [group.create_task(report(world, number)) for number in range(REQUESTS)]
        await asyncio.sleep(PAUSE_S)
        gateway.signal(signal.SIGTERM)
        world.note(f"SIGTERM  {gateway.name}")
        await asyncio.sleep(0.5)
        if has_trouble:
            world.store.put("op/retire/storage-b-1", json.dumps({"CompleteByS": 8}).encode())
            world.note("operator op/retire/storage-b-1")
    assert gateway.process is not None
    async with asyncio.timeout(GRACE_S):
        status = await gateway.process.wait()
    world.note(f"exit     {gateway.name} status={status} {gateway.log_lines()[-2][:120]}")
    answers = [request.result() for request in requests]
    lost = [answer for answer in answers if is_lost(world, answer)]
    for answer in lost:
        world.note(f"lost     {answer.attempt} after {answer.ended_s - answer.sent_s:.3f} s")
    if not has_trouble and not all(answer.is_complete for answer in answers):
        raise CannotRunError("a request was not answered though nothing was disturbed")
    return bool(lost)


async def report(world: World, number: int) -> Answer:
    """Send a report, which runs for 1.5 s; it may run once only."""
    return await world.send(
        world.gateways[2], "POST", f"/reports/plain-1500/{number}", deadline_ms=3000, body=b"x"
    )


def is_lost(world: World, answer: Answer) -> bool:
    """Return whether a replica ran a request whose client got no complete answer in time."""
    has_run = any(attempt == answer.attempt for _, attempt, _ in world.runs)
    return has_run and not answer.is_complete and answer.ended_s - answer.sent_s < 3.0


if __name__ == "__main__":
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(str(Path(__file__).parent), case, has_trouble=has_trouble))
