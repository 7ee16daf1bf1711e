"""The memory of replicas as a limit of what is placed there."""

import random
from dataclasses import replace

from lagoonfold.forwarding import Replica
from lagoonfold.placement import (
    MemoryTracker,
    PlacementOrder,
    PlacementQueue,
    PromptCacheIndex,
    PromptPart,
    ReplicaSelection,
    ReplicaSelector,
    ReplicaTracker,
    SelectionInput,
)
from lagoonfold.placement._capacity_rules import MAX_REQUESTS_PER_SLOT
from tests._suite import load_functions
from tests.placement import _memory_load as load
from tests.placement._placing_load import make_replicas

SHARED = PromptPart("shared", 300)
CALLERS_PATIENCE_S = 3.0  # for a whole answer; twice the time of a usual one on an idle replica


def _replica(started: int = 1, replica_id: str = "r1") -> Replica:
    return replace(make_replicas()[0], replica_id=replica_id, slots=8, started=started)


def _request(*parts: PromptPart, prompt: int = 0, output: int = 0) -> SelectionInput:
    return SelectionInput(
        typical_latency_s=0.1, parts=parts, prompt_tokens=prompt, output_tokens=output
    )


def _tracker(capacity: int = 1_000) -> MemoryTracker:
    tracker = MemoryTracker()
    tracker.set_capacities({"models": capacity})
    return tracker


def test_shared_parts_count_once_until_their_last_placement_ends() -> None:
    """Otherwise sessions with a long common beginning would seem to fill a replica."""
    tracker, replica = _tracker(), _replica()
    own = [PromptPart(f"own-{number}", 100) for number in range(3)]
    claims = [tracker.open(replica, _request(SHARED, part, prompt=450, output=50)) for part in own]
    assert tracker.used_tokens(replica) == 300 + 3 * (100 + 50 + 50)
    assert tracker.has_room(replica, _request(SHARED, output=100))
    assert not tracker.has_room(replica, _request(SHARED, output=101))
    elsewhere = _request(PromptPart("other", 1), SHARED)
    assert not tracker.has_room(replica, elsewhere), "after another beginning it is not the same"
    for left, claim in ((700, claims[1]), (500, claims[0]), (500, claims[0]), (0, claims[2])):
        tracker.release(claim)
        assert tracker.used_tokens(replica) == left


def test_estimates_are_bounded_by_what_a_request_may_generate() -> None:
    """A wrong estimate neither fills a replica nor counts for nothing."""
    for estimate, most, counted in ((100, 0, 150), (100, 120, 120), (None, 500, 500), (None, 0, 0)):
        tracker = _tracker()
        request = SelectionInput(
            typical_latency_s=0.1, expected_tokens=estimate, output_tokens=most
        )
        tracker.open(_replica(), request)
        assert tracker.used_tokens(_replica()) == counted, (estimate, most)


def test_idle_unknown_and_restarted_replicas_have_room() -> None:
    """A request larger than the memory must run somewhere; a restart leaves nothing in memory."""
    tracker, large = _tracker(), _request(prompt=5_000)
    assert tracker.has_room(_replica(), large)
    claim = tracker.open(_replica(), large)
    assert not tracker.has_room(_replica(), _request(prompt=1))
    assert tracker.has_room(_replica(started=2), large)
    tracker.release(claim)
    assert tracker.has_room(_replica(), large)
    unknown = _tracker(capacity=0)
    assert unknown.open(_replica(), large) is None and unknown.has_room(_replica(), large)


def test_replicas_never_hold_more_than_their_memory() -> None:
    """With the rule nothing is preempted and read again, and more answers come in time."""
    for seed in (1, 2, 3):
        without, ruled = (
            load.Load(per_s=36.0, knows_memory=knows, seed=seed).run(30.0)
            for knows in (False, True)
        )
        assert without.preempted > 0, seed
        assert ruled.preempted == 0 and ruled.most_tokens <= load.MEMORY_TOKENS, (seed, ruled)
        in_time, before = (
            sum(took_s < CALLERS_PATIENCE_S for took_s in outcomes.completed_s)
            for outcomes in (ruled, without)
        )
        assert in_time > before, (seed, in_time, before)


def test_large_request_neither_waits_for_ever_nor_holds_up_others() -> None:
    """One replica is held until the large request fits; small ones go on at the other."""
    tracker, replicas = ReplicaTracker(), [_replica(replica_id=key) for key in ("r1", "r2")]
    selector = ReplicaSelector(tracker, PromptCacheIndex(), random.Random(1))
    memory = selector.knowledge.memory
    memory.set_capacities({"models": 1_000})
    queue: PlacementQueue[str] = PlacementQueue(selector, tracker)
    order = PlacementOrder(rank=0, tie_break=1.0, wait_until_s=10.0)
    small, large = _request(prompt=250), _request(prompt=900)

    def place(name: str, request: SelectionInput) -> ReplicaSelection | None:
        return queue.place(name, request, order, replicas, now_s=0.0).unwrap()

    def free(selection: ReplicaSelection) -> list[tuple[str, ReplicaSelection]]:
        memory.release(selection.claim)
        tracker.record_ended(selection.replica.replica_id)
        return list(queue.grant(replicas, now_s=0.1))

    running = [placed for _ in range(8) if (placed := place("small", small)) is not None]
    assert len(running) == 8 and place("large", large) is None
    assert not list(queue.grant(replicas, now_s=0.1))
    by_id = {
        key: [each for each in running if each.replica.replica_id == key] for key in "r1 r2".split()
    }
    (held,) = (key for key in by_id if queue.holds(key))
    other = "r2" if held == "r1" else "r1"
    assert place("behind", small) is None
    granted = free(by_id[other].pop())
    assert [(name, each.replica.replica_id) for name, each in granted] == [("behind", other)]
    assert not free(by_id[other].pop())
    assert place("next", small).replica.replica_id == other
    assert not any(free(each) for each in by_id[held][:3])
    assert place("last", small) is None, "the held replica is not for others"
    granted = free(by_id[held][3])
    assert [(name, each.replica.replica_id) for name, each in granted] == [("large", held)]


def test_two_owners_exceed_the_memory_by_no_more_than_the_other_has_placed() -> None:
    """Each knows of its own placements only, while ownership changes; slots bind for each."""
    for seed in (1, 2):
        outcomes = load.Load(per_s=60.0, knows_memory=True, owners=2, seed=seed).run(15.0)
        assert 0 < outcomes.most_placed_tokens <= load.MEMORY_TOKENS, seed
        assert outcomes.most_requests <= MAX_REQUESTS_PER_SLOT * load.SLOTS, seed


def test_memory_holds_again_after_the_owner_is_replaced() -> None:
    """The next owner knows of no placement; what it places itself is within the memory."""
    for seed in (1, 2):
        span = load.Load(per_s=36.0, knows_memory=True, replace_at_s=10.0, seed=seed)
        span.run(16.0)
        span.outcomes.most_tokens = 0
        span.go_on(30.0)
        assert 0 < span.outcomes.most_tokens <= load.MEMORY_TOKENS, seed
        served = len(span.outcomes.completed_s) + span.outcomes.refused
        assert span.outcomes.refused == 0 and served >= 0.9 * span.outcomes.arrived, seed


load_tests = load_functions(globals())
