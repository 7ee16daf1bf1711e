"""Instances that are cut off from the replicas, while callers, the store and peers reach them."""

import trio

from lagoonfold.forwarding import ReplicaPool
from lagoonfold_gateway import Gateway
from tests._suite import load_functions
from tests.gateway._cut import CUTS, Cut
from tests.gateway._fleet import Fleet, run_with_fleet

LEARNING_S = 3.0  # in which an instance may find out that it is cut off
USUAL_S = 1.0  # many times what an answer takes
REQUESTS = 10
CALLERS = 4
PATHS = ("/read/a", "/write/a", "/turns/a")


async def _send_some(fleet: Fleet, gateway: Gateway, *, for_s: float) -> None:
    """Send requests that may fail, `CALLERS` at a time on each route."""

    async def call(path: str) -> None:
        while True:
            with trio.move_on_after(USUAL_S):
                await fleet.client_send(gateway, path)
            await trio.sleep(0.05)

    with trio.move_on_after(for_s):
        async with trio.open_nursery() as nursery:
            for path in PATHS * CALLERS:
                nursery.start_soon(call, path)


async def _assert_served(fleet: Fleet, gateway: Gateway) -> None:
    for number in range(REQUESTS):
        with trio.fail_after(USUAL_S):
            answer = await fleet.send(gateway, PATHS[number % len(PATHS)])
        assert answer.status == 200, (number, answer)


def _owner(fleet: Fleet) -> Gateway:
    subject = ReplicaPool("models").subject
    return next(gateway for gateway in fleet.gateways if gateway.members.owns(subject))


def test_callers_of_instances_that_are_cut_off_from_all_replicas_are_served() -> None:
    """By way of an instance that reaches them, also if most instances do not."""

    def run(cut: Cut) -> None:
        async def check(fleet: Fleet) -> None:
            stranded = fleet.gateways[:3]
            async with trio.open_nursery() as nursery:
                for gateway in stranded:
                    cut.begin(gateway)
                    nursery.start_soon(lambda each=gateway: _send_some(fleet, each, for_s=3.0))
            for gateway in stranded:
                await _assert_served(fleet, gateway)

        run_with_fleet(check, gateways=5, replicas=3)

    for cut in CUTS:
        run(cut)


def test_replicas_are_not_avoided_for_what_instances_that_are_cut_off_cannot_reach() -> None:
    """The owner of the replicas' pool is one of them, and places the requests of the others."""

    async def check(fleet: Fleet) -> None:
        owner = _owner(fleet)
        stranded = [owner, next(each for each in fleet.gateways if each is not owner)]
        sound = [each for each in fleet.gateways if each not in stranded]
        async with trio.open_nursery() as nursery:
            for gateway in stranded:
                CUTS[0].begin(gateway)
                nursery.start_soon(lambda each=gateway: _send_some(fleet, each, for_s=6.0))
            await trio.sleep(LEARNING_S)
            for _ in range(2):
                for gateway in sound:
                    await _assert_served(fleet, gateway)
            nursery.cancel_scope.cancel()

    run_with_fleet(check, gateways=4, replicas=3)


def test_request_lost_by_instances_that_are_cut_off_is_not_blamed_for_crashes() -> None:
    """Their connections broke, and they cannot open others, but the replica lives."""

    async def check(fleet: Fleet) -> None:
        *stranded, sound = fleet.gateways
        replica = fleet.replica_by_id["r1"]
        for gateway in stranded:
            assert (await fleet.send(gateway, "/read/a")).status == 200
            CUTS[2].begin(gateway)
            replica.behaviour.losses = 1
            await fleet.send(gateway, "/write/a", body=b"lost")
        await trio.sleep(0.5)
        answer = await fleet.send(sound, "/write/a", body=b"lost")
        assert answer.status == 200, answer

    run_with_fleet(check, gateways=3, replicas=1)


load_tests = load_functions(globals())
