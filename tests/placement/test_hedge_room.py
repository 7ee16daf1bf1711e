"""Which replicas get the second attempt of a request whose first one is in progress."""

import random

from lagoonfold.forwarding import Replica
from lagoonfold.placement import (
    PlacementOrder,
    PlacementQueue,
    PromptCacheIndex,
    ReplicaSelector,
    ReplicaTracker,
    SelectionInput,
)
from tests._suite import load_functions

REPLICA = Replica(
    replica_id="r1", service="models", address="10.0.0.1:1", failure_domain="a", slots=4
)
HEDGE = SelectionInput(typical_latency_s=0.03, is_hedge=True)
FIRST = SelectionInput(typical_latency_s=0.03)


def _make_selector() -> tuple[ReplicaTracker, ReplicaSelector]:
    tracker = ReplicaTracker()
    return tracker, ReplicaSelector(tracker, PromptCacheIndex(), random.Random(5))


def _is_chosen(selector: ReplicaSelector, request: SelectionInput) -> bool:
    return selector.choose([REPLICA], request, now_s=1.0) is not None


def test_hedge_takes_neither_the_last_slot_nor_a_queue_at_a_replica() -> None:
    """A first attempt that arrives next would wait for the hedge."""
    tracker, selector = _make_selector()
    chosen = []
    for _ in range(5):
        chosen.append((_is_chosen(selector, HEDGE), _is_chosen(selector, FIRST)))
        tracker.record_sent("r1")
    assert chosen == [(True, True)] * 3 + [(False, True)] * 2, chosen


def test_hedge_goes_to_no_limited_replica() -> None:
    """It would use up the limit of first attempts."""
    _, selector = _make_selector()
    selector.limits.record_named("r1", 0, 100.0, now_s=-5.0)
    assert (_is_chosen(selector, HEDGE), _is_chosen(selector, FIRST)) == (False, True)


def test_hedge_is_refused_at_once_while_a_request_waits() -> None:
    """It would take the place that becomes free before the one that waits for it."""
    tracker, selector = _make_selector()
    queue: PlacementQueue[str] = PlacementQueue(selector, tracker)
    for _ in range(5):
        tracker.record_sent("r1")
    order = PlacementOrder(rank=5, tie_break=0.0, wait_until_s=9.0)
    assert queue.place("waits", FIRST, order, [REPLICA], now_s=1.0).unwrap() is None
    for _ in range(5):
        tracker.record_ended("r1")
    first_rank = PlacementOrder(rank=0, tie_break=0.0, wait_until_s=9.0, may_wait=False)
    assert queue.place("hedge", HEDGE, first_rank, [REPLICA], now_s=1.0).is_err()
    assert len(queue) == 1


load_tests = load_functions(globals())
