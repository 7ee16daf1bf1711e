"""ORDER: streams of a new software version are taken up at the old one after a herd of kills.

A release begins: three replicas of a new version start one after the other, beside seven of the old
one. While streams run at both, all gateways but one are killed at once and started again a second
later. Callers take up their streams that have broken off, as the pages allow.
"""

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness import Answer, CannotRunError, Replica, World, plain_config, run_case

LEAD_S = 12.0  # as at the sites: traffic starts 12 s after the machines do
GATEWAYS = 7
SURVIVOR = 3  # the number of the gateway that is not killed
DOWN_S = 1.0
OLD_REPLICAS = 7
NEW_REPLICAS = 3
GAP_S = 0.7  # between the starts of new replicas
RELEASE_AT_S = 3.0  # after the start of traffic
KILL_AT_S = 5.0
TRAFFIC_S = 9.0
STREAMS_PER_S = 60.0
EVENTS = 24
EVENT_MS = 60
DEADLINE_MS = 4000
TRIES = 3  # of a caller, in its deadline: two retries, as on the sheet
MOST_JOINED = 2


class Stream:
    """One stream of a caller: its tries, and the versions whose events it holds."""

    def __init__(self) -> None:
        self.first = ""
        self.last_event = 0
        self.versions: list[str] = []
        self.is_whole = False

    def add(self, answer: Answer) -> None:
        """Take over the whole events of a try."""
        for event in answer.body.decode().split("\n\n")[:-1]:
            number, data = event.split("\n")
            if int(number[4:]) != self.last_event + 1:
                raise CannotRunError(f"event {number} after {self.last_event}")
            self.last_event += 1
            self.first = self.first or answer.attempt
            self.versions.append(data.split(" ")[1])
        self.is_whole = answer.is_complete and answer.status == 200


async def run_stream(world: World, number: int, rng: random.Random) -> Stream:
    """Send a stream; take it up at other gateways while it breaks off and there is time."""
    stream, began_s = Stream(), world.now_s()
    gateways = rng.sample(world.gateways, TRIES)
    for gateway in gateways:
        left_ms = DEADLINE_MS - int(1000 * (world.now_s() - began_s))
        if stream.is_whole or left_ms < 100:
            break
        headers = {"Model": "m", "Token-Count": "600,240"}
        headers["Prompt-Prefix"] = f"5c1e07a2:512,{number + 4096:x}:88"
        if stream.first:
            headers |= {"Last-Event-Id": str(stream.last_event), "Resumes": stream.first}
        path = f"/turns/stream-{EVENTS}-{EVENT_MS}/{number}"
        answer = await world.send(
            gateway, "POST", path, deadline_ms=left_ms, headers=headers, body=b"x"
        )
        if answer.status in (0, 200):
            stream.add(answer)
        await asyncio.sleep(0.05)
    return stream


async def release(world: World) -> None:
    """Start the replicas of the new version."""
    await asyncio.sleep(RELEASE_AT_S)
    for number in range(NEW_REPLICAS):
        replica = Replica(world, f"i-model-new-{number + 1}", "model", 12, version="v2")
        world.replicas.append(replica)
        await replica.begin()
        world.note(f"release  {replica.name} of v2 has started")
        await asyncio.sleep(GAP_S)


async def kill(world: World) -> None:
    """Kill all gateways but one at once, and start them again."""
    await asyncio.sleep(KILL_AT_S)
    killed = [each for each in world.gateways if each is not world.gateways[SURVIVOR]]
    for gateway in killed:
        gateway.signal(signal.SIGKILL)
    world.note(f"kill     all but {world.gateways[SURVIVOR].name}")
    await asyncio.sleep(DOWN_S)
    for gateway in killed:
        assert gateway.process is not None
        await gateway.process.wait()
        await gateway.start(is_first=False)
    world.note("restart  all that were killed")


async def case(world: World, has_trouble: bool) -> bool:
    """Return whether more streams hold events of two versions than the rule allows."""
    replicas = {"model": OLD_REPLICAS}
    await world.start(plain_config(), gateways=GATEWAYS, replicas_by_service=replicas)
    await asyncio.sleep(max(0.0, LEAD_S - world.now_s()))
    rng = random.Random(1)
    tasks = []
    async with asyncio.TaskGroup() as group:
        group.create_task(release(world))
        if has_trouble:
            group.create_task(kill(world))
        for number in range(int(TRAFFIC_S * STREAMS_PER_S)):
            tasks.append(group.create_task(run_stream(world, number, rng)))
            await asyncio.sleep(1 / STREAMS_PER_S)
    streams = [task.result() for task in tasks]
    joined = [stream for stream in streams if len(set(stream.versions)) > 1]
    for stream in joined:
        world.note(f"joined   {stream.first}: {' '.join(stream.versions)}")
    whole = sum(stream.is_whole for stream in streams)
    new = sum(stream.versions[:1] == ["v2"] for stream in streams)
    world.note(
        f"streams  {len(streams)}: {whole} whole, {new} begun at v2, {len(joined)} joined from"
        f" two versions, at most {MOST_JOINED}"
    )
    if not new:
        raise CannotRunError("no stream began at the new version")
    return len(joined) > MOST_JOINED


if __name__ == "__main__":
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(str(Path(__file__).parent), case, has_trouble=has_trouble))
