"""Limits that replicas name: reading them, counting under them, and their end."""

import random
from bisect import bisect_right

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from lagoonfold.placement import (
    PlacementOrder,
    PlacementQueue,
    PlacementRefusal,
    PlacementShortage,
    PromptCacheIndex,
    ReplicaLimits,
    ReplicaSelector,
    ReplicaTracker,
    SelectionInput,
    parse_limit,
)
from tests._suite import load_functions
from tests.placement._placing_load import make_replicas

PAUSES = st.lists(st.sampled_from([0.0, 0.0, 0.01, 0.05, 0.3, 1.0, 5.0]), max_size=150)
LIMITS = st.sampled_from([0.0, 0.1, 1.0, 2.5, 8.0, 40.0, 1e300])


def _send_all(limits: ReplicaLimits, now_s: float) -> int:
    """Send requests to r1 while its limit has room, at most 100; return how many."""
    sent = 0
    while sent < 100 and limits.has_room("r1", now_s=now_s):
        limits.record_sent("r1", now_s=now_s)
        sent += 1
    return sent


def test_values_that_are_no_limit_are_refused_with_the_value() -> None:
    """A limit is a decimal number of at least 0; of several the lowest counts."""
    assert parse_limit([]) == Ok(None)
    assert parse_limit(["7.5"]) == Ok(7.5)
    assert parse_limit(["9", "2.5", "4"]) == Ok(2.5)
    assert parse_limit(["0"]) == Ok(0.0)
    assert parse_limit(["1e300"]) == Ok(1e300)
    for value in ("", "abc", "-1", "inf", "-inf", "nan", "1e999", "7 a second", "1_000"):
        parsed = parse_limit(["3", value])
        assert parsed == Err(f"limit {value!r} is not a number of requests a second"), parsed


@settings(deadline=None)
@given(LIMITS, PAUSES)
def test_no_window_holds_more_than_the_limit(limit_per_s: float, pauses: list[float]) -> None:
    """Whoever sends all that fits stays within the limit and half a second of it."""
    limits, now_s = ReplicaLimits(), 0.0
    limits.record_named("r1", 1, limit_per_s, now_s=0.0)
    sent_at_s: list[float] = []
    for pause_s in pauses:
        now_s += pause_s
        sent_at_s += [now_s] * _send_all(limits, now_s)
    for index, first in enumerate(sent_at_s):
        in_window = bisect_right(sent_at_s, first + 4.0) - index
        assert in_window <= 4.5 * max(0.25, limit_per_s) + 1, (limit_per_s, in_window)


def test_requests_shortly_before_a_limit_count_against_it() -> None:
    """A replica that got many requests in the last second gets fewer in the next ones."""
    limits = ReplicaLimits()
    for number in range(40):
        limits.record_sent("r1", now_s=number * 0.05)
    limits.record_named("r1", 1, 5.0, now_s=2.0)
    sent = sum(_send_all(limits, 2.0 + step * 0.05) for step in range(60))
    assert 5 <= sent <= 1.25 * 4 * 5 + 3.5 - 20 + 3, sent


def test_replica_with_the_lowest_limit_is_still_tried() -> None:
    """A limit of 0 lets a request through now and then, which may tell that it has ended."""
    limits = ReplicaLimits()
    limits.record_named("r1", 1, 0.0, now_s=0.0)
    sent = sum(_send_all(limits, step * 0.1) for step in range(600))
    assert 10 <= sent <= 16, sent


def test_changed_limit_binds_at_once() -> None:
    """A raised limit allows more from now on, a lowered one less."""
    limits = ReplicaLimits()
    assert limits.record_named("r1", 1, 2.0, now_s=0.0)
    assert not limits.record_named("r1", 1, 2.0, now_s=1.0)
    slow = sum(_send_all(limits, step * 0.1) for step in range(100))
    assert limits.record_named("r1", 1, 20.0, now_s=10.0)
    fast = sum(_send_all(limits, 10.0 + step * 0.1) for step in range(100))
    assert limits.record_named("r1", 1, 2.0, now_s=20.0)
    slow_again = sum(_send_all(limits, 20.0 + step * 0.1) for step in range(100))
    assert 18 <= slow <= 22 and 180 <= fast <= 212 and slow_again <= 22, (slow, fast, slow_again)


def test_limit_ends_with_an_answer_that_names_none() -> None:
    """An answer to a request from before the limit was named last does not end it."""
    limits = ReplicaLimits()
    limits.record_named("r1", 1, 2.0, now_s=1.0)
    assert not limits.record_unlimited("r1", 1, asked_at_s=0.5)
    assert limits.limit_per_s("r1") == 2.0
    assert limits.record_unlimited("r1", 1, asked_at_s=1.5)
    assert limits.limit_per_s("r1") is None and _send_all(limits, 1.6) == 100


def test_restart_under_the_same_id_forgets_the_limit() -> None:
    """Late answers of the incarnation before say nothing of the new one."""
    limits = ReplicaLimits()
    limits.record_named("r1", 1, 2.0, now_s=1.0)
    limits.keep({"r1": 2})
    assert limits.limit_per_s("r1") is None
    limits.record_named("r1", 2, 9.0, now_s=2.0)
    assert not limits.record_named("r1", 1, 2.0, now_s=2.1)
    assert limits.limit_per_s("r1") == 9.0
    limits.keep({})
    assert limits.named() == {}


def test_only_the_instance_that_places_uses_a_limited_replica() -> None:
    """One that takes over starts from an empty bucket at that time."""
    since_s: list[float | None] = [None]
    limits = ReplicaLimits(lambda replica_id: since_s[0])
    limits.record_named("r1", 1, 4.0, now_s=0.0)
    assert _send_all(limits, 50.0) == 0 and not limits.is_placing("r1")
    since_s[0] = 60.0
    assert _send_all(limits, 60.0) == 0 and _send_all(limits, 60.5) == 2
    assert limits.is_placing("r1") and limits.has_room("r2", now_s=60.5)


def test_request_that_limits_would_keep_too_long_is_refused_at_once() -> None:
    """It is told to come back when those before it leave it enough time."""
    tracker, replicas = ReplicaTracker(), make_replicas()[:2]
    selector = ReplicaSelector(tracker, PromptCacheIndex(), random.Random(1))
    queue: PlacementQueue[int] = PlacementQueue(selector, tracker)
    for replica in replicas:
        selector.limits.record_named(replica.replica_id, 0, 2.0, now_s=0.0)
    request = SelectionInput(typical_latency_s=0.1)
    outcomes = [
        queue.place(
            number,
            request,
            PlacementOrder(rank=0, tie_break=float(number), wait_until_s=1.1),
            replicas,
            now_s=0.1,
        )
        for number in range(6)
    ]
    assert outcomes[:4] == [Ok(None)] * 4, outcomes
    refusals = [outcome.err_value for outcome in outcomes[4:]]
    assert all(refusal.shortage is PlacementShortage.FULL for refusal in refusals)
    assert all(isinstance(refusal, PlacementRefusal) for refusal in refusals)
    assert all(0.1 < refusal.retry_after_s <= 0.6 for refusal in refusals), refusals
    placed = [number for step in range(12) for number, _ in queue.grant(replicas, now_s=step * 0.1)]
    assert placed == [0, 1, 2, 3]


load_tests = load_functions(globals())
