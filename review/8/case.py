"""A store machine misses the renewal of kept turns, then two others lose their disks in turn."""

import shutil
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness_2 as harness

RETENTION_S = 40.0
PROGRAMS = 12
TRIES = 6
AT_S = {  # seconds from the first turns on
    "other programs": 40.0,
    "killed": 40.3,
    "second turns": 41.0,
    "back": 42.5,
    "third turns": 80.0,
    "first disk lost": 83.0,
    "second disk lost": 90.0,
    "fourth turns": 95.5,
}


async def run_turn(
    replica: harness.Replica, request: harness.Request, writer: harness.asyncio.StreamWriter
) -> None:
    """Answer with some events; the prompt stands in the record."""
    bodies[request.headers["attempt-id"]] = request.body
    await harness.send_events(replica, request, writer, 5, gap_s=0.01)


bodies: dict[str, bytes] = {}


def configuration() -> dict:
    """Return a configuration with one route whose turns the system keeps."""
    route = {
        "Name": "turns",
        "PathPrefix": "/turns/",
        "RouteType": "stream",
        "TimeoutMs": 3_000,
        "TargetLatencyMs": 250,
        "GapTargetMs": 150,
        "MaxAttempts": 2,
        "RetainContext": True,
        "RetentionS": RETENTION_S,
        "SessionAffinity": True,
        "AllowResume": False,
        "Service": "model",
    }
    engine = {"Slots": 12, "KvCapacityTokens": 107_503, "TokensPerEvent": 10}
    return harness.base_config(1, [route], [{"Name": "model", "Engine": engine}])


class Program:
    """A program as its client sees it: `last` is its last turn that was answered whole."""

    def __init__(self, world: harness.World, name: str) -> None:
        self._world, self.name, self.last = world, name, ""
        self.answered_s = 0.0

    async def turn(self, front: harness.Machine) -> int:
        """Send the next turn; return the status, 0 for an answer that is not whole."""
        attempt = harness.new_attempt_id()
        headers = {
            "Host": harness.HOST,
            "Attempt-Id": attempt,
            "Key": "key-1",
            "Deadline-Ms": "3000",
            "Program-Id": self.name,
            "Session-Id": f"{self.name}-line",
            "Program-Deadline-Ms": "200000",
            "Token-Budget": "100000",
            "Token-Count": "100,300",
            "Model": "m",
            "Prompt-Prefix": "5c1e07a2:50,91bd3f06:50",
        }
        if self.last:
            headers["Previous-Turn"] = self.last
        body = f"input {attempt};".encode()
        answer = await harness.call(front.front, "POST", "/turns/4b", headers, body)
        self._world.record.note(
            "turn",
            program=self.name,
            request=attempt,
            previous=self.last or None,
            front=front.name,
            status=answer.status,
            whole=answer.is_whole,
            reached=attempt in bodies,
            said=answer.body.decode()[-120:] if answer.status >= 400 else None,
        )
        if answer.status == 200 and answer.is_whole:
            self.last, self.answered_s = attempt, harness.time.monotonic()
            return 200
        return answer.status if answer.is_whole else 0


async def lose_disk(world: harness.World, machine: harness.Machine) -> None:
    """Kill a store machine; it is back within a second, with an empty disk."""
    await machine.end()
    shutil.rmtree(machine.data)
    machine.data.mkdir()
    world.record.note("disk.lost", machine=machine.name)
    await harness.asyncio.sleep(0.8)
    await machine.start(bootstrap=False)


class Timetable:
    """Waits for the moments of the case."""

    def __init__(self, world: harness.World) -> None:
        self._world, self._began_s = world, harness.time.monotonic()

    async def wait_for(self, name: str) -> None:
        """Wait for a moment by its name."""
        await harness.asyncio.sleep(max(0.0, self._began_s + AT_S[name] - harness.time.monotonic()))
        self._world.record.note(name)


async def send_first_turns(world: harness.World, front: harness.Machine, label: str) -> None:
    """Send the first turns of other programs, which must be served."""
    others = [Program(world, f"{label}{number}") for number in range(6)]
    statuses = await harness.asyncio.gather(*(other.turn(front) for other in others))
    if set(statuses) != {200}:
        raise harness.NotRunError(f"first turns were not all served: {statuses}")


async def send_turns(programs: list[Program], front: harness.Machine) -> None:
    """Send the next turn of each program, which must be answered whole."""
    statuses = await harness.asyncio.gather(*(program.turn(front) for program in programs))
    if set(statuses) != {200}:
        raise harness.NotRunError(f"not all turns were answered: {statuses}")


async def try_again_and_again(
    world: harness.World, programs: list[Program], fronts: list[harness.Machine]
) -> list[Program]:
    """Send the next turn of each program until it is answered; return those that never were."""
    for number in range(TRIES):
        front = fronts[number % len(fronts)]
        statuses = await harness.asyncio.gather(*(program.turn(front) for program in programs))
        await send_first_turns(world, front, f"n{number}-")
        programs = [
            program for program, status in zip(programs, statuses, strict=True) if status != 200
        ]
        await harness.asyncio.sleep(0.3)
    return programs


async def case(world: harness.World, has_trouble: bool) -> bool:
    """Return whether turns that continue from kept ones reach a replica."""
    for number in (1, 2, 3):
        world.add_machine(f"front-{number}", "gateway", f"zone-{number}")
    stores = [world.add_machine(f"storage-{n}", "storage", f"zone-{n}") for n in (1, 2, 3)]
    for zone in ("zone-1", "zone-2", "zone-3"):
        await world.add_replica("model", zone, run_turn)
    world.configure(configuration())
    await world.start_machines()
    first, second, third = world.machines[:3]
    programs = [Program(world, f"p{number}") for number in range(PROGRAMS)]
    times = Timetable(world)

    await send_turns(programs, first)
    await times.wait_for("other programs")
    await send_first_turns(world, first, "o")
    await times.wait_for("killed")
    if has_trouble:
        await stores[1].end()
    await times.wait_for("second turns")
    await send_turns(programs, first)
    await times.wait_for("back")
    if has_trouble:
        await stores[1].start(bootstrap=False)
    await times.wait_for("third turns")
    await send_turns(programs, first)
    await times.wait_for("first disk lost")
    if has_trouble:
        await lose_disk(world, stores[2])
    await times.wait_for("second disk lost")
    if has_trouble:
        await lose_disk(world, stores[0])

    await times.wait_for("fourth turns")
    cut_off = await try_again_and_again(world, programs, [second, third])
    for program in cut_off:
        age_s = harness.time.monotonic() - program.answered_s
        world.record.note("judged", program=program.name, tries=TRIES, age_s=round(age_s, 1))
        if age_s > RETENTION_S:
            raise harness.NotRunError("the tries took longer than the retention")
    world.record.note("judged", programs=PROGRAMS, cut_off=len(cut_off))
    return not cut_off


harness.main(str(Path(__file__).resolve().parent), case)
