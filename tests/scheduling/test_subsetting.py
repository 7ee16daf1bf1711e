"""Tests of the replicas that an instance considers in a large fleet."""

from collections import Counter

from lagoonfold import InstanceId, ListedInstance, UpstreamId
from lagoonfold.scheduling import choose_replica_subset
from lagoonfold_node._dispatch._feeds import MAX_REQUESTS_PER_S, poll_interval_s
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
    """A fleet of today's size is considered whole, but for leaving replicas."""
    engines = [_engine(number, leaving=number == 3) for number in range(5)]
    chosen = choose_replica_subset(InstanceId("entry-1"), engines, per_model=PER_MODEL)
    assert chosen == {UpstreamId(f"engine-{number}") for number in (0, 1, 2, 4)}


def test_many_replicas_are_bounded_and_all_considered_by_someone() -> None:
    """An instance considers a bounded number, and no replica is left out by all instances."""
    engines = [_engine(number) for number in range(REPLICAS)]
    observers_by_engine: Counter[UpstreamId] = Counter()
    for number in range(OBSERVERS):
        chosen = choose_replica_subset(InstanceId(f"entry-{number}"), engines, per_model=PER_MODEL)
        assert len(chosen) == PER_MODEL
        observers_by_engine.update(chosen)
    assert len(observers_by_engine) == REPLICAS


def test_a_lost_replica_changes_one_candidate_at_most() -> None:
    """Candidates stay as they are when another replica goes."""
    engines = [_engine(number) for number in range(REPLICAS)]
    observer = InstanceId("entry-1")
    before = choose_replica_subset(observer, engines, per_model=PER_MODEL)
    for lost in range(0, REPLICAS, 48):
        rest = engines[:lost] + engines[lost + 1 :]
        after = choose_replica_subset(observer, rest, per_model=PER_MODEL)
        assert len(before - after) <= 1


def test_polls_stay_under_their_rate() -> None:
    """However many engines there are, their polls keep to the bound."""
    for engines in (1, 5, 16, 96, 2_900):
        assert engines * 1.5 / poll_interval_s(engines) <= MAX_REQUESTS_PER_S


load_tests = load_functions(globals())
