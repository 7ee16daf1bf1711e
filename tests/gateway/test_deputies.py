"""Deputies of owners that do not respond or are busy, over several instances."""

from collections.abc import Callable

import msgspec
import trio

from lagoonfold.placement import PlacementOrder, PoolDuty, ReplicaPool, SelectionInput
from lagoonfold_gateway import Gateway
from lagoonfold_gateway._messages import Message, Placed, PlacementRefused, PlaceRequest
from tests._suite import load_functions
from tests.gateway._fleet import Fleet, run_and_collect_lines, run_with_fleet, wait_until

POOL = ReplicaPool("models")


def _roles(fleet: Fleet) -> tuple[Gateway, Gateway, Gateway]:
    """Return the owner of the pool, its deputy, and an instance that is neither."""
    duty: PoolDuty = fleet.gateways[0].pool_owners.duty(POOL)
    by_id = {gateway.bus.own_id: gateway for gateway in fleet.gateways}
    owner, deputy = by_id.pop(duty.owner), by_id.pop(duty.deputy)
    return owner, deputy, next(iter(by_id.values()))


def _handle(gateway: Gateway, handler: Callable[[Message], object]) -> list[PlaceRequest]:
    """Let an instance handle requests for a place in another way; return those it gets."""
    asked: list[PlaceRequest] = []

    def handle(request: Message) -> object:
        asked.append(request)
        return handler(request)

    gateway.bus.register_handler(PlaceRequest)(handle)
    return asked


def _freeze(gateway: Gateway) -> list[PlaceRequest]:
    """Let an instance never answer a request for a place."""
    return _handle(gateway, lambda request: trio.sleep_forever())


def _make_busy(gateway: Gateway) -> list[PlaceRequest]:
    """Let an instance take its event loop for late."""
    gateway.placement_owner.load.is_busy = lambda *, now_s: True
    return _handle(gateway, gateway.placement_owner._handle_request)


def _placed(gateway: Gateway) -> dict[str, float]:
    return gateway.metrics.counts().get("placements", {})


def _in_flight(gateway: Gateway, fleet: Fleet) -> int:
    tracker = gateway.replica_tracker
    return sum(tracker.requests_at(key, now_s=1e9) for key in fleet.replica_by_id)


def test_deputy_places_while_the_owner_is_frozen_and_is_told_the_ends() -> None:
    """Each instance would place by its own knowledge, and the deputy's count would only grow."""

    async def check(fleet: Fleet) -> None:
        owner, deputy, other = _roles(fleet)
        asked = _freeze(owner)
        for replica in fleet.replica_by_id.values():
            replica.behaviour.answer_after_s = 0.3
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.send, other, "/read/a")
            await wait_until(lambda: _in_flight(deputy, fleet) == 1)
        assert (await fleet.send(other, "/read/b")).status == 200
        assert _placed(other) == {"deputy": 2.0} and len(asked) == 1
        await wait_until(lambda: _in_flight(deputy, fleet) == 0)
        assert not _in_flight(other, fleet)

    run_with_fleet(check, gateways=3)


def test_instance_places_by_itself_only_if_the_deputy_is_silent_too() -> None:
    """Then by what replicas told it, and without all its requests waiting for both again."""

    async def check(fleet: Fleet) -> None:
        owner, deputy, other = _roles(fleet)
        asked, wanted = [_freeze(owner), _freeze(deputy)], []
        place = other.dispatcher.place

        def record(pool: ReplicaPool, request: SelectionInput, order: PlacementOrder) -> object:
            wanted.append(request)
            return place(pool, request, order)

        other.dispatcher.place = record
        assert (await fleet.send(other, "/read/a")).status == 200
        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(fleet.send, other, "/read/b")
        assert _placed(other) == {"self": 7.0} and all(each.by_reports for each in wanted)
        assert all(len(each) <= 2 for each in asked), "one request finds out for all"
        await wait_until(lambda: not _in_flight(other, fleet))

    run_with_fleet(check, gateways=3)


def test_requests_are_placed_while_the_owner_is_lost() -> None:
    """By the deputy, which then becomes the owner and knows what it has placed."""

    async def check(fleet: Fleet) -> None:
        owner, deputy, other = _roles(fleet)
        fleet.kill(owner)
        for _ in range(5):
            assert (await fleet.send(other, "/read/a")).status == 200
        assert "self" not in _placed(other), _placed(other)
        await wait_until(lambda: other.pool_owners.duty(POOL).owner == deputy.bus.own_id)

    run_with_fleet(check, gateways=3)


def test_busy_owner_sends_requests_to_its_deputy_and_logs_it() -> None:
    """It would answer too late; a line for each request would cost it more time."""

    async def check(fleet: Fleet) -> None:
        owner, _, other = _roles(fleet)
        asked = _make_busy(owner)
        for _ in range(4):
            assert (await fleet.send(other, "/read/a")).status == 200
        assert _placed(other) == {"deputy": 4.0} and asked
        assert (await fleet.send(owner, "/read/a")).status == 200
        assert not _in_flight(owner, fleet)

    lines = run_and_collect_lines(check, gateways=3)
    assert 1 <= len(lines["placement.owner_busy"]) <= 2 and "placement.owner_silent" not in lines


def test_single_instance_does_not_refuse_itself() -> None:
    """It has no deputy, and a second view of its own requests would only know less."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        _make_busy(gateway)
        assert (await fleet.send(gateway, "/read/a")).status == 200
        assert _placed(gateway) == {"owner": 1.0}

    run_with_fleet(check)


def test_busy_owner_serves_an_instance_of_the_previous_build() -> None:
    """That one does not know "busy": it would ask again without a pause, or refuse its client."""

    async def check(fleet: Fleet) -> None:
        owner, _, _ = _roles(fleet)
        owner.placement_owner.load.is_busy = lambda *, now_s: True
        serve = owner.placement_owner._handle_request
        request = PlaceRequest(
            instance="old",
            number=1,
            service="models",
            pool_index=0,
            pool_count=1,
            route="read",
            parts=(),
            excluded=(),
            only=None,
            failure_domain="zone-a",
            rank=0,
            soft_time_left_s=1.0,
            time_left_s=1.0,
            hold_s=0.0,
        )
        assert isinstance(serve(request), Placed)
        answer = serve(msgspec.structs.replace(request, number=2, knows_busy=True))
        assert isinstance(answer, PlacementRefused) and answer.is_busy

    run_with_fleet(check, gateways=3)


def test_refusal_of_the_previous_build_is_no_sign_of_a_busy_owner() -> None:
    """It has no such field; its requests wait at the owner as before."""

    async def check(fleet: Fleet) -> None:
        owner, _, other = _roles(fleet)
        serve, refusals = owner.placement_owner._handle_request, iter(("waiting", "waiting"))

        def handle(request: Message) -> object:
            shortage = next(refusals, None)
            return PlacementRefused(shortage=shortage) if shortage else serve(request)

        asked = _handle(owner, handle)
        assert (await fleet.send(other, "/read/a")).status == 200
        assert _placed(other) == {"owner": 1.0} and len(asked) == 3

    run_with_fleet(check, gateways=3)


load_tests = load_functions(globals())
