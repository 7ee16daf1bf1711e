"""What makes a placement cheap must not change it.

Guards against rules and terms that are left out where they have an effect, against waiting requests
that are kept in another order than that of their keys, and against places that become free at a
replica and go to the wrong request.
"""

import random

from hypothesis import given
from hypothesis import strategies as st

from lagoonfold._rendezvous import weighted_score
from lagoonfold.forwarding import Replica
from lagoonfold.placement import (
    ColdTerms,
    PlacementOrder,
    PlacementQueue,
    PromptCacheIndex,
    PromptPart,
    ReplicaKnowledge,
    ReplicaSelector,
    ReplicaTracker,
    SelectionInput,
    pool_count,
    pools_holding,
    rank_pools,
)
from lagoonfold.placement._capacity_rules import _RULES_BY_REASON, find_rejection
from lagoonfold.placement._cost_terms import _TERMS_BY_NAME, cost_terms_s, estimate_cost_s
from lagoonfold.placement._waiting_list import WaitingList
from lagoonfold.placement._waiting_order import WaitingOrder, WaitingRequest
from tests._suite import load_functions

SERVICE = "models"
NOW_S = 100.0


def _replicas(count: int, slots: int = 2) -> list[Replica]:
    return [
        Replica(
            replica_id=f"r{number}",
            service=SERVICE,
            address=f"10.0.0.{number}:80",
            failure_domain="ab"[number % 2],
            slots=slots,
        )
        for number in range(count)
    ]


def _selector() -> tuple[ReplicaSelector, ReplicaTracker]:
    tracker = ReplicaTracker()
    return ReplicaSelector(tracker, PromptCacheIndex(), random.Random(7)), tracker


def _request(**changed) -> SelectionInput:
    fields = {"typical_latency_s": 0.25, "expected_tokens": 70, "prompt_tokens": 900}
    return SelectionInput(**(fields | changed))


def _order(**changed) -> PlacementOrder:
    fields = {"rank": 1, "tie_break": NOW_S + 2, "wait_until_s": NOW_S + 60}
    return PlacementOrder(**(fields | changed))


def _set_up(selector: ReplicaSelector, replicas: list[Replica], rng: random.Random) -> None:
    """Give each kind of knowledge to some of the replicas, or to none."""
    knowledge = selector.knowledge
    if rng.random() < 0.5:
        knowledge.memory.set_capacities({SERVICE: 2_000})
    if rng.random() < 0.5:
        knowledge.cold.set_terms({SERVICE: ColdTerms(start_s=3.0, per_s=27.0)})
        is_first = rng.random() < 0.5
        knowledge.cold.apply_listed(replicas, is_first=is_first, now_s=NOW_S, unix_s=1.7e9)
    for replica in replicas:
        _set_up_replica(knowledge, replica, rng)


def _set_up_replica(knowledge: ReplicaKnowledge, replica: Replica, rng: random.Random) -> None:
    for _ in range(rng.randrange(4)):
        knowledge.tracker.record_sent(replica.replica_id)
        knowledge.memory.open(replica, _request(parts=(PromptPart("a", 500),)))
    if rng.random() < 0.2:
        knowledge.limits.record_named(replica.replica_id, 0, 2.0, now_s=NOW_S)
    if rng.random() < 0.2:
        knowledge.tracker.record_full(replica.replica_id, now_s=NOW_S)
    if rng.random() < 0.3:
        for number, figure in enumerate((100.0, 250.0)):
            knowledge.pace.record_figure(replica, figure, told_at_s=NOW_S - 1 + number)
    if rng.random() < 0.3:
        knowledge.objects.record("cart", replica, now_s=NOW_S)
    if rng.random() < 0.3:
        knowledge.prompt_index.record(replica.replica_id, 0, [PromptPart("a", 500)])


@given(st.integers(0, 10_000))
def test_rules_and_terms_that_are_left_out_have_no_effect(seed: int) -> None:
    """With and without their conditions, rules reject and terms cost the same."""
    rng = random.Random(seed)
    selector, _ = _selector()
    replicas = _replicas(6)
    _set_up(selector, replicas, rng)
    request = _request(
        parts=rng.choice([(), (PromptPart("a", 500), PromptPart("s", 100))]),
        affinity=rng.choice([None, "cart"]),
        is_hedge=rng.random() < 0.3,
    )
    for candidate in selector.candidates(replicas, request, now_s=NOW_S + 0.1):
        reasons = (reason for reason, (rule, _) in _RULES_BY_REASON.items() if not rule(candidate))
        assert find_rejection(candidate) == next(reasons, None)
        terms_s = {name: term(candidate) for name, (term, _) in _TERMS_BY_NAME.items()}
        assert cost_terms_s(candidate) == terms_s
        assert abs(estimate_cost_s(candidate) - sum(terms_s.values())) < 1e-12


def _waiting(number: int, rng: random.Random, *, is_fixed: bool) -> WaitingRequest[str]:
    program = {} if is_fixed else {"program": f"p{number}", "account": "c", "waited_s": 0.0}
    order = _order(
        rank=rng.randrange(3),
        tie_break=NOW_S + rng.random(),
        is_begun=rng.random() < 0.5,
        **program,
    )
    return WaitingRequest(
        item=f"item {number}", request=_request(), order=order, number=number, since_s=NOW_S
    )


@given(st.integers(0, 10_000), st.booleans())
def test_waiting_requests_are_kept_in_the_order_of_their_keys(seed: int, is_mixed: bool) -> None:
    """Also while some are added and removed, and where an order changes with time."""
    rng = random.Random(seed)
    order: WaitingOrder[str] = WaitingOrder()
    waiting: WaitingList[str] = WaitingList(order)
    held = []
    for number in range(rng.randrange(30)):
        each = _waiting(number, rng, is_fixed=not is_mixed or rng.random() < 0.5)
        waiting.add(each, now_s=NOW_S)
        held.append(each)
        if rng.random() < 0.3:
            waiting.remove(held.pop(rng.randrange(len(held))))
    assert len(waiting) == len(held)
    expected = sorted(held, key=lambda each: order.key(each, now_s=NOW_S))
    assert list(waiting.in_order(now_s=NOW_S)) == expected
    arriving = _waiting(99, rng, is_fixed=True)
    key = order.key(arriving, now_s=NOW_S)
    before = sum(order.key(each, now_s=NOW_S) < key for each in held)
    assert waiting.count_before(arriving, now_s=NOW_S) == before


def _full_queue(
    replicas: list[Replica],
) -> tuple[PlacementQueue[str], ReplicaSelector, ReplicaTracker]:
    selector, tracker = _selector()
    queue: PlacementQueue[str] = PlacementQueue(selector, tracker)
    placed = 0
    while queue.place(
        f"first {placed}", _request(), _order(may_wait=False), replicas, now_s=NOW_S
    ).is_ok():
        placed += 1
    return queue, selector, tracker


def test_place_that_becomes_free_goes_to_the_first_that_may_use_the_replica() -> None:
    """One that must not use it is passed over, and keeps its position."""
    replicas = _replicas(2)
    queue, _, tracker = _full_queue(replicas)
    excluded = _request(excluded=frozenset({"r0"}))
    assert queue.place("excluded", excluded, _order(rank=0), replicas, now_s=NOW_S).is_ok()
    assert queue.place("later", _request(), _order(rank=2), replicas, now_s=NOW_S).is_ok()
    assert queue.place("sooner", _request(), _order(rank=1), replicas, now_s=NOW_S).is_ok()
    granted = []
    for _ in range(3):
        tracker.record_ended("r0")
        granted += [item for item, _ in queue.grant_at(replicas[0], now_s=NOW_S)]
    assert granted == ["sooner", "later"] and len(queue) == 1
    tracker.record_ended("r1")
    assert [item for item, _ in queue.grant_at(replicas[1], now_s=NOW_S)] == ["excluded"]


def test_replica_that_is_held_for_a_large_request_is_not_given_to_others() -> None:
    """Its memory becomes free bit by bit; small requests that wait too must not take it."""
    replicas = _replicas(1, slots=8)
    selector, tracker = _selector()
    selector.knowledge.memory.set_capacities({SERVICE: 2_000})
    queue: PlacementQueue[str] = PlacementQueue(selector, tracker)
    small, large = _request(prompt_tokens=400), _request(prompt_tokens=1_500)
    placed = [
        queue.place(f"small {number}", small, _order(), replicas, now_s=NOW_S).ok_value
        for number in range(3)
    ]
    assert queue.place("large", large, _order(rank=0), replicas, now_s=NOW_S).ok_value is None
    assert not list(queue.grant(replicas, now_s=NOW_S)) and queue.holds("r0")
    assert queue.place("next", small, _order(), replicas, now_s=NOW_S).ok_value is None
    granted = []
    for selection in placed:
        selector.knowledge.memory.release(selection.claim)
        tracker.record_ended("r0")
        granted += [item for item, _ in queue.grant_at(replicas[0], now_s=NOW_S)]
    assert granted[0] == "large", granted


def test_pools_are_ranked_and_found_as_by_looking_at_the_replicas_of_each() -> None:
    """At 2,900 replicas a look at all of them for each of 128 pools took 123 ms a request."""
    replicas = _replicas(400)
    ranked = rank_pools(SERVICE, replicas, "session")
    slots = {pool: sum(each.slots for each in pool.select(replicas)) for pool in ranked}
    assert sum(slots.values()) == 400 * 2 and len(ranked) == pool_count(400) == 32
    expected = sorted(
        slots, key=lambda pool: weighted_score("session", pool.subject, slots[pool]), reverse=True
    )
    assert ranked == expected
    few = replicas[:5]
    assert pools_holding(few, ranked) == [pool for pool in ranked if pool.select(few)]


load_tests = load_functions(globals())
