"""The pace of replicas in the choice among them."""

import math
import statistics
from dataclasses import replace

from lagoonfold.forwarding import Replica
from lagoonfold.placement import (
    Candidate,
    ColdReplicas,
    ObjectIndex,
    PaceTracker,
    PromptCacheIndex,
    ReplicaKnowledge,
    ReplicaLimits,
    ReplicaTracker,
    SelectionInput,
    find_rejection,
)
from tests._suite import load_functions
from tests.placement import _pace_load as load
from tests.placement._placing_load import make_replicas

SPAN_S = 30.0
SEEDS = (1, 2)


def _replica(started: int = 1) -> Replica:
    return replace(make_replicas()[0], slots=8, started=started)


def _tell(tracker: PaceTracker, *figures: float, started: int = 1) -> None:
    for number, figure in enumerate(figures):
        tracker.record_figure(_replica(started), figure, told_at_s=number / 10)


def test_told_pace_fades_with_its_age() -> None:
    """A figure of a second ago says little of now; an older one that comes late changes nothing."""
    tracker = PaceTracker()
    _tell(tracker, 100, 200)
    tracker.record_figure(_replica(), 900, told_at_s=0.05)
    assert math.isclose(tracker.momentary(_replica(), now_s=0.1), 2.0)
    later = [tracker.momentary(_replica(), now_s=0.1 + age_s) for age_s in (0.3, 0.6, 3.0)]
    assert 2.0 > later[0] > later[1] > later[2] and later[1] < 1.4 and later[2] < 1.01
    assert 1.0 < tracker.momentary(_replica(), now_s=0.1, over_s=0.6) < 2.0


def test_unusable_figures_count_as_none() -> None:
    """They are absurd, of another start, or stand still."""
    for figures in ((0, -5), (math.nan, math.inf), (10_001, 1e300), (100, math.nan), (240,)):
        tracker = PaceTracker()
        _tell(tracker, *figures)
        assert not tracker.is_told(_replica()), figures
        assert tracker.momentary(_replica(), now_s=0.1) == 1.0, figures
    tracker = PaceTracker()
    _tell(tracker, 100, 300, started=2)
    tracker.record_sample(_replica(2), 3.0, now_s=0.1)
    _tell(tracker, 100, 500, started=1)
    assert tracker.pace(_replica(1), now_s=0.1) == 1.0 < tracker.pace(_replica(2), now_s=0.1)
    assert tracker.pace(_replica(3), now_s=0.1) == 1.0, "a restarted replica is a new one"
    _tell(tracker, *[240.0] * 40, started=4)
    _tell(tracker, 100, *[240.0] * 40, started=5)
    assert not any(tracker.is_told(_replica(started)) for started in (4, 5))


def test_slow_replica_gets_fewer_requests_at_once_but_always_one() -> None:
    """Otherwise all slots of a machine fill up that takes twice as long."""
    knowledge = ReplicaKnowledge(
        tracker=ReplicaTracker(),
        prompt_index=PromptCacheIndex(),
        limits=ReplicaLimits(),
        cold=ColdReplicas(),
        objects=ObjectIndex(),
    )

    def most_requests() -> int:
        return next(count for count in range(99) if find_rejection(_candidate(count)) is not None)

    def _candidate(requests: int) -> Candidate:
        return Candidate(
            replica=_replica(),
            request=SelectionInput(typical_latency_s=0.2),
            knowledge=knowledge,
            now_s=0.1,
            requests=requests,
            slowdown=1.0,
            uncached_tokens=0,
        )

    assert most_requests() == 10
    for figure, most in ((120, 10), (200, 7), (400, 4), (5_000, 2)):
        knowledge.pace.record_figure(_replica(), 100, told_at_s=0.1)
        knowledge.pace.record_figure(_replica(), figure, told_at_s=0.1)
        assert most_requests() == most, figure
    for _ in range(40):
        knowledge.pace.record_sample(_replica(), 50.0, now_s=0.1)
    assert most_requests() == 1


def _latencies(figure: load.Figure, utilization: float, *, streams: bool) -> tuple[float, float]:
    """Return the mean and the 99th percentile over all seeds."""
    took_s = sorted(
        each
        for seed in SEEDS
        for each in load.Load(
            utilization=utilization, figure=figure, streams=streams, seed=seed
        ).run(SPAN_S)
    )
    return statistics.mean(took_s), took_s[int(0.99 * len(took_s))]


def test_told_paces_shorten_requests_on_unlike_machines() -> None:
    """Requests avoid machines that are slow now; that shows in the mean and the slowest."""
    for streams, utilization in ((False, 0.4), (False, 0.65), (True, 0.65)):
        mean_s, slowest_s = _latencies(load.tell_noise, utilization, streams=streams)
        before_s, slowest_before_s = _latencies(load.tell_nothing, utilization, streams=streams)
        assert mean_s < 0.99 * before_s, (streams, utilization, mean_s, before_s)
        assert slowest_s < 0.95 * slowest_before_s, (streams, utilization, slowest_s)


def test_figures_that_never_change_choose_as_none() -> None:
    """A fixed figure would shift the load by what it says at all times."""
    chosen = [
        load.Load(utilization=0.65, figure=figure, seed=1).run(5.0)
        for figure in (load.tell_nothing, lambda replica, now_s: 240.0)
    ]
    assert chosen[0] == chosen[1]


load_tests = load_functions(globals())
