"""Replicas that send bytes without end: callers, memory and other requests meanwhile."""

import tracemalloc
from dataclasses import replace

import trio

from lagoonfold.forwarding import ForwardConfig, WeightedService
from lagoonfold_gateway import Gateway
from lagoonfold_io import HttpRequest
from lagoonfold_io._http_connection import StreamError
from standins.endless_replica import TROUBLES, EndlessReplica
from standins.replica import NAMES
from tests._suite import load_functions
from tests.gateway._fleet import HOST, KEY, Fleet, make_config, run_with_fleet, wait_until

FAILURES = {"502", "503", "504", "closed", "broken off"}
STREAM_TROUBLES = (
    "interim heads",
    "body without length",
    "large chunks",
    "chunks of one byte",
    "one event",
    "events",
)
# Small events whose number was not bounded in one read: one stream held up all other requests.
SMALL_EVENTS = ("empty events", "comments", "known events")
DEADLINE_S = 0.5
CALLERS = 4
MAX_BYTES_FOR_EACH = 1_400_000  # 256 MB of an instance with 181 programs under way
PROMPT_S = 0.5  # for a request to a sound replica, which takes some ms by itself


async def _send(fleet: Fleet, gateway: Gateway, path: str) -> str:
    """Send a request and read what comes of the answer; return what the caller got."""
    headers = (
        ("host", HOST),
        (NAMES.request_id, fleet.next_id()),
        (NAMES.deadline_ms, str(int(DEADLINE_S * 1_000))),
        (NAMES.api_key, KEY),
    )
    request = HttpRequest(method="POST", path=path, headers=headers)
    address = gateway.settings.instance.listen
    async with fleet.client.stream(address, request, new_connection=True) as opened:
        if opened.is_err():
            return "closed"
        response = opened.unwrap()
        try:
            while await response.read():
                pass
        except StreamError:
            return "broken off"
        return str(response.head.status)


def _check_trouble(trouble: str, path: str, expected: set[str]) -> None:
    """Send requests that all go to a replica in trouble, and others beside them."""

    async def check(fleet: Fleet) -> None:
        gateway = fleet.gateways[0]
        replica = EndlessReplica("endless", trouble)
        await fleet.nursery.start(replica.serve)
        fleet.list_replica(replica, service="endless")
        directory = gateway.board.replicas.read()
        await wait_until(lambda: directory.get("endless") is not None)
        outcomes: list[str] = []
        slowest_s: list[float] = [0.0]

        async def call() -> None:
            with trio.fail_after(DEADLINE_S + PROMPT_S):
                outcomes.append(await _send(fleet, gateway, path))

        async def call_sound_replica() -> None:
            while len(outcomes) < CALLERS:
                began_s = trio.current_time()
                assert (await fleet.send(gateway, "/open/a", key=None)).status == 200
                slowest_s.append(trio.current_time() - began_s)

        tracemalloc.start()
        try:
            async with trio.open_nursery() as nursery:
                for _ in range(CALLERS):
                    nursery.start_soon(call)
                nursery.start_soon(call_sound_replica)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert set(outcomes) <= expected, (trouble, outcomes)
        assert peak_bytes <= CALLERS * MAX_BYTES_FOR_EACH, (trouble, peak_bytes)
        assert max(slowest_s) <= PROMPT_S, (trouble, slowest_s)
        await wait_until(lambda: replica.open == 0)

    config = make_config(timeout_s=5.0)
    run_with_fleet(check, replicas=1, config=_with_endless_service(config))


def _with_endless_service(config: ForwardConfig) -> ForwardConfig:
    """Return the configuration with all routes but the open one at a service of its own."""
    targets = (WeightedService(service="endless", weight=1),)
    routes = tuple(
        route if route.is_open else replace(route, targets=targets) for route in config.routes
    )
    endless = replace(config.services_by_name["models"], name="endless")
    services = {**config.services_by_name, "endless": endless}
    return replace(config, routes=routes, services_by_name=services)


def test_plain_answers_without_end_are_failures_in_time() -> None:
    """Whatever it is that does not end."""
    for trouble in TROUBLES:
        if trouble != "more than its length":
            _check_trouble(trouble, "/read/a", FAILURES)


def test_requests_that_run_once_fail_in_time_when_the_answer_does_not_end() -> None:
    """They are not sent again, and the failure does not say that they have not run."""
    for trouble in ("headers", "interim heads", "body without length"):
        _check_trouble(trouble, "/write/a", FAILURES - {"503"})


def test_streams_without_end_are_failures_in_time() -> None:
    """A stream that has begun is broken off."""
    for trouble in STREAM_TROUBLES:
        _check_trouble(trouble, "/turns/a", FAILURES)


def test_small_events_without_end_hold_up_no_other_request() -> None:
    """All events of one read were sent before any other task ran (CONFIG)."""
    for trouble in SMALL_EVENTS:
        _check_trouble(trouble, "/turns/a", FAILURES)


def test_streams_go_on_at_a_sound_replica_beside_one_that_sends_events_without_end() -> None:
    """Its answers count as lost after some hundred events, and it is put aside after two."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        replica = EndlessReplica("endless", "empty events")
        await fleet.nursery.start(replica.serve)
        fleet.list_replica(replica)
        directory = gateway.board.replicas.read()
        await wait_until(lambda: directory.get("endless") is not None)
        for _ in range(30):
            answer = await fleet.send(gateway, "/turns/a")
            assert answer.status == 200 and answer.body.startswith(b"id: 1"), answer
        assert 2 <= replica.closed <= 10, replica
        assert replica.sent_bytes <= 200_000 * replica.closed, replica

    run_with_fleet(check, replicas=1)


def test_bytes_after_an_answer_are_not_read() -> None:
    """The answer counts, and its connection is closed."""
    _check_trouble("more than its length", "/read/a", {"200"})


load_tests = load_functions(globals())
