"""Placement by the owners of pools, over several instances."""

from contextlib import suppress

import trio
from result import UnwrapError

from lagoonfold.placement import ReplicaPool
from lagoonfold_gateway import Gateway
from tests._suite import load_functions
from tests.gateway._fleet import Fleet, make_config, run_with_fleet, wait_until

PATIENCE_S = 0.6


def _owner(fleet: Fleet) -> Gateway:
    subject = ReplicaPool("models").subject
    return next(gateway for gateway in fleet.gateways if gateway.members.owns(subject))


def _in_flight(gateway: Gateway, fleet: Fleet) -> int:
    return sum(
        gateway.replica_tracker.requests_at(replica_id, now_s=1e9)
        for replica_id in fleet.replica_by_id
    )


def test_owner_knows_the_requests_of_all_instances() -> None:
    """Requests that arrive at any instance count at the owner until they have ended."""

    async def check(fleet: Fleet) -> None:
        owner = _owner(fleet)
        for replica in fleet.replica_by_id.values():
            replica.behaviour.answer_after_s = 0.5
        async with trio.open_nursery() as nursery:
            for gateway in fleet.gateways:
                nursery.start_soon(fleet.send, gateway, "/read/a")
            await wait_until(lambda: _in_flight(owner, fleet) == len(fleet.gateways))
        await wait_until(lambda: _in_flight(owner, fleet) == 0)
        assert all(_in_flight(gateway, fleet) == 0 for gateway in fleet.gateways)

    run_with_fleet(check, gateways=3)


def test_requests_are_placed_while_the_owner_is_lost() -> None:
    """An instance places a request itself when the pool's owner does not answer."""

    async def check(fleet: Fleet) -> None:
        fleet.kill(_owner(fleet))
        for gateway in fleet.gateways:
            assert (await fleet.send(gateway, "/read/a")).status == 200

    run_with_fleet(check, gateways=3)


def test_placements_of_a_lost_instance_are_freed() -> None:
    """Requests that an instance had in flight when it was lost do not take slots for ever."""

    async def check(fleet: Fleet) -> None:
        owner = _owner(fleet)
        lost = next(gateway for gateway in fleet.gateways if gateway is not owner)
        for replica in fleet.replica_by_id.values():
            replica.behaviour.answer_after_s = 30.0

        async def send() -> None:
            with suppress(UnwrapError):
                await fleet.send(lost, "/read/a")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await wait_until(lambda: _in_flight(owner, fleet) == 1)
            fleet.kill(lost)
            await wait_until(lambda: _in_flight(owner, fleet) == 0)
            nursery.cancel_scope.cancel()

    run_with_fleet(check, gateways=3)


def test_caller_that_leaves_the_queue_takes_no_slot() -> None:
    """A request whose caller has left while it waited at the owner is not placed."""

    async def check(fleet: Fleet) -> None:
        owner = _owner(fleet)
        arrival = next(gateway for gateway in fleet.gateways if gateway is not owner)
        replica = fleet.replica_by_id["r1"]
        replica.behaviour.answer_after_s = 1.0
        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(fleet.send, arrival, "/read/a")
            await wait_until(lambda: len(replica.requests) == 5)
            with trio.move_on_after(0.1):
                await fleet.send(arrival, "/read/left")
        await wait_until(lambda: _in_flight(owner, fleet) == 0)
        assert not any("left" in request.path for request in replica.requests)

    run_with_fleet(check, gateways=2, replicas=1)


def test_turn_is_refused_before_its_caller_leaves() -> None:
    """A turn that finds no slot while its caller waits gets 503, with a time to come back."""

    async def check(fleet: Fleet) -> None:
        gateway, replica = fleet.gateways[0], fleet.replica_by_id["r1"]
        replica.behaviour.answer_after_s = 3.0
        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(fleet.send, gateway, "/write/a")
            await wait_until(lambda: len(replica.requests) == 5)
            with trio.fail_after(PATIENCE_S + 1.0):
                answer = await fleet.send(gateway, "/turns/a")
            assert answer.status == 503 and float(answer.header("retry-after")) > 0, answer
            assert not any(request.path == "/turns/a" for request in replica.requests)
            nursery.cancel_scope.cancel()

    run_with_fleet(check, replicas=1, config=make_config(timeout_s=8.0, patience_s=PATIENCE_S))


load_tests = load_functions(globals())
