"""Answers of replicas that have neither a length nor chunks and end with their connection."""

from collections.abc import Awaitable, Callable

from result import Err, UnwrapError

from lagoonfold_gateway import Gateway
from standins.unframed_replica import UnframedReplica
from tests._suite import load_functions
from tests.gateway._cut import CUTS
from tests.gateway._fleet import Fleet, run_with_fleet, wait_until

EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

Check = Callable[[Fleet, Gateway, UnframedReplica], Awaitable[None]]


def _run(check: Check, body: bytes) -> None:
    """Run a check with one such replica, called directly and through another gateway."""

    async def run(fleet: Fleet) -> None:
        replica = UnframedReplica("r1", body)
        await fleet.nursery.start(replica.serve)
        fleet.list_replica(replica)
        await wait_until(
            lambda: all(gateway.board.replicas.read().get("r1") for gateway in fleet.gateways)
        )
        first = fleet.gateways[0]
        await check(fleet, first, replica)
        CUTS[1].begin(first)
        await check(fleet, first, replica)
        assert first.metrics.counts()["replica_calls_relayed"]

    run_with_fleet(run, gateways=2, replicas=0)


def test_answer_that_ends_with_its_connection_is_whole() -> None:
    """A plain answer as well as a stream."""

    async def check(fleet: Fleet, gateway: Gateway, replica: UnframedReplica) -> None:
        for path in ("/read/a", "/write/a", "/turns/a"):
            answer = await fleet.send(gateway, path)
            assert (answer.status, answer.body) == (200, EVENTS), (path, answer)

    _run(check, EVENTS)


def test_answer_whose_connection_is_reset_is_not_passed_on_as_whole() -> None:
    """One that may be repeated is, others fail."""

    async def check(fleet: Fleet, gateway: Gateway, replica: UnframedReplica) -> None:
        replica.resets = 1
        assert (await fleet.send(gateway, "/write/a")).status == 502
        replica.resets = 1
        assert (await fleet.send(gateway, "/read/a")).body == EVENTS

    _run(check, EVENTS)


def test_stream_that_ends_within_an_event_is_broken_off() -> None:
    """Its caller's answer is not complete."""

    async def check(fleet: Fleet, gateway: Gateway, replica: UnframedReplica) -> None:
        try:
            answer = await fleet.send(gateway, "/turns/a", deadline_ms=1_000)
        except UnwrapError as error:
            assert isinstance(error.result, Err)
        else:
            raise AssertionError(answer)

    _run(check, EVENTS[:-1])


load_tests = load_functions(globals())
