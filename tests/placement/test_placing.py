"""Placing requests from many instances on the slots of a service's replicas."""

import random
from collections import Counter

from result import Err

from lagoonfold.placement import (
    PlacementOrder,
    PlacementQueue,
    PlacementRefusal,
    PlacementShortage,
    PromptCacheIndex,
    ReplicaSelection,
    ReplicaSelector,
    ReplicaTracker,
    SelectionInput,
    WorkRanking,
    rank_pools,
)
from tests._suite import load_functions
from tests.placement import _limited_load
from tests.placement._placing_load import SERVICE, SLOTS, Clock, make_replicas, waits_for_slots

SIZES = (7, 56, 150, 300)
CALM_UTILIZATION = 0.33
BURST_UTILIZATION = 0.8
SPAN_S = 12.0
NOTICED_WAIT_S = 0.05  # a fifth of a request's time; a program's objective allows as much a turn
MAX_WAITING_SHARE = 0.01
MAX_WAITING_SHARE_IN_BURST = 0.05
FAST_CALL_S = 0.02
FAST_SERVICE_PER_S = 4 * SLOTS / FAST_CALL_S
FLOOD_PER_S = 2_500.0
PATIENCE_S = 1.2


def _waiting_share(size: int, utilization: float) -> float:
    waits = waits_for_slots(size, utilization=utilization, span_s=SPAN_S, seed=18)
    return sum(wait_s > NOTICED_WAIT_S for wait_s in waits) / len(waits)


def test_instances_do_not_send_requests_to_the_same_replica_while_others_idle() -> None:
    """Of the requests of a calm service, at most one in a hundred waits at any size of fleet."""
    for size in SIZES:
        share = _waiting_share(size, CALM_UTILIZATION)
        assert share <= MAX_WAITING_SHARE, (size, round(share, 4))


def test_requests_find_the_free_slots_of_a_busy_service() -> None:
    """With four fifths of the slots taken, at most one request in twenty waits."""
    for size in SIZES:
        share = _waiting_share(size, BURST_UTILIZATION)
        assert share <= MAX_WAITING_SHARE_IN_BURST, (size, round(share, 4))


def _serve_flood(flood_s: float) -> list[str]:
    """Send fast calls at a steady rate to four replicas; return the outcome of each."""
    clock, tracker = Clock(), ReplicaTracker()
    selector = ReplicaSelector(tracker, PromptCacheIndex(), random.Random(1))
    queue: PlacementQueue[int] = PlacementQueue(selector, tracker)
    replicas = make_replicas()[:4]
    request = SelectionInput(typical_latency_s=FAST_CALL_S)
    outcomes: list[str] = []

    def begin(number: int, selection: ReplicaSelection) -> None:
        outcomes[number] = "served"
        clock.call_later(FAST_CALL_S, lambda: end(selection.replica.replica_id))

    def end(replica_id: str) -> None:
        tracker.record_ended(replica_id)
        queue.record_freed(now_s=clock.now_s)
        for number, selection in queue.grant(replicas, now_s=clock.now_s):
            begin(number, selection)

    def arrive() -> None:
        number, now_s = len(outcomes), clock.now_s
        if now_s > flood_s:
            return
        outcomes.append("waiting")
        clock.call_later(1 / FLOOD_PER_S, arrive)
        order = PlacementOrder(rank=0, tie_break=now_s, wait_until_s=now_s + PATIENCE_S)
        placed = queue.place(number, request, order, replicas, now_s=now_s)
        if isinstance(placed, Err):
            outcomes[number] = "refused"
        elif placed.ok_value is not None:
            begin(number, placed.ok_value)

    clock.call_later(0.0, arrive)
    clock.run_until(flood_s + PATIENCE_S)
    return outcomes


def test_calls_that_a_fast_service_would_serve_in_time_are_not_refused() -> None:
    """Calls are served that wait half of their time in a flood of twice what the slots serve."""
    outcomes = _serve_flood(1.0)
    assert Counter(outcomes) == {"served": len(outcomes)}


def test_calls_that_would_wait_too_long_are_refused_at_once() -> None:
    """In a longer flood the queue keeps those that it can serve, and nothing waits in vain."""
    outcomes = Counter(_serve_flood(6.0))
    assert outcomes["refused"] > 0 and outcomes["waiting"] <= 0.02 * outcomes.total(), outcomes
    assert outcomes["served"] >= 0.95 * 6.0 * FAST_SERVICE_PER_S, outcomes


def test_limited_replicas_get_the_large_requests_of_a_busy_service() -> None:
    """Otherwise small ones use up the limits, and one in seven waits for the other replica."""
    for seed in (1, 2, 21):
        outcomes = _limited_load.serve(20.0, tells_sizes=True, seed=seed)
        late = sum(wait_s > NOTICED_WAIT_S for wait_s in outcomes.waits_s)
        assert late <= MAX_WAITING_SHARE_IN_BURST * len(outcomes.waits_s), (seed, late)
        assert outcomes.refused == 0


def test_work_is_ranked_among_the_latest_requests() -> None:
    """Old requests are forgotten; without any, every request counts as large."""
    ranking = WorkRanking()
    assert ranking.rank(1) == 1.0
    for tokens in (10, 20, 30, 30):
        ranking.record(tokens)
    assert [ranking.rank(tokens) for tokens in (5, 10, 25, 30, 31)] == [0.0, 0.0, 0.5, 0.5, 1.0]
    for _ in range(256):
        ranking.record(100)
    assert ranking.rank(99) == 0.0


def test_pools_are_stable_and_spread_the_sessions() -> None:
    """A session keeps its pool, each replica has one pool, and all pools get sessions."""
    replicas = make_replicas()
    rankings = {f"s{number}": rank_pools(SERVICE, replicas, f"s{number}") for number in range(200)}
    pools = set(rankings["s0"])
    assert len(pools) == 2
    assert all(rank_pools(SERVICE, replicas, key) == ranked for key, ranked in rankings.items())
    assert sum(len(pool.select(replicas)) for pool in pools) == len(replicas)
    assert {ranked[0] for ranked in rankings.values()} == pools
    assert len(rank_pools(SERVICE, replicas[:9], "s0")) == 1
    assert rank_pools(SERVICE, [], "s0") == []


def _order(rank: int, *, wait_until_s: float = 10.0, may_wait: bool = True) -> PlacementOrder:
    return PlacementOrder(rank=rank, tie_break=0.0, wait_until_s=wait_until_s, may_wait=may_wait)


def test_freed_slot_goes_to_the_waiting_request_of_the_lowest_rank() -> None:
    """A request that may use only a full replica does not hold up the others."""
    tracker = ReplicaTracker()
    selector = ReplicaSelector(tracker, PromptCacheIndex(), random.Random(1))
    queue: PlacementQueue[str] = PlacementQueue(selector, tracker)
    replicas = make_replicas()[:2]
    request = SelectionInput(typical_latency_s=0.1)
    while queue.place("running", request, _order(0, may_wait=False), replicas, now_s=0.0).is_ok():
        pass
    only_first = SelectionInput(typical_latency_s=0.1, only=replicas[0].replica_id)
    for name, wanted, rank in (
        ("late", request, 5),
        ("first", only_first, 0),
        ("next", request, 1),
    ):
        assert queue.place(name, wanted, _order(rank), replicas, now_s=0.0).unwrap() is None
    refused = queue.place("no wait", request, _order(0, may_wait=False), replicas, now_s=0.0)
    assert refused == Err(PlacementRefusal(shortage=PlacementShortage.FULL))
    assert queue.place("none", request, _order(0), [], now_s=0.0) == Err(
        PlacementRefusal(shortage=PlacementShortage.NO_REPLICA)
    )
    assert not list(queue.grant(replicas, now_s=0.1))
    tracker.record_ended(replicas[1].replica_id)
    assert [name for name, _ in queue.grant(replicas, now_s=0.2)] == ["next"]
    tracker.record_ended(replicas[0].replica_id)
    assert [name for name, _ in queue.grant(replicas, now_s=0.3)] == ["first"]
    queue.withdraw("late")
    assert not len(queue)
    assert 2 * SLOTS <= sum(tracker.requests_at(r.replica_id, now_s=0.3) for r in replicas)


load_tests = load_functions(globals())
