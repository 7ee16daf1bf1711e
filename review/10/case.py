"""Two replicas crash at once while both run the same popular request."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness_2 as harness

WORK_S = 0.3
CALLERS = 12  # that ask for the popular object again and again, through one gateway
BEFORE_S, DOWN_S, AFTER_S = 3.0, 3.0, 6.0
ALLOWED_REFUSALS = 5  # and one in 500
TARGET = "/objects/2f"


async def run_lookup(
    replica: harness.Replica, request: harness.Request, writer: harness.asyncio.StreamWriter
) -> None:
    """Look an object up."""
    await harness.asyncio.sleep(WORK_S)
    if not writer.is_closing():
        writer.write(harness.encode_answer(200, replica.head(request), b"object " * 100))


def configuration() -> dict:
    """Return a configuration with one route for look-ups."""
    route = {
        "Name": "lookups",
        "PathPrefix": "/objects/",
        "RouteType": "idempotent",
        "TimeoutMs": 3_000,
        "TargetLatencyMs": 400,
        "MaxAttempts": 3,
        "Service": "app",
    }
    return harness.base_config(1, [route], [{"Name": "app"}])


class Lookups:
    """What the clients asked, and how they were answered."""

    def __init__(self, world: harness.World) -> None:
        self._world = world
        self.asked = self.served = self.refused = 0

    async def ask(self, front: harness.Machine) -> int:
        """Ask once; return the status, 0 for no answer."""
        attempt = harness.new_attempt_id()
        headers = {
            "Host": harness.HOST,
            "Attempt-Id": attempt,
            "Key": "key-1",
            "Deadline-Ms": "3000",
        }
        answer = await harness.call(front.front, "GET", TARGET, headers)
        seal = answer.headers.get("server-seal")
        self.asked += 1
        self.served += answer.status == 200
        is_refusal = 300 <= answer.status < 500 and answer.status not in (408, 421, 429)
        self.refused += is_refusal and seal is None
        self._world.record.note(
            "lookup", request=attempt, front=front.name, status=answer.status, seal=seal
        )
        return answer.status

    async def ask_until(self, front: harness.Machine, until_s: float) -> None:
        """Ask again and again."""
        while harness.time.monotonic() < until_s:
            await self.ask(front)
            await harness.asyncio.sleep(0.05)


async def case(world: harness.World, has_trouble: bool) -> bool:
    """Return whether no more than some proper requests were refused with a 4xx."""
    for number in (1, 2, 3):
        world.add_machine(f"front-{number}", "gateway", f"zone-{number}")
    for zone in ("zone-1", "zone-1", "zone-2", "zone-2", "zone-3"):
        await world.add_replica("app", zone, run_lookup)
    world.configure(configuration())
    await world.start_machines()
    gather, sleep, clock = harness.asyncio.gather, harness.asyncio.sleep, harness.time.monotonic
    lookups = Lookups(world)

    busy_until_s = clock() + BEFORE_S + 0.5
    callers = [
        harness.asyncio.ensure_future(lookups.ask_until(world.machines[0], busy_until_s))
        for _ in range(CALLERS)
    ]
    await sleep(BEFORE_S)
    crashed = world.replicas[:2]
    if has_trouble:
        for replica in crashed:
            replica.kill()
    await gather(*callers)
    await sleep(DOWN_S)
    if has_trouble:
        for replica in crashed:
            await replica.start()
    await sleep(AFTER_S)  # all machines are in touch again

    world.record.note("all replicas are up")
    for front in world.machines:
        for _ in range(20):
            await lookups.ask(front)
    allowed = ALLOWED_REFUSALS + lookups.asked / 500
    world.record.note(
        "judged", asked=lookups.asked, served=lookups.served, refused=lookups.refused, most=allowed
    )
    if lookups.served < CALLERS:
        raise harness.NotRunError("the requests were not served")
    return lookups.refused <= allowed


harness.main(str(Path(__file__).resolve().parent), case)
