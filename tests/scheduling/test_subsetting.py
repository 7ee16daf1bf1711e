"""Tests of the subset of replicas that an instance considers in a large fleet."""

from collections import Counter

from lagoonfold import InstanceId, ListedInstance, UpstreamId
from lagoonfold.scheduling import choose_replica_subset
from lagoonfold_node._dispatch._engine_poller import MAX_POLLS_PER_S, poll_interval_s
from tests._suite import load_functions

REPLICAS = 480
OBSERVERS = 380
PER_MODEL = 16


def _engine(number: int, *, leaving: bool = False) -> ListedInstance:
    return ListedInstance(
        instance_id=f"engine-{number}",
        role="engine",
        address=f"10.0.{number // 250}.{number % 250}:8000",
        failure_domain="domain-a",
        leaving=leaving,
        models=("large",),
    )


def test_few_replicas_are_all_candidates() -> None:
    """All replicas of a small fleet are candidates, except those that are leaving."""
    engines = [_engine(number, leaving=number == 3) for number in range(5)]
    chosen = choose_replica_subset(InstanceId("entry-1"), engines, per_model=PER_MODEL)
    assert chosen == {UpstreamId(f"engine-{number}") for number in (0, 1, 2, 4)}


def test_subsets_of_a_large_fleet_are_bounded_and_cover_every_replica() -> None:
    """Each instance considers a bounded number, and each replica is considered by an instance."""
    engines = [_engine(number) for number in range(REPLICAS)]
    observers_by_engine: Counter[UpstreamId] = Counter()
    for number in range(OBSERVERS):
        chosen = choose_replica_subset(InstanceId(f"entry-{number}"), engines, per_model=PER_MODEL)
        assert len(chosen) == PER_MODEL
        observers_by_engine.update(chosen)
    assert len(observers_by_engine) == REPLICAS


def test_a_lost_replica_changes_one_candidate_at_most() -> None:
    """Removing one replica replaces at most that one candidate of an instance."""
    engines = [_engine(number) for number in range(REPLICAS)]
    observer = InstanceId("entry-1")
    before = choose_replica_subset(observer, engines, per_model=PER_MODEL)
    for lost in range(0, REPLICAS, 48):
        rest = engines[:lost] + engines[lost + 1 :]
        after = choose_replica_subset(observer, rest, per_model=PER_MODEL)
        assert len(before - after) <= 1


def test_polls_stay_under_their_rate_limit() -> None:
    """The poll interval grows with the number of engines, so the request rate is bounded."""
    for engines in (1, 5, 16, 96, 2_900):
        assert engines * 1.5 / poll_interval_s(engines) <= MAX_POLLS_PER_S


load_tests = load_functions(globals())
