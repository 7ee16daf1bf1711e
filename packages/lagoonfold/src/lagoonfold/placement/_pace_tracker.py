"""Tracks how long work takes at each replica, relative to the usual time: 1 is usual, 2 is double.

The lasting pace of a replica is learned from the events and answers of its requests; the machines
of one service differ for good. The momentary pace is the figure that the replica told last. It
changes within a second, so what was told decays towards 1 with its age. The samples of the lasting
pace are cleared of the momentary one; otherwise a figure would count twice in the pace.

A figure counts only if it is a plausible number, was told by the replica's present start, and is
known to change: one that stands still says nothing of the moment.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, replace

from lagoonfold.forwarding import Replica

USUAL_FIGURE = 100.0
MAX_FIGURE = 10_000.0  # larger ones are taken for faults
MOMENTARY_DECAY_S = 0.6  # time over which figures are correlated
MAX_FACTOR = 10.0  # bounds the effect of one figure or sample, upwards and downwards
MAX_SAMPLE_SHARE = 0.6  # of a figure's logarithm that shows in the time of a request of 0.7 s
MIN_SAMPLE_WEIGHT = 0.05  # 20 samples even out the noise; the first ones weigh more
LASTING_HALF_LIFE_S = 300.0  # without samples; machines differ for good
UNCHANGED_REPORTS = 8  # in a row, after which a figure is taken for fixed
UNCHANGED_S = 2.0  # reports of a busy replica may be closer together than its changes


@dataclass(slots=True)
class _Pace:
    """What is known of one start of a replica."""

    started: int
    figure: float | None = None
    told_at_s: float = -math.inf
    is_known_to_change: bool = False
    unchanged_since_s: float = -math.inf
    unchanged_reports: int = 0
    log_lasting: float = 0.0
    samples: int = 0
    sampled_at_s: float = -math.inf
    # Kept for the rule and the term of one choice, which ask for the same moment.
    logs_at_s: float | None = None
    logs: tuple[float, float] = (0.0, 0.0)


class PaceTracker:
    """Holds momentary and lasting paces by replica.

    tracker = PaceTracker()
    tracker.record_figure(replica, 150.0, told_at_s=now_s)
    tracker.record_sample(replica, 1.2, now_s=now_s)
    tracker.pace(replica, now_s=now_s)
    """

    def __init__(self) -> None:
        self._pace_by_id: dict[str, _Pace] = {}

    def snapshot(self, replica_ids: Collection[str]) -> "PaceTracker":
        """Return a copy with what is known of some replicas."""
        copied = PaceTracker()
        copied._pace_by_id = {
            replica_id: replace(self._pace_by_id[replica_id])
            for replica_id in replica_ids
            if replica_id in self._pace_by_id
        }
        return copied

    def told_age_s(self, replica: Replica, *, now_s: float) -> float | None:
        """Return how old the latest figure of a replica's start is, None if it told none."""
        pace = self._of(replica)
        return None if pace is None or pace.figure is None else now_s - pace.told_at_s

    @property
    def has_any(self) -> bool:
        """Return whether anything is known of a replica's pace."""
        return bool(self._pace_by_id)

    def record_figure(self, replica: Replica, figure: float, *, told_at_s: float) -> None:
        """Record the figure that a replica told; implausible and outdated ones are ignored."""
        pace = self._known(replica)
        if pace is None or not 0 < figure <= MAX_FIGURE or told_at_s < pace.told_at_s:
            return
        if figure != pace.figure:
            pace.is_known_to_change = pace.figure is not None
            pace.unchanged_since_s, pace.unchanged_reports = told_at_s, 0
        pace.unchanged_reports += 1
        unchanged_s = told_at_s - pace.unchanged_since_s
        if pace.unchanged_reports >= UNCHANGED_REPORTS and unchanged_s >= UNCHANGED_S:
            pace.is_known_to_change = False
        pace.figure, pace.told_at_s = figure, told_at_s
        pace.logs_at_s = None

    def record_sample(self, replica: Replica, ratio: float, *, now_s: float) -> None:
        """Record the time of a request's work divided by the typical time.

        Call this after `record_figure` for the same request.
        """
        pace = self._known(replica)
        if pace is None or not ratio > 0:
            return
        sample = _log_factor(ratio) - _momentary_part(pace, now_s)
        current = _logs_at(pace, now_s)[1]
        weight = max(MIN_SAMPLE_WEIGHT, 1 / (pace.samples + 2))
        pace.log_lasting = current + weight * (sample - current)
        pace.samples, pace.sampled_at_s = pace.samples + 1, now_s
        pace.logs_at_s = None

    def is_told(self, replica: Replica) -> bool:
        """Return whether the replica tells figures that follow its pace."""
        pace = self._of(replica)
        return pace is not None and pace.is_known_to_change

    def momentary(self, replica: Replica, *, now_s: float, over_s: float = 0.0) -> float:
        """Return the momentary pace, or its expected mean over the next `over_s` seconds."""
        pace = self._of(replica)
        if pace is None:
            return 1.0
        return math.exp(_logs_at(pace, now_s)[0] * _mean_share(over_s))

    def lasting(self, replica: Replica, *, now_s: float) -> float:
        """Return how long work usually takes at a replica relative to the others."""
        pace = self._of(replica)
        return 1.0 if pace is None else math.exp(_logs_at(pace, now_s)[1])

    def pace(self, replica: Replica, *, now_s: float, over_s: float = 0.0) -> float:
        """Return the product of the momentary and the lasting pace."""
        pace = self._of(replica)
        if pace is None:
            return 1.0
        log_momentary, log_lasting = _logs_at(pace, now_s)
        return math.exp(log_momentary * _mean_share(over_s) + log_lasting)

    def _of(self, replica: Replica) -> _Pace | None:
        """Return what is known of a replica's present start."""
        pace = self._pace_by_id.get(replica.replica_id)
        return pace if pace is not None and pace.started == replica.started else None

    def _known(self, replica: Replica) -> _Pace | None:
        """Return what is known of a replica's start, None if a later start is known."""
        pace = self._pace_by_id.get(replica.replica_id)
        if pace is None or replica.started > pace.started:
            pace = self._pace_by_id[replica.replica_id] = _Pace(replica.started)
        return pace if pace.started == replica.started else None


def _logs_at(pace: _Pace, now_s: float) -> tuple[float, float]:
    """Return the logarithms of the momentary and of the lasting pace."""
    if pace.logs_at_s != now_s:
        log_momentary = 0.0
        if pace.figure is not None and pace.is_known_to_change:
            age_s = max(0.0, now_s - pace.told_at_s)
            log_momentary = _log_factor(pace.figure / USUAL_FIGURE)
            log_momentary *= math.exp(-age_s / MOMENTARY_DECAY_S)
        age_s = max(0.0, now_s - pace.sampled_at_s) if pace.samples else 0.0
        pace.logs = (log_momentary, pace.log_lasting * 0.5 ** (age_s / LASTING_HALF_LIFE_S))
        pace.logs_at_s = now_s
    return pace.logs


def _momentary_part(pace: _Pace, now_s: float) -> float:
    """Return how much of a sample's logarithm is due to the figure told during the request.

    It was told at the end of a plain answer or, some time ago, at the beginning of a stream.
    """
    if pace.figure is None or not pace.is_known_to_change:
        return 0.0
    share = min(MAX_SAMPLE_SHARE, _mean_share(now_s - pace.told_at_s))
    return share * _log_factor(pace.figure / USUAL_FIGURE)


def _mean_share(span_s: float) -> float:
    """Return how much of a figure is left on average over the time after it."""
    if span_s <= 0:
        return 1.0
    spans = span_s / MOMENTARY_DECAY_S
    return -math.expm1(-spans) / spans


def _log_factor(factor: float) -> float:
    return math.log(min(MAX_FACTOR, max(1 / MAX_FACTOR, factor)))
