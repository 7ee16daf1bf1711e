"""Second attempts of requests whose first one is late, as callers and replicas see them."""

from collections.abc import Awaitable, Callable

import trio

from lagoonfold_gateway import Gateway, parse_settings
from lagoonfold_io import HttpResponse
from standins.replica import Replica
from tests._suite import load_functions
from tests.gateway._fleet import Fleet, make_config, run_and_collect_lines, wait_until

WARM_REQUESTS = 40
USUAL_S = 0.02
LATE_S = 0.2  # before a head is overdue
SHARE = 0.1
FILE = (
    "[instance]\nid = g1\nfailure_domain = a\nlisten = 10.0.0.1:1\nreadiness = 10.0.0.1:2\n"
    "peers = 10.0.0.1:3\n[store]\naddress = 10.0.0.2:1\n"
)

_Change = Callable[[Replica, Replica], None]


async def _send_late(
    fleet: Fleet, change: _Change, *, path: str = "/read/a", deadline_ms: int = 5_000
) -> tuple[HttpResponse, Replica, Replica]:
    """Warm up, then send a late request; return the answer, the first replica and the other one.

    `change` is called with both once the request is at the first one.
    """
    (gateway,), replicas = fleet.gateways, list(fleet.replica_by_id.values())
    for replica in replicas:
        replica.behaviour.answer_after_s = USUAL_S
    for _ in range(WARM_REQUESTS):
        assert (await fleet.send(gateway, path)).status == 200
    found: list[Replica] = []

    async def change_once_sent() -> None:
        while not any(replica.running for replica in replicas):
            await trio.sleep(0.001)  # a hedge comes `USUAL_S` later at the earliest
        found.extend(sorted(replicas, key=lambda replica: -replica.running))
        found[1].behaviour.answer_after_s = 0.0
        change(*found)

    for replica in replicas:
        replica.behaviour.answer_after_s = LATE_S
    async with trio.open_nursery() as nursery:
        nursery.start_soon(change_once_sent)
        answer = await fleet.send(gateway, path, request_id="late", deadline_ms=deadline_ms)
    return answer, found[0], found[1]


def _counts(gateway: Gateway, name: str) -> dict[str, float]:
    return dict(gateway.metrics.counts().get(name, {}))


def _run(
    check: Callable[[Fleet], Awaitable[None]], share: float = SHARE, **route: object
) -> list[str]:
    """Run a check; return the lines of the attempts of the late request."""
    config = make_config(**route)
    lines = run_and_collect_lines(check, config=config, hedge_share=share)
    (done,) = [each for each in lines["request.done"] if each["request_id"] == "late"]
    return done["tries"]


async def _assert_given_back(fleet: Fleet) -> None:
    """Fail unless no placement is open any more."""
    (gateway,) = fleet.gateways
    await wait_until(
        lambda: not any(
            gateway.replica_tracker.requests_at(replica_id, now_s=1e9)
            for replica_id in fleet.replica_by_id
        )
    )


def test_hedge_that_answers_first_cancels_the_first_attempt() -> None:
    """The caller waited for the slow replica although another one was free."""

    def change(first: Replica, other: Replica) -> None:
        first.behaviour.silences = 1

    async def check(fleet: Fleet) -> None:
        answer, first, other = await _send_late(fleet, change)
        assert (answer.status, answer.body) == (200, b"echo:"), answer
        assert other.runs_by_request["late"] == 1
        await wait_until(lambda: first.abandoned >= 1)
        await _assert_given_back(fleet)
        assert _counts(fleet.gateways[0], "hedges").get("won", 0) >= 1
        assert not _counts(fleet.gateways[0], "heads_overdue")

    hedge, first = sorted(_run(check), key=lambda line: line.endswith(" overtaken"))
    assert first.endswith(" overtaken") and hedge.endswith(" hedge"), (first, hedge)
    assert "head=None" in first and "answer=200" in hedge, (first, hedge)


def test_first_attempt_that_answers_first_cancels_the_hedge() -> None:
    """The caller gets one answer, and the place of the hedge is free again."""

    def change(first: Replica, other: Replica) -> None:
        other.behaviour.answer_after_s = 30.0

    async def check(fleet: Fleet) -> None:
        answer, first, other = await _send_late(fleet, change)
        assert (answer.status, answer.body) == (200, b"echo:"), answer
        assert first.runs_by_request["late"] == other.runs_by_request["late"] == 1
        await wait_until(lambda: other.abandoned >= 1)
        await _assert_given_back(fleet)
        assert _counts(fleet.gateways[0], "hedges").get("lost", 0) >= 1

    lines = _run(check)
    assert sorted(line.endswith(" hedge overtaken") for line in lines) == [False, True], lines


def test_hedge_that_was_not_run_leaves_the_first_attempt_alone() -> None:
    """A refusal of the second replica ended the request, or said "not run" of the first."""

    def change(first: Replica, other: Replica) -> None:
        other.behaviour.refusals = 1

    async def check(fleet: Fleet) -> None:
        answer, first, other = await _send_late(fleet, change)
        assert answer.status == 200 and first.runs_by_request["late"] == 1, answer
        assert not other.behaviour.refusals and not other.runs_by_request["late"]
        await _assert_given_back(fleet)

    _run(check)


def test_request_without_an_answer_from_either_attempt_is_not_called_not_run() -> None:
    """Both attempts are cancelled at the deadline, and both may have run."""

    def change(first: Replica, other: Replica) -> None:
        first.behaviour.silences = other.behaviour.silences = 1

    async def check(fleet: Fleet) -> None:
        answer, first, other = await _send_late(fleet, change, deadline_ms=600)
        assert answer.status == 504, answer
        await wait_until(lambda: first.abandoned >= 1 and other.abandoned >= 1)
        await _assert_given_back(fleet)

    _run(check)


def _silence(first: Replica, other: Replica) -> None:
    first.behaviour.silences = 1


def test_route_whose_requests_run_at_one_replica_is_not_hedged() -> None:
    """A second replica would break its limit; the silent one gets the request again."""

    async def check(fleet: Fleet) -> None:
        answer, first, other = await _send_late(fleet, _silence)
        assert answer.status == 200 and other.runs_by_request["late"] == 0
        assert first.runs_by_request["late"] == 2
        assert not _counts(fleet.gateways[0], "hedges")

    _run(check, max_upstreams=1)


def test_at_most_once_request_is_not_hedged() -> None:
    """It would run twice."""

    async def check(fleet: Fleet) -> None:
        answer, first, other = await _send_late(fleet, _silence, path="/write/a", deadline_ms=600)
        assert answer.status == 504
        assert (first.runs_by_request["late"], other.runs_by_request["late"]) == (1, 0)
        assert not _counts(fleet.gateways[0], "hedges")

    _run(check)


def test_without_a_share_a_lost_head_is_repeated_as_before() -> None:
    """The setting 0 must not switch off repetitions of overdue heads."""

    async def check(fleet: Fleet) -> None:
        answer, first, other = await _send_late(fleet, _silence)
        assert answer.status == 200
        assert _counts(fleet.gateways[0], "heads_overdue")
        assert not _counts(fleet.gateways[0], "hedges")
        assert not _counts(fleet.gateways[0], "hedges_withheld")

    first, again = _run(check, share=0.0)
    assert " lost: " in first and " hedge" not in again, (first, again)


def test_share_of_hedges_is_checked() -> None:
    """A share above that of all repeated requests would never be reached."""
    for text, share in (
        ("", 0.03),
        ("[hedging]\nshare = 0\n", 0.0),
        ("[hedging]\nshare =\n", 0.03),
    ):
        assert parse_settings(FILE + text).unwrap().hedging.share == share
    for value in ("0.2", "-0.1", "nan", "x"):
        (fault,) = parse_settings(f"{FILE}[hedging]\nshare = {value}\n").unwrap_err()
        assert "share" in fault, fault


load_tests = load_functions(globals())
