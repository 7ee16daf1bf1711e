"""A route's turns are split between two model services whose events count different tokens."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness_2 as harness

BUDGET = 3_000
MOST = 300  # tokens of one turn
TOKENS_PER_EVENT = {"model-small": 10, "model-large": 30}
PROGRAMS = 4
MAX_TURNS = 60  # a program loops until it is told that its budget is spent


async def run_turn(
    replica: harness.Replica, request: harness.Request, writer: harness.asyncio.StreamWriter
) -> None:
    """Generate as many tokens as the turn may have."""
    most = int(request.headers["token-count"].split(",")[1])
    events = -(-most // TOKENS_PER_EVENT[replica.service])
    await harness.send_events(replica, request, writer, events, gap_s=0.002)


def configuration(version: int, *, is_split: bool) -> dict:
    """Return a configuration whose turns go to one service, or to two in equal shares."""
    if is_split:
        names = ("model-small", "model-large")
        target = {"TrafficSplit": [{"Service": name, "Weight": 50} for name in names]}
    else:
        target = {"Service": "model-small"}
    route = {
        "Name": "turns",
        "PathPrefix": "/turns/",
        "RouteType": "stream",
        "TimeoutMs": 4_000,
        "TargetLatencyMs": 250,
        "GapTargetMs": 150,
        "MaxAttempts": 1,
        "RetainContext": False,
        "RetentionS": 60.0,
        "SessionAffinity": True,
        "AllowResume": True,
        **target,
    }
    services = [
        {"Name": name, "Engine": {"Slots": 12, "KvCapacityTokens": 107_503, "TokensPerEvent": each}}
        for name, each in TOKENS_PER_EVENT.items()
    ]
    return harness.base_config(version, [route], services)


async def run_program(world: harness.World, name: str) -> int:
    """Loop until the budget is spent; return the tokens that the client was handed."""
    tokens = 0
    fronts = world.machines
    for turn in range(MAX_TURNS):
        attempt = harness.new_attempt_id()
        headers = {
            "Host": harness.HOST,
            "Attempt-Id": attempt,
            "Key": "key-1",
            "Deadline-Ms": "4000",
            "Program-Id": name,
            "Session-Id": f"{name}-line",
            "Program-Deadline-Ms": "60000",
            "Token-Budget": str(BUDGET),
            "Token-Count": f"100,{MOST}",
            "Model": "m",
            "Prompt-Prefix": "5c1e07a2:50,91bd3f06:50",
        }
        front = fronts[turn % len(fronts)]
        answer = await harness.call(front.front, "POST", "/turns/4b", headers, b"prompt")
        events = harness.count_events(answer.body)
        service = answer.body.split(b"data: ")[1].split(b" ")[0].decode() if events else ""
        got = min(MOST, events * TOKENS_PER_EVENT.get(service, 0))
        tokens += got
        world.record.note(
            "turn",
            program=name,
            request=attempt,
            front=front.name,
            status=answer.status,
            whole=answer.is_whole,
            service=service or None,
            events=events,
            tokens=got,
            sum=tokens,
        )
        if answer.status == 402:
            break
    return tokens


async def case(world: harness.World, has_trouble: bool) -> bool:
    """Return whether no program was handed more than its budget and one turn."""
    for number in (1, 2, 3):
        world.add_machine(f"front-{number}", "gateway", f"zone-{number}")
    for zone in ("zone-1", "zone-2", "zone-3"):
        for service in TOKENS_PER_EVENT:
            await world.add_replica(service, zone, run_turn)
    world.configure(configuration(1, is_split=False))
    await world.start_machines()
    if has_trouble:
        world.configure(configuration(5, is_split=True))
    await harness.asyncio.sleep(3.0)  # a configuration is in force after 2 s
    names = [f"p{number}" for number in range(PROGRAMS)]
    sums = await harness.asyncio.gather(*(run_program(world, name) for name in names))
    for name, tokens in zip(names, sums, strict=True):
        world.record.note("judged", program=name, tokens=tokens, allowed=BUDGET + MOST)
    if min(sums) < BUDGET / 2:
        raise harness.NotRunError("the programs were not served")
    return max(sums) <= BUDGET + MOST


harness.main(str(Path(__file__).resolve().parent), case)
