"""Tests of the daemon's dispatcher, with upstreams that are listed but never contacted."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import trio
import trio.testing
from result import Err, Ok

from lagoonfold import (
    AccountId,
    CallId,
    ErrorKind,
    InstanceId,
    ListedInstance,
    ProgramId,
    UpstreamId,
)
from lagoonfold.scheduling import LoadReport
from lagoonfold_io import HttpClient
from lagoonfold_io.observe import Metrics
from lagoonfold_node._dispatch import (
    CacheEvictor,
    Dispatcher,
    PlacementRequest,
    PoisonNotices,
    UpstreamTable,
)
from tests._suite import load_functions


class _UnavailableStore:
    """A key-value store that is unreachable."""

    async def grant_lease(self, ttl_s: float) -> Err[str]:
        return Err("down")


def _dispatcher(count: int, *, slots: int = 1) -> Dispatcher:
    table = UpstreamTable(InstanceId("entry-1"))
    table.update({UpstreamId(f"e-{n}"): _listed(n) for n in range(count)})
    for state in table.states_by_id.values():
        state.load.record_report(LoadReport(running=0, waiting=0, slots=slots), now_s=0.0)
    poison = PoisonNotices(store=_UnavailableStore(), broadcast=lambda message: None)
    caches = CacheEvictor(table, HttpClient())
    return Dispatcher(table, poison, caches, Metrics(), random.Random(1))


def _listed(number: int, *, leaving: bool = False) -> ListedInstance:
    return ListedInstance(
        instance_id=f"e-{number}",
        role="engine",
        address=f"127.0.0.1:{number}",
        failure_domain="a",
        models=("m",),
        leaving=leaving,
    )


def _request(number: int, **changes: Any) -> PlacementRequest:
    values = {
        "call_id": CallId(f"c-{number}"),
        "program_id": ProgramId(f"p-{number}"),
        "account_id": AccountId("a"),
        "target": "m",
        "content_digest": f"digest-{number}",
        "deadline_s": trio.current_time() + 60.0,
    }
    return PlacementRequest(**{**values, **changes})


def _run(check: Callable[[], Awaitable[None]]) -> None:
    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


async def _hold(dispatcher: Dispatcher, request: PlacementRequest, seconds: float) -> Any:
    async with dispatcher.place(request) as placed:
        await trio.sleep(seconds)
        if isinstance(placed, Ok):
            placed.ok_value.succeed()
        return placed


def test_second_call_waits_for_the_only_slot() -> None:
    """A call waits while the upstream is full and gets the slot once it is free."""

    async def check() -> None:
        dispatcher = _dispatcher(1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_hold, dispatcher, _request(1), 3.0)
            await trio.testing.wait_all_tasks_blocked()
            started_s = trio.current_time()
            assert (await _hold(dispatcher, _request(2), 0.0)).is_ok()
            assert abs(trio.current_time() - started_s - 3.0) < 0.1

    _run(check)


def test_call_is_refused_at_the_end_of_its_wait() -> None:
    """At the end of its tolerated wait a call is refused as not run, with a `retry_after_s`."""

    async def check() -> None:
        dispatcher = _dispatcher(1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_hold, dispatcher, _request(1), 50.0)
            await trio.testing.wait_all_tasks_blocked()
            started_s = trio.current_time()
            refused = await _hold(dispatcher, _request(2, max_wait_s=2.0), 0.0)
            assert abs(trio.current_time() - started_s - 2.0) < 0.1
            assert refused.unwrap_err().kind is ErrorKind.QUEUE_FULL
            assert refused.unwrap_err().retry_after_s > 0
            nursery.cancel_scope.cancel()

    _run(check)


def test_cancelled_caller_releases_its_slot() -> None:
    """A cancelled call gives back its place in the queue and its slot at the upstream."""

    async def check() -> None:
        dispatcher = _dispatcher(1)
        with trio.move_on_after(1.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_hold, dispatcher, _request(1), 50.0)
                nursery.start_soon(_hold, dispatcher, _request(2), 50.0)
        assert (await _hold(dispatcher, _request(3), 0.0)).is_ok()
        assert dispatcher.table.states_by_id[UpstreamId("e-0")].load.own_calls == 0

    _run(check)


def test_leaving_upstream_gets_nothing_new() -> None:
    """No call is placed on an upstream once it is listed as leaving."""

    async def check() -> None:
        dispatcher = _dispatcher(2, slots=8)
        dispatcher.table.update(
            {UpstreamId("e-0"): _listed(0, leaving=True), UpstreamId("e-1"): _listed(1)}
        )
        for number in range(8):
            placed = await _hold(dispatcher, _request(number), 0.0)
            assert placed.unwrap().upstream_id == "e-1"

    _run(check)


def test_request_that_crashed_two_upstreams_is_refused() -> None:
    """A request that crashed two upstreams is refused as not run, also under another call id."""

    async def check() -> None:
        dispatcher = _dispatcher(4, slots=8)
        crashed = set()
        for number in range(2):
            request = _request(number, content_digest="same", avoid=frozenset(crashed))
            async with dispatcher.place(request) as placed:
                crashed.add(placed.unwrap().upstream_id)
                placed.unwrap().fail(went_down=True)
            await trio.sleep(5.0)
        refused = await _hold(dispatcher, _request(9, content_digest="same"), 0.0)
        assert refused.unwrap_err().kind is ErrorKind.POISONOUS
        assert len(crashed) == 2

    _run(check)


def test_unknown_model_is_refused_at_once() -> None:
    """A call for a target that no upstream serves is refused at once with a `retry_after_s`."""

    async def check() -> None:
        refused = await _hold(_dispatcher(1), _request(1, target="other"), 0.0)
        assert refused.unwrap_err().kind is ErrorKind.UPSTREAM_UNAVAILABLE
        assert refused.unwrap_err().retry_after_s > 0

    _run(check)


def test_events_of_an_engine_at_a_new_address_are_read_from_the_start() -> None:
    """An engine that was replaced numbers its events from the start again.

    Reading on from the old number would miss the new engine's events.
    """
    table = UpstreamTable(InstanceId("i1"))
    table.update({UpstreamId("e-1"): _listed(1)})
    table.states_by_id[UpstreamId("e-1")].next_event = 500
    table.update({UpstreamId("e-1"): _listed(2)})
    assert table.states_by_id[UpstreamId("e-1")].next_event == 0


load_tests = load_functions(globals())
