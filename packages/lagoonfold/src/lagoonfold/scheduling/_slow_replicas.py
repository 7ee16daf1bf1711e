"""Replicas that generate much slower than their peers: seen during calls, put aside, tried again.

Pace is tokens a second of a running stream after its first token. A replica whose streams all
together fall under a fifth of what its peers usually do is put aside. The instance that saw it
tells the others and tries the replica again by itself, with one call, after a pause that doubles;
the others wait for its word, and longer in case it never comes.

    detector = SlowReplicaDetector("entry-1")
    detector.record_sample(upstream_id, tokens=5, seconds=1.0, now_s=3.0)
    for notice in detector.evaluate(replicas, now_s=3.0):
        ...                                    # tell the peers, which call `apply_notice`
"""

import math
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from statistics import median

import msgspec

from lagoonfold._ids import UpstreamId

_WINDOW_S = 2.0
_MIN_SEEN_S = 1.0
_MEMORY_S = 10.0
_SLOW_SHARE = 1 / 5
_WELL_SHARE = 1 / 2
_ASIDE_S = 10.0
_MAX_ASIDE_S = 60.0
_OTHERS_WAIT = 3.0


class EjectionNotice(msgspec.Struct, frozen=True, kw_only=True):
    """What an instance found out about a replica.

    `prober` will try it again after `ejection_s`; with zero the replica is well again. `throughput`
    is what was seen, in tokens a second.
    """

    upstream_id: str
    prober: str = msgspec.field(name="trier")
    ejection_s: float = msgspec.field(name="aside_s")
    throughput: float = msgspec.field(name="pace")


@dataclass(frozen=True, slots=True, kw_only=True)
class MoveInput:
    """A running call on a replica that is put aside.

    `tokens_to_generate` is what it is expected to generate yet, `tokens_to_prefill` what another
    replica would have to compute first; paces are in tokens a second.
    """

    tokens_to_generate: float
    tokens_to_prefill: float
    current_throughput: float
    other_throughput: float
    prefill_tokens_per_s: float = 8000.0


def is_sooner_elsewhere(call: MoveInput) -> bool:
    """Tell whether a call would end sooner if it were resumed on another replica now."""
    if call.other_throughput <= 0:
        return False
    prefill_s = call.tokens_to_prefill / call.prefill_tokens_per_s
    elsewhere_s = prefill_s + call.tokens_to_generate / call.other_throughput
    return (
        call.current_throughput <= 0
        or elsewhere_s < call.tokens_to_generate / call.current_throughput
    )


@dataclass(frozen=True, slots=True)
class _Seen:
    at_s: float
    tokens: float
    seconds: float


@dataclass(slots=True)
class _Pace:
    """One replica: what was seen lately, its usual pace, and until when it is put aside."""

    recent: deque[_Seen] = field(default_factory=deque)
    usual: float | None = None
    ejection_s: float = 0.0
    until_s: float = 0.0
    prober: str = ""
    ejection_throughput: float = 0.0
    is_probing: bool = False

    @property
    def is_ejected(self) -> bool:
        return self.ejection_s > 0

    def add(self, seen: _Seen) -> None:
        self.recent.append(seen)
        if self.is_ejected:
            return
        pace = seen.tokens / seen.seconds
        weight = 1 - math.exp(-seen.seconds / _MEMORY_S)
        self.usual = pace if self.usual is None else self.usual + weight * (pace - self.usual)

    def now(self, now_s: float) -> float | None:
        """Return the pace in the window, if enough was seen in it."""
        while self.recent and self.recent[0].at_s < now_s - _WINDOW_S:
            self.recent.popleft()
        seconds = sum(seen.seconds for seen in self.recent)
        if seconds < _MIN_SEEN_S:
            return None
        return sum(seen.tokens for seen in self.recent) / seconds

    def apply_notice(self, notice: EjectionNotice, until_s: float) -> None:
        self.ejection_s, self.until_s = notice.ejection_s, until_s
        self.prober, self.ejection_throughput = notice.prober, notice.throughput
        self.is_probing = False
        self.recent.clear()


class SlowReplicaDetector:
    """The paces of one model's replicas as one instance sees them."""

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._paces_by_id: dict[UpstreamId, _Pace] = {}

    def record_sample(
        self, upstream_id: UpstreamId, *, tokens: float, seconds: float, now_s: float
    ) -> None:
        """Take in what one stream brought in the last seconds."""
        if seconds > 0:
            self._pace(upstream_id).add(_Seen(now_s, tokens, seconds))

    def evaluate(self, replicas: Sequence[UpstreamId], *, now_s: float) -> list[EjectionNotice]:
        """Put slow replicas aside and bring back those that are well; return the news.

        Half of the replicas are always left.
        """
        return [
            notice
            for upstream_id in replicas
            for notice in self._evaluate_one(upstream_id, replicas, now_s)
        ]

    def apply_notice(self, notice: EjectionNotice, *, now_s: float) -> None:
        """Take in what another instance found out; of two that would try, the lesser id does."""
        pace = self._pace(UpstreamId(notice.upstream_id))
        tries_here = pace.is_ejected and pace.prober == self._instance_id < notice.prober
        if not notice.ejection_s or not tries_here:
            pace.apply_notice(notice, now_s + _OTHERS_WAIT * notice.ejection_s)

    def allows(self, upstream_id: UpstreamId, *, now_s: float) -> bool:
        """Tell whether a call may be sent: not put aside, or the one call that tries it."""
        pace = self._paces_by_id.get(upstream_id)
        if pace is None or not pace.is_ejected:
            return True
        return now_s >= pace.until_s and not pace.is_probing

    def is_ejected(self, upstream_id: UpstreamId) -> bool:
        """Tell whether a replica is put aside."""
        pace = self._paces_by_id.get(upstream_id)
        return pace is not None and pace.is_ejected

    def is_probing(self, upstream_id: UpstreamId) -> bool:
        """Tell whether a call tries a replica that is put aside, without a verdict yet."""
        pace = self._paces_by_id.get(upstream_id)
        return pace is not None and pace.is_probing

    def start_call(self, upstream_id: UpstreamId, *, now_s: float) -> bool:
        """Note a call that is sent; return whether it tries a replica that is put aside."""
        pace = self._paces_by_id.get(upstream_id)
        if pace is None or not pace.is_ejected or now_s < pace.until_s:
            return False
        pace.is_probing = True
        return True

    def end_probe(self, upstream_id: UpstreamId) -> None:
        """Note the end of a trial; if it brought no verdict, the next call is another."""
        self._pace(upstream_id).is_probing = False

    def ejection_throughput(self, upstream_id: UpstreamId) -> float:
        """Return the pace for which a replica was put aside, zero if it was not."""
        return self._pace(upstream_id).ejection_throughput

    def median_throughput_of_others(self, upstream_id: UpstreamId) -> float | None:
        """Return the median of the other replicas' usual paces, None if none is known."""
        usual = [
            pace.usual
            for other, pace in self._paces_by_id.items()
            if other != upstream_id and pace.usual is not None and not pace.is_ejected
        ]
        return median(usual) if usual else None

    def retain_only(self, listed: Iterable[UpstreamId]) -> None:
        """Forget replicas that are gone."""
        kept = frozenset(listed)
        for upstream_id in tuple(self._paces_by_id):
            if upstream_id not in kept:
                del self._paces_by_id[upstream_id]

    def _evaluate_one(
        self, upstream_id: UpstreamId, replicas: Sequence[UpstreamId], now_s: float
    ) -> list[EjectionNotice]:
        pace = self._pace(upstream_id)
        seen, usual = pace.now(now_s), self.median_throughput_of_others(upstream_id)
        if seen is None or not usual:
            return []
        if pace.is_ejected and seen >= usual * _WELL_SHARE:
            return [self._decide(pace, upstream_id, 0.0, seen, now_s)]
        may_be_put_aside = pace.is_probing if pace.is_ejected else self._leaves_half(replicas)
        if seen >= usual * _SLOW_SHARE or not may_be_put_aside:
            return []
        ejection_s = min(_MAX_ASIDE_S, max(_ASIDE_S, pace.ejection_s * 2))
        return [self._decide(pace, upstream_id, ejection_s, seen, now_s)]

    def _decide(
        self, pace: _Pace, upstream_id: UpstreamId, ejection_s: float, seen: float, now_s: float
    ) -> EjectionNotice:
        notice = EjectionNotice(
            upstream_id=upstream_id,
            prober=self._instance_id,
            ejection_s=ejection_s,
            throughput=seen,
        )
        pace.apply_notice(notice, now_s + ejection_s)
        return notice

    def _leaves_half(self, replicas: Sequence[UpstreamId]) -> bool:
        aside = sum(self.is_ejected(upstream_id) for upstream_id in replicas)
        return 2 * (aside + 1) <= len(replicas)

    def _pace(self, upstream_id: UpstreamId) -> _Pace:
        return self._paces_by_id.setdefault(upstream_id, _Pace())
