"""Outlier ejection of replicas that generate tokens much more slowly than the other replicas.

Throughput is the tokens per second of a running stream after its first token. A replica is
ejected if its streams together fall below a fifth of the median of the other replicas' average
throughputs. The instance that detects this notifies its peers. It alone probes the replica, with
one call after a pause that doubles with each failed probe. The peers wait for its next notice; if
none comes, they probe the replica themselves after a longer pause.

    detector = SlowReplicaDetector("entry-1")
    detector.record_sample(upstream_id, tokens=5, seconds=1.0, now_s=3.0)
    for notice in detector.evaluate(replicas, now_s=3.0):
        ...                                    # send to the peers, which call `apply_notice`
"""

import math
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from statistics import median

import msgspec

from lagoonfold._ids import UpstreamId

_WINDOW_S = 2.0
_MIN_SAMPLED_S = 1.0
_AVERAGE_TIME_CONSTANT_S = 10.0
_EJECT_BELOW_SHARE = 1 / 5
_REINSTATE_SHARE = 1 / 2
_FIRST_EJECTION_S = 10.0
_MAX_EJECTION_S = 60.0
_NON_PROBER_WAIT_FACTOR = 3.0  # Peers wait longer than the prober, whose notice may never come.


class EjectionNotice(msgspec.Struct, frozen=True, kw_only=True):
    """A replica that an instance has ejected or reinstated.

    The instance `prober` probes the replica after `ejection_s` seconds; 0 means that the replica
    is reinstated. `throughput` is the throughput that led to the decision, in tokens per second.
    """

    upstream_id: str
    prober: str = msgspec.field(name="trier")
    ejection_s: float = msgspec.field(name="aside_s")
    throughput: float = msgspec.field(name="pace")


@dataclass(frozen=True, slots=True, kw_only=True)
class MoveInput:
    """A running call on an ejected replica.

    The call is expected to generate `tokens_to_generate` more tokens; another replica would first
    have to compute `tokens_to_prefill` tokens. Throughputs are in tokens per second.
    """

    tokens_to_generate: float
    tokens_to_prefill: float
    current_throughput: float
    other_throughput: float
    prefill_tokens_per_s: float = 8000.0


def is_sooner_elsewhere(call: MoveInput) -> bool:
    """Return whether a call would end sooner if it were resumed on another replica now."""
    if call.other_throughput <= 0:
        return False
    prefill_s = call.tokens_to_prefill / call.prefill_tokens_per_s
    elsewhere_s = prefill_s + call.tokens_to_generate / call.other_throughput
    return (
        call.current_throughput <= 0
        or elsewhere_s < call.tokens_to_generate / call.current_throughput
    )


@dataclass(frozen=True, slots=True)
class _Sample:
    at_s: float
    tokens: float
    seconds: float


@dataclass(slots=True)
class _ReplicaState:
    """One replica's recent samples, its average throughput and its ejection.

    The average is not updated while the replica is ejected.
    """

    recent: deque[_Sample] = field(default_factory=deque)
    average: float | None = None
    ejection_s: float = 0.0
    ejected_until_s: float = 0.0
    prober: str = ""
    ejection_throughput: float = 0.0
    is_probing: bool = False

    @property
    def is_ejected(self) -> bool:
        return self.ejection_s > 0

    def add(self, sample: _Sample) -> None:
        self.recent.append(sample)
        if self.is_ejected:
            return
        rate = sample.tokens / sample.seconds
        weight = 1 - math.exp(-sample.seconds / _AVERAGE_TIME_CONSTANT_S)
        self.average = (
            rate if self.average is None else self.average + weight * (rate - self.average)
        )

    def throughput(self, now_s: float) -> float | None:
        """Return the throughput within the window, or None if too little was sampled."""
        while self.recent and self.recent[0].at_s < now_s - _WINDOW_S:
            self.recent.popleft()
        seconds = sum(sample.seconds for sample in self.recent)
        if seconds < _MIN_SAMPLED_S:
            return None
        return sum(sample.tokens for sample in self.recent) / seconds

    def apply_notice(self, notice: EjectionNotice, ejected_until_s: float) -> None:
        self.ejection_s, self.ejected_until_s = notice.ejection_s, ejected_until_s
        self.prober, self.ejection_throughput = notice.prober, notice.throughput
        self.is_probing = False
        self.recent.clear()


class SlowReplicaDetector:
    """Detects slow replicas of one model, from this instance's streams and the peers' notices."""

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._states_by_id: dict[UpstreamId, _ReplicaState] = {}

    def record_sample(
        self, upstream_id: UpstreamId, *, tokens: float, seconds: float, now_s: float
    ) -> None:
        """Record the tokens that one stream generated in the last seconds."""
        if seconds > 0:
            self._state_of(upstream_id).add(_Sample(now_s, tokens, seconds))

    def evaluate(self, replicas: Sequence[UpstreamId], *, now_s: float) -> list[EjectionNotice]:
        """Eject slow replicas, reinstate recovered ones and return a notice for each.

        A replica is ejected here only if at least half of the replicas remain. A failed probe
        ejects its replica again.
        """
        return [
            notice
            for upstream_id in replicas
            for notice in self._evaluate_one(upstream_id, replicas, now_s)
        ]

    def apply_notice(self, notice: EjectionNotice, *, now_s: float) -> None:
        """Apply a peer's notice; of two instances that would probe, the lesser id does."""
        state = self._state_of(UpstreamId(notice.upstream_id))
        probes_here = state.is_ejected and state.prober == self._instance_id < notice.prober
        if not notice.ejection_s or not probes_here:
            state.apply_notice(notice, now_s + _NON_PROBER_WAIT_FACTOR * notice.ejection_s)

    def allows(self, upstream_id: UpstreamId, *, now_s: float) -> bool:
        """Return whether a call may be sent: the replica isn't ejected, or this call probes it."""
        state = self._states_by_id.get(upstream_id)
        if state is None or not state.is_ejected:
            return True
        return now_s >= state.ejected_until_s and not state.is_probing

    def is_ejected(self, upstream_id: UpstreamId) -> bool:
        """Return whether a replica is ejected."""
        state = self._states_by_id.get(upstream_id)
        return state is not None and state.is_ejected

    def is_probing(self, upstream_id: UpstreamId) -> bool:
        """Return whether a call is probing an ejected replica and the result is still open."""
        state = self._states_by_id.get(upstream_id)
        return state is not None and state.is_probing

    def start_call(self, upstream_id: UpstreamId, *, now_s: float) -> bool:
        """Record that a call is sent; return whether it probes an ejected replica."""
        state = self._states_by_id.get(upstream_id)
        if state is None or not state.is_ejected or now_s < state.ejected_until_s:
            return False
        state.is_probing = True
        return True

    def end_probe(self, upstream_id: UpstreamId) -> None:
        """Record the end of a probe; if it had no result, the next call probes again."""
        self._state_of(upstream_id).is_probing = False

    def ejection_throughput(self, upstream_id: UpstreamId) -> float:
        """Return the throughput in the replica's last notice, 0 if there was none."""
        return self._state_of(upstream_id).ejection_throughput

    def median_throughput_of_others(self, upstream_id: UpstreamId) -> float | None:
        """Return the median of the other replicas' average throughputs, None if none is known."""
        averages = [
            state.average
            for other, state in self._states_by_id.items()
            if other != upstream_id and state.average is not None and not state.is_ejected
        ]
        return median(averages) if averages else None

    def retain_only(self, listed: Iterable[UpstreamId]) -> None:
        """Drop the state of replicas that are no longer listed."""
        kept = frozenset(listed)
        for upstream_id in tuple(self._states_by_id):
            if upstream_id not in kept:
                del self._states_by_id[upstream_id]

    def _evaluate_one(
        self, upstream_id: UpstreamId, replicas: Sequence[UpstreamId], now_s: float
    ) -> list[EjectionNotice]:
        state = self._state_of(upstream_id)
        current, typical = state.throughput(now_s), self.median_throughput_of_others(upstream_id)
        if current is None or not typical:
            return []
        if state.is_ejected and current >= typical * _REINSTATE_SHARE:
            return [self._issue_notice(state, upstream_id, 0.0, current, now_s)]
        may_eject = state.is_probing if state.is_ejected else self._leaves_half(replicas)
        if current >= typical * _EJECT_BELOW_SHARE or not may_eject:
            return []
        ejection_s = min(_MAX_EJECTION_S, max(_FIRST_EJECTION_S, state.ejection_s * 2))
        return [self._issue_notice(state, upstream_id, ejection_s, current, now_s)]

    def _issue_notice(
        self,
        state: _ReplicaState,
        upstream_id: UpstreamId,
        ejection_s: float,
        throughput: float,
        now_s: float,
    ) -> EjectionNotice:
        notice = EjectionNotice(
            upstream_id=upstream_id,
            prober=self._instance_id,
            ejection_s=ejection_s,
            throughput=throughput,
        )
        state.apply_notice(notice, now_s + ejection_s)
        return notice

    def _leaves_half(self, replicas: Sequence[UpstreamId]) -> bool:
        ejected = sum(self.is_ejected(upstream_id) for upstream_id in replicas)
        return 2 * (ejected + 1) <= len(replicas)

    def _state_of(self, upstream_id: UpstreamId) -> _ReplicaState:
        return self._states_by_id.setdefault(upstream_id, _ReplicaState())
