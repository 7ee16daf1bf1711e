"""The owner of some programs freezes for 3 s; then they are used at it and at its successor."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness_2 as harness

BUDGET = 3_000
MOST = 300  # tokens of one turn
TOKENS_PER_EVENT = 10
FRONTS = 7
PROGRAMS = 18
RETENTION_S = 60.0
FREEZE_S = 3.0
PAUSE_S = (
    0.7  # between the first turns and the freeze; their ends are told to their owners meanwhile
)
THINK_S = 1.5  # between the first turn of a program and the next ones
MAX_TURNS = 30  # of a program that loops until it is told that its budget is spent
RETURN_S = 30.0  # after the first stop, within the retention
SECOND_RETURN_S = 69.0  # after the first stop, within the retention of the return before


async def run_turn(
    replica: harness.Replica, request: harness.Request, writer: harness.asyncio.StreamWriter
) -> None:
    """Generate as many tokens as the prompt asks for, at most those that the turn may have."""
    most = int(request.headers["token-count"].split(",")[1])
    wanted = min(most, int(request.body.partition(b"=")[2]))
    events = -(-wanted // TOKENS_PER_EVENT)
    await harness.send_events(replica, request, writer, events, gap_s=0.002)


def configuration() -> dict:
    """Return a configuration with one route for turns."""
    route = {
        "Name": "turns",
        "PathPrefix": "/turns/",
        "RouteType": "stream",
        "TimeoutMs": 4_000,
        "TargetLatencyMs": 250,
        "GapTargetMs": 150,
        "MaxAttempts": 1,
        "RetainContext": False,
        "RetentionS": RETENTION_S,
        "SessionAffinity": True,
        "AllowResume": True,
        "Service": "model",
    }
    engine = {"Slots": 12, "KvCapacityTokens": 107_503, "TokensPerEvent": TOKENS_PER_EVENT}
    return harness.base_config(1, [route], [{"Name": "model", "Engine": engine}])


class Program:
    """A program as its client sees it."""

    def __init__(self, world: harness.World, name: str) -> None:
        self._world, self.name, self.tokens = world, name, 0

    async def turn(self, front: harness.Machine, wanted: int) -> int:
        """Send one turn; return the status, 0 for no answer."""
        attempt = harness.new_attempt_id()
        headers = {
            "Host": harness.HOST,
            "Attempt-Id": attempt,
            "Key": "key-1",
            "Deadline-Ms": "4000",
            "Program-Id": self.name,
            "Session-Id": f"{self.name}-line",
            "Program-Deadline-Ms": "100000",
            "Token-Budget": str(BUDGET),
            "Token-Count": f"100,{MOST}",
            "Model": "m",
            "Prompt-Prefix": "5c1e07a2:50,91bd3f06:50",
        }
        body = f"tokens={wanted}".encode()
        answer = await harness.call(front.front, "POST", "/turns/4b", headers, body)
        got = harness.count_events(answer.body) * TOKENS_PER_EVENT
        self.tokens += got
        self._world.record.note(
            "turn",
            program=self.name,
            request=attempt,
            front=front.name,
            status=answer.status,
            whole=answer.is_whole,
            tokens=got,
            sum=self.tokens,
        )
        return answer.status

    async def loop(self, front: harness.Machine) -> None:
        """Send turns until the budget is spent; one that was refused is sent again."""
        for _ in range(MAX_TURNS):
            status = await self.turn(front, MOST)
            if status == 402:
                return
            if status != 200:
                await harness.asyncio.sleep(0.3)


async def case(world: harness.World, has_trouble: bool) -> bool:
    """Return whether no program was handed more than its budget and one turn."""
    for number in range(FRONTS):
        world.add_machine(f"front-{number + 1}", "gateway", f"zone-{number % 3 + 1}")
    for zone in ("zone-1", "zone-2", "zone-3"):
        await world.add_replica("model", zone, run_turn)
    world.configure(configuration())
    await world.start_machines()
    first, frozen, third = world.machines[:3]
    programs = [Program(world, f"p{number}") for number in range(PROGRAMS)]
    gather, sleep = harness.asyncio.gather, harness.asyncio.sleep

    await gather(*(program.turn(first, 100) for program in programs))
    await sleep(PAUSE_S)
    if has_trouble:
        frozen.signal(harness.signal.SIGSTOP)
    await sleep(THINK_S)
    loops = [harness.asyncio.ensure_future(program.loop(first)) for program in programs]
    await sleep(FREEZE_S - THINK_S)
    if has_trouble:
        frozen.signal(harness.signal.SIGCONT)
    await gather(*loops)
    world.record.note("all programs were stopped")

    await sleep(RETURN_S)
    await gather(*(program.turn(third, 50) for program in programs))
    await sleep(SECOND_RETURN_S - RETURN_S)
    await gather(*(program.loop(third) for program in programs))

    for program in programs:
        world.record.note(
            "judged", program=program.name, tokens=program.tokens, allowed=BUDGET + MOST
        )
    if min(program.tokens for program in programs) < BUDGET / 2:
        raise harness.NotRunError("the programs were not served")
    return max(program.tokens for program in programs) <= BUDGET + MOST


harness.main(str(Path(__file__).resolve().parent), case)
