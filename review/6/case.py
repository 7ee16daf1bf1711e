"""Sub-agents go on from turns with long inputs; the processes use more memory than they may."""

import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness_2 as harness

LONG, USUAL = 4_000_000, 4_300  # bytes of a parent turn's input; callers may send 4,194,304
PROGRAMS = 9
WIDTH = 10  # sub-agents of a program that run at the same time
ROUNDS = 8
RESTART_S = 0.5
MB = 1_048_576


async def run_turn(
    replica: harness.Replica, request: harness.Request, writer: harness.asyncio.StreamWriter
) -> None:
    """Read the prompt and answer with some events."""
    await harness.asyncio.sleep(0.1)
    await harness.send_events(replica, request, writer, 7, gap_s=0.03)


def configuration() -> dict:
    """Return a configuration with one route whose turns the system keeps."""
    route = {
        "Name": "turns",
        "PathPrefix": "/turns/",
        "RouteType": "stream",
        "TimeoutMs": 4_000,
        "TargetLatencyMs": 250,
        "GapTargetMs": 150,
        "MaxAttempts": 2,
        "RetainContext": True,
        "RetentionS": 60.0,
        "SessionAffinity": True,
        "AllowResume": False,
        "Service": "model",
    }
    engine = {"Slots": 12, "KvCapacityTokens": 107_503, "TokensPerEvent": 10}
    return harness.base_config(1, [route], [{"Name": "model", "Engine": engine}])


class Platform:
    """Ends each process that uses more memory than it may, and starts it again."""

    def __init__(self, world: harness.World) -> None:
        self._world = world
        self.ends: Counter[str] = Counter()
        self.peak_mb: dict[str, float] = {}

    async def watch(self) -> None:
        """Look at all processes again and again."""
        while True:
            for machine in self._world.machines:
                used_mb = machine.memory_bytes() / MB
                name = machine.name
                self.peak_mb[name] = max(self.peak_mb.get(name, 0.0), round(used_mb, 1))
                if used_mb > machine.limits["MemoryMb"]:
                    self.ends[name] += 1
                    self._world.record.note(
                        "process.over_memory", machine=name, used_mb=round(used_mb, 1)
                    )
                    await machine.end()
                    await harness.asyncio.sleep(RESTART_S)
                    await machine.start(bootstrap=False)
            await harness.asyncio.sleep(0.02)


class Caller:
    """Sends the turns of one program."""

    def __init__(self, world: harness.World, name: str) -> None:
        self._world, self._name = world, name
        self.whole = self.failed = 0

    async def turn(self, front: harness.Machine, line: str, previous: str, body: bytes) -> str:
        """Send a turn; return its id if it was answered whole, otherwise nothing."""
        attempt = harness.new_attempt_id()
        headers = {
            "Host": harness.HOST,
            "Attempt-Id": attempt,
            "Key": "key-1",
            "Deadline-Ms": "4000",
            "Program-Id": self._name,
            "Session-Id": f"{self._name}-{line}",
            "Program-Deadline-Ms": "20000",
            "Token-Budget": "100000",
            "Token-Count": "100,300",
            "Model": "m",
            "Prompt-Prefix": "5c1e07a2:50,91bd3f06:50",
        }
        if previous:
            headers["Previous-Turn"] = previous
        answer = await harness.call(front.front, "POST", "/turns/4b", headers, body)
        is_whole = answer.status == 200 and answer.is_whole
        self.whole += is_whole
        self.failed += not is_whole
        self._world.record.note(
            "turn",
            program=self._name,
            request=attempt,
            previous=previous or None,
            front=front.name,
            size=len(body),
            status=answer.status,
            whole=answer.is_whole,
        )
        return attempt if is_whole else ""

    async def run(self, front: harness.Machine, size: int) -> None:
        """Send one turn, and let all sub-agents go on from it."""
        parent = await self.turn(front, "0", "", b"x" * size)
        if parent:
            await harness.asyncio.gather(
                *(self.turn(front, f"{n}", parent, b"y" * 300) for n in range(1, WIDTH + 1))
            )


async def case(world: harness.World, has_trouble: bool) -> bool:
    """Return whether processes end by themselves three times on two machines."""
    for number in (1, 2, 3):
        world.add_machine(f"front-{number}", "gateway", f"zone-{number}")
    for number in (1, 2, 3):
        world.add_machine(f"storage-{number}", "storage", f"zone-{number}")
    for zone in ("zone-1", "zone-2", "zone-3"):
        await world.add_replica("model", zone, run_turn)
    world.configure(configuration())
    await world.start_machines()
    platform = Platform(world)
    world.run(platform.watch())
    size = LONG if has_trouble else USUAL
    whole = failed = 0
    for number in range(ROUNDS):
        callers = [Caller(world, f"p{number}-{each}") for each in range(PROGRAMS)]
        await harness.asyncio.gather(
            *(caller.run(world.machines[n % 3], size) for n, caller in enumerate(callers))
        )
        whole += sum(caller.whole for caller in callers)
        failed += sum(caller.failed for caller in callers)
        await harness.asyncio.sleep(2.0)
    world.record.note("judged", whole=whole, failed=failed, ends=dict(platform.ends))
    world.record.note("judged", peak_mb=platform.peak_mb)
    if not whole:
        raise harness.NotRunError("no turn was served")
    return sum(ends >= 3 for ends in platform.ends.values()) < 2


harness.main(str(Path(__file__).resolve().parent), case)
