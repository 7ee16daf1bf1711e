"""Second attempts of requests whose first one is late, as callers and replicas see them."""

from collections.abc import Callable
from dataclasses import dataclass
from operator import attrgetter

import trio

from lagoonfold_gateway import parse_settings
from standins.replica import Replica
from tests._suite import load_functions
from tests.gateway._fleet import Fleet, make_config, run_and_collect_lines, wait_until

WARM_TIMES_S = (0.06,) * 10 + (0.01,) * 30  # a hedge is due after 0.06 s
LATE_S = 0.15  # well before a head is overdue
FILE = (
    "[instance]\nid = g1\nfailure_domain = a\nlisten = 10.0.0.1:1\nreadiness = 10.0.0.1:2\n"
    "peers = 10.0.0.1:3\n[store]\naddress = 10.0.0.2:1\n"
)


@dataclass(slots=True)
class _Late:
    """A late request: its status, how often it ran at both replicas, counters, log of attempts."""

    status: int
    runs: tuple[int, int]
    abandoned: tuple[int, int]
    counts: dict[str, dict[str, float]]
    tries: list[str]
    outcome: str = ""


def _send_late(
    change: Callable[[Replica, Replica], None],
    *,
    path: str = "/read/a",
    deadline_ms: int = 5_000,
    share: float = 0.1,
    leaves_once_hedged: bool = False,
    **route: object,
) -> _Late:
    """Warm up, then send a late request; in the end no placement may be open.

    `change` is called with the first replica and the other one once the request is at the first.
    """
    found: list[Replica] = []
    late = _Late(0, (0, 0), (0, 0), {}, [])

    async def change_once_sent(replicas: list[Replica]) -> None:
        while not any(replica.running for replica in replicas):
            await trio.sleep(0.001)
        found.extend(sorted(replicas, key=attrgetter("running"), reverse=True))
        found[1].behaviour.answer_after_s = 0.0
        change(*found)

    async def leave_once_hedged(scope: trio.CancelScope) -> None:
        await wait_until(lambda: bool(found) and bool(found[1].running))
        scope.cancel()

    async def check(fleet: Fleet) -> None:
        (gateway,), replicas = fleet.gateways, list(fleet.replica_by_id.values())
        for time_s in WARM_TIMES_S:
            for replica in replicas:
                replica.behaviour.answer_after_s = time_s
            assert (await fleet.send(gateway, path)).status == 200
        await wait_until(lambda: not any(replica.running for replica in replicas))
        before = [replica.abandoned for replica in replicas]
        for replica in replicas:
            replica.behaviour.answer_after_s = LATE_S
        async with trio.open_nursery() as nursery:
            nursery.start_soon(change_once_sent, replicas)
            with trio.CancelScope() as scope:
                if leaves_once_hedged:
                    nursery.start_soon(leave_once_hedged, scope)
                answer = await fleet.send(gateway, path, request_id="late", deadline_ms=deadline_ms)
                late.status = answer.status
                assert answer.status != 200 or answer.body == b"echo:", answer
        tracker = gateway.replica_tracker
        await wait_until(
            lambda: not any(tracker.requests_at(each.replica_id, now_s=1e9) for each in replicas)
        )
        await wait_until(lambda: not any(replica.running for replica in replicas))
        late.runs = tuple(replica.runs_by_request["late"] for replica in found)
        new = {
            each.replica_id: each.abandoned - n for each, n in zip(replicas, before, strict=True)
        }
        late.abandoned = tuple(new[replica.replica_id] for replica in found)
        late.counts = gateway.metrics.counts()

    lines = run_and_collect_lines(check, config=make_config(**route), hedge_share=share)
    (done,) = [line for line in lines["request.done"] if line["request_id"] == "late"]
    late.tries, late.outcome = done["tries"], done["outcome"]
    return late


def _silence_first(first: Replica, other: Replica) -> None:
    first.behaviour.silences = 1


def _silence_both(first: Replica, other: Replica) -> None:
    first.behaviour.silences = other.behaviour.silences = 1


def test_hedge_that_answers_first_cancels_the_first_attempt() -> None:
    """The caller waited for the slow replica although another one was free."""
    late = _send_late(_silence_first)
    assert (late.status, late.runs, late.abandoned) == (200, (1, 1), (1, 0)), late
    assert late.outcome == "answered", late
    assert late.counts["hedges"]["won"] >= 1 and "heads_overdue" not in late.counts, late
    hedge, first = sorted(late.tries, key=lambda line: line.endswith(" overtaken"))
    assert first.endswith(" overtaken") and hedge.endswith(" hedge"), late
    assert "head=None" in first and "answer=200" in hedge, late


def test_first_attempt_that_answers_first_cancels_the_hedge() -> None:
    """The caller gets one answer, and the place of the hedge is free again."""

    def slow_down_other(first: Replica, other: Replica) -> None:
        other.behaviour.answer_after_s = 30.0

    late = _send_late(slow_down_other)
    assert (late.status, late.runs, late.abandoned) == (200, (1, 1), (0, 1)), late
    assert late.outcome == "answered", late
    assert late.counts["hedges"]["lost"] >= 1, late
    assert [line for line in late.tries if line.endswith(" hedge overtaken")], late


def test_hedge_that_was_not_run_leaves_the_first_attempt_alone() -> None:
    """A refusal of the second replica ended the request, or said "not run" of the first."""

    def refuse_at_other(first: Replica, other: Replica) -> None:
        other.behaviour.refusals = 1

    late = _send_late(refuse_at_other)
    assert (late.status, late.runs, late.abandoned) == (200, (1, 0), (0, 0)), late
    assert any(" hedge full: " in line for line in late.tries), late


def test_both_attempts_end_with_their_request() -> None:
    """At the deadline both may have run, so no status says "not run"; a caller may leave too."""
    late = _send_late(_silence_both, deadline_ms=600)
    assert (late.status, late.runs, late.abandoned) == (504, (1, 1), (1, 1)), late
    late = _send_late(_silence_both, leaves_once_hedged=True)
    assert (late.status, late.runs, late.abandoned) == (0, (1, 1), (1, 1)), late


def test_requests_that_may_not_run_at_two_replicas_are_not_hedged() -> None:
    """A second replica would break the limit of the route; the first gets a lost request again."""
    late = _send_late(_silence_first, max_upstreams=1)
    assert (late.status, late.runs) == (200, (2, 0)) and "hedges" not in late.counts, late
    late = _send_late(_silence_first, path="/write/a", deadline_ms=600)
    assert (late.status, late.runs) == (504, (1, 0)) and "hedges" not in late.counts, late


def test_without_a_share_a_lost_head_is_repeated_as_before() -> None:
    """The setting 0 must not switch off repetitions of overdue heads."""
    late = _send_late(_silence_first, share=0.0)
    assert late.status == 200 and late.counts["heads_overdue"], late
    assert not {"hedges", "hedges_withheld"} & set(late.counts), late
    first, again = late.tries
    assert " lost: " in first and " hedge" not in again, late


def test_share_of_hedges_is_checked() -> None:
    """A share above that of all repeated requests would never be reached."""
    for text, share in (
        ("", 0.0),
        ("[hedging]\nshare = 0.05\n", 0.05),
        ("[hedging]\nshare =\n", 0.0),
    ):
        assert parse_settings(FILE + text).unwrap().hedging.share == share
    for value in ("0.2", "-0.1", "nan", "x"):
        (fault,) = parse_settings(f"{FILE}[hedging]\nshare = {value}\n").unwrap_err()
        assert "share" in fault, fault


load_tests = load_functions(globals())
