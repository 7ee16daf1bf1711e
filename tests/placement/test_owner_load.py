"""Owners of pools that run out of processor time or are lost, and the deputies that stand in."""

import random

from lagoonfold.placement import (
    TIMER_S,
    OwnerLoad,
    OwnerTrust,
    PoolDuty,
    PromptCacheIndex,
    ReplicaSelector,
    ReplicaTracker,
    SelectionInput,
)
from tests._suite import load_functions
from tests.placement._owner_load import PATIENCE_S, OwnerFleet, Results
from tests.placement._placing_load import SERVICE_S, SLOTS, make_replicas

SEEDS = (3, 4)
BUSY_PLACE_S, BUSY_END_S = 0.0022, 0.0007  # 1.3 times the processor time that the owner has
CALM_PLACE_S, CALM_END_S = 0.0005, 0.0002  # less than a third of it
BUSY_SPAN_S = 6.0
MAX_BUSY_P99_S = PATIENCE_S / 4  # a caller has the rest of its patience for the replica
MAX_BUSY_BEYOND_SHARE = 0.15  # replicas reject what goes far beyond their slots
MAX_LOST_BEYOND_SHARE = 0.01
DUTY = PoolDuty(owner="a", deputy="b")


def _run_busy(seed: int, *, has_deputies: bool) -> Results:
    fleet = OwnerFleet(has_deputies=has_deputies, place_s=BUSY_PLACE_S, end_s=BUSY_END_S, seed=seed)
    fleet.clock.run_until(BUSY_SPAN_S)
    return fleet.results


def _run_lost(seed: int, *, has_deputies: bool) -> Results:
    fleet = OwnerFleet(has_deputies=has_deputies, place_s=CALM_PLACE_S, end_s=CALM_END_S, seed=seed)
    fleet.clock.run_until(2.0)
    fleet.lose_owner(fleet.duty.owner)
    fleet.clock.run_until(5.0)
    return fleet.results


def test_requests_are_placed_in_time_while_the_owner_falls_behind() -> None:
    """Instances that place by themselves send to the same replicas, which queue and reject."""
    for seed in SEEDS:
        before, now = (_run_busy(seed, has_deputies=each) for each in (False, True))
        assert now.quantile_s(0.99) <= MAX_BUSY_P99_S, (seed, now.quantile_s(0.99))
        assert now.mean_s <= before.mean_s / 3, (seed, now.mean_s, before.mean_s)
        assert now.beyond_share <= min(MAX_BUSY_BEYOND_SHARE, before.beyond_share / 3), seed
        assert now.left_share <= before.left_share, (seed, now.left_share)
        assert now.placed["owner"] > before.placed["owner"], (seed, now.placed)
        assert now.placed["self"] <= 0.05 * sum(now.placed.values()), (seed, now.placed)


def test_requests_are_placed_by_one_view_while_the_owner_is_lost() -> None:
    """For the 3 s until membership shows it, each instance would place by its own knowledge."""
    for seed in SEEDS:
        before, now = (_run_lost(seed, has_deputies=each) for each in (False, True))
        assert now.beyond_share <= MAX_LOST_BEYOND_SHARE < before.beyond_share, seed
        assert now.mean_s <= before.mean_s and now.left_share <= before.left_share, seed
        assert now.quantile_s(0.99) <= before.quantile_s(0.99), seed
        assert not now.placed["self"], (seed, now.placed)


def test_owner_that_keeps_up_places_everything_itself() -> None:
    """A deputy that is asked without need knows nothing of what the owner has placed."""
    fleet = OwnerFleet(has_deputies=True, place_s=CALM_PLACE_S, end_s=CALM_END_S, seed=1)
    fleet.clock.run_until(2.0)
    assert set(fleet.results.placed) == {"owner"}, fleet.results.placed


def test_deputy_is_asked_after_the_owner_and_then_nobody() -> None:
    """A request that finds both silent must not ask either again, nor wait for them."""
    trust = OwnerTrust()
    assert trust.next_to_ask(DUTY, asked=(), now_s=0.0) == "a"
    trust.record_silent("a", now_s=0.0)
    assert trust.next_to_ask(DUTY, asked=("a",), now_s=0.0) == "b"
    assert trust.next_to_ask(DUTY, asked=(), now_s=0.0, owner_only=True) is None
    trust.record_busy("b", now_s=0.1)
    assert trust.next_to_ask(DUTY, asked=("a", "b"), now_s=0.1) is None
    assert trust.next_to_ask(DUTY, asked=(), now_s=0.4) is None
    assert trust.next_to_ask(PoolDuty(owner="a", deputy=None), asked=(), now_s=0.4) is None


def test_one_request_finds_out_whether_an_owner_answers_again() -> None:
    """All requests of half a second would otherwise wait for an owner that is still silent."""
    trust = OwnerTrust()
    trust.record_silent("a", now_s=0.0)
    assert [trust.next_to_ask(DUTY, asked=(), now_s=0.5) for _ in range(3)] == ["a", "b", "b"]
    trust.record_answered("a")
    assert trust.next_to_ask(DUTY, asked=(), now_s=0.6) == "a"
    trust.record_silent("a", now_s=1.0)
    assert trust.next_to_ask(DUTY, asked=(), now_s=1.5) == "a"
    assert trust.next_to_ask(DUTY, asked=(), now_s=3.0) == "a", "a trial without an outcome"


def test_owner_is_busy_while_its_turns_take_long_and_not_after_a_single_one() -> None:
    """One that says so without need splits its pool, one that says it too late isn't heard."""
    load, now = OwnerLoad(), 0.0

    def run_turn(lag_s: float) -> bool:
        nonlocal now
        load.expect(now + TIMER_S)
        now += TIMER_S + lag_s
        load.record_ran(now_s=now)
        return load.is_busy(now_s=now)

    assert not any(run_turn(0.02) for _ in range(50))
    assert not run_turn(0.12)
    assert any(run_turn(0.12) for _ in range(4))
    assert not all(run_turn(0.0) for _ in range(3))
    load.expect(now + TIMER_S)
    assert not load.is_busy(now_s=now + TIMER_S + 0.09)
    assert load.is_busy(now_s=now + TIMER_S + 0.11), "the turn still runs"
    assert load.is_busy(now_s=now + 3.0), "it was suspended"
    load.record_ran(now_s=now + 3.0)
    assert not all(run_turn(0.0) for _ in range(3))


def test_instance_that_places_by_itself_counts_what_replicas_told_it() -> None:
    """It knows only of its own requests, and would send to a replica that others have filled."""
    tracker, replicas = ReplicaTracker(), make_replicas()[:2]
    full, _ = replicas
    selector = ReplicaSelector(tracker, PromptCacheIndex(), random.Random(1))
    tracker.record_report(full.replica_id, 4 * SLOTS, now_s=0.0)

    def chosen(now_s: float, *, by_reports: bool) -> set[str]:
        wanted = SelectionInput(typical_latency_s=SERVICE_S, by_reports=by_reports)
        return {
            selector.choose(replicas, wanted, now_s=now_s).replica.replica_id for _ in range(50)
        }

    assert full.replica_id not in chosen(0.9, by_reports=True)
    assert full.replica_id in chosen(0.9, by_reports=False)
    assert full.replica_id in chosen(1.1, by_reports=True), "a report of more than a second before"
    for _ in range(5 * SLOTS):
        tracker.record_sent(replicas[1].replica_id)
    tracker.record_report(replicas[1].replica_id, 0, now_s=1.1)
    assert chosen(1.2, by_reports=True) == {full.replica_id}, "its own count is higher"


load_tests = load_functions(globals())
