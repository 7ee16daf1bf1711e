"""Replicas that generate much slower than their peers: seen during calls, put aside, tried again.

Pace is tokens a second of a running stream after its first token. A replica whose streams all
together fall under a fifth of what its peers usually do is put aside. The instance that saw it
tells the others and tries the replica again by itself, with one call, after a pause that doubles;
the others wait for its word, and longer in case it never comes.

    board = PaceBoard("entry-1")
    board.note(upstream_id, tokens=5, seconds=1.0, now_s=3.0)
    for notice in board.judge(replicas, now_s=3.0):
        ...                                    # tell the peers, which call `take`
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


class PaceNotice(msgspec.Struct, frozen=True, kw_only=True):
    """What an instance found out about a replica.

    `trier` will try it again after `aside_s`; with zero the replica is well again. `pace` is what
    was seen, in tokens a second.
    """

    upstream_id: str
    trier: str
    aside_s: float
    pace: float


@dataclass(frozen=True, slots=True, kw_only=True)
class MoveInput:
    """A running call on a replica that is put aside.

    `left_tokens` is what it is expected to generate yet, `missing_tokens` what another replica
    would have to compute first; paces are in tokens a second.
    """

    left_tokens: float
    missing_tokens: float
    pace_there: float
    pace_elsewhere: float
    prefill_tokens_per_s: float = 8000.0


def is_sooner_elsewhere(call: MoveInput) -> bool:
    """Tell whether a call would end sooner if it were resumed on another replica now."""
    if call.pace_elsewhere <= 0:
        return False
    prefill_s = call.missing_tokens / call.prefill_tokens_per_s
    elsewhere_s = prefill_s + call.left_tokens / call.pace_elsewhere
    return call.pace_there <= 0 or elsewhere_s < call.left_tokens / call.pace_there


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
    aside_s: float = 0.0
    until_s: float = 0.0
    trier: str = ""
    slow_pace: float = 0.0
    is_tried: bool = False

    @property
    def is_aside(self) -> bool:
        return self.aside_s > 0

    def add(self, seen: _Seen) -> None:
        self.recent.append(seen)
        if self.is_aside:
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

    def follow(self, notice: PaceNotice, until_s: float) -> None:
        self.aside_s, self.until_s = notice.aside_s, until_s
        self.trier, self.slow_pace = notice.trier, notice.pace
        self.is_tried = False
        self.recent.clear()


class PaceBoard:
    """The paces of one model's replicas as one instance sees them."""

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._paces_by_id: dict[UpstreamId, _Pace] = {}

    def note(self, upstream_id: UpstreamId, *, tokens: float, seconds: float, now_s: float) -> None:
        """Take in what one stream brought in the last seconds."""
        if seconds > 0:
            self._pace(upstream_id).add(_Seen(now_s, tokens, seconds))

    def judge(self, replicas: Sequence[UpstreamId], *, now_s: float) -> list[PaceNotice]:
        """Put slow replicas aside and bring back those that are well; return the news.

        Half of the replicas are always left.
        """
        return [
            notice
            for upstream_id in replicas
            for notice in self._judge_one(upstream_id, replicas, now_s)
        ]

    def take(self, notice: PaceNotice, *, now_s: float) -> None:
        """Take in what another instance found out; of two that would try, the lesser id does."""
        pace = self._pace(UpstreamId(notice.upstream_id))
        tries_here = pace.is_aside and pace.trier == self._instance_id < notice.trier
        if not notice.aside_s or not tries_here:
            pace.follow(notice, now_s + _OTHERS_WAIT * notice.aside_s)

    def allows(self, upstream_id: UpstreamId, *, now_s: float) -> bool:
        """Tell whether a call may be sent: not put aside, or the one call that tries it."""
        pace = self._paces_by_id.get(upstream_id)
        if pace is None or not pace.is_aside:
            return True
        return now_s >= pace.until_s and not pace.is_tried

    def is_aside(self, upstream_id: UpstreamId) -> bool:
        """Tell whether a replica is put aside."""
        pace = self._paces_by_id.get(upstream_id)
        return pace is not None and pace.is_aside

    def is_tried(self, upstream_id: UpstreamId) -> bool:
        """Tell whether a call tries a replica that is put aside, without a verdict yet."""
        pace = self._paces_by_id.get(upstream_id)
        return pace is not None and pace.is_tried

    def note_sent(self, upstream_id: UpstreamId, *, now_s: float) -> bool:
        """Note a call that is sent; return whether it tries a replica that is put aside."""
        pace = self._paces_by_id.get(upstream_id)
        if pace is None or not pace.is_aside or now_s < pace.until_s:
            return False
        pace.is_tried = True
        return True

    def note_trial_ended(self, upstream_id: UpstreamId) -> None:
        """Note the end of a trial; if it brought no verdict, the next call is another."""
        self._pace(upstream_id).is_tried = False

    def last_pace(self, upstream_id: UpstreamId) -> float:
        """Return the pace for which a replica was put aside, zero if it was not."""
        return self._pace(upstream_id).slow_pace

    def usual_elsewhere(self, upstream_id: UpstreamId) -> float | None:
        """Return the median of the other replicas' usual paces, None if none is known."""
        usual = [
            pace.usual
            for other, pace in self._paces_by_id.items()
            if other != upstream_id and pace.usual is not None and not pace.is_aside
        ]
        return median(usual) if usual else None

    def follow(self, listed: Iterable[UpstreamId]) -> None:
        """Forget replicas that are gone."""
        kept = frozenset(listed)
        for upstream_id in tuple(self._paces_by_id):
            if upstream_id not in kept:
                del self._paces_by_id[upstream_id]

    def _judge_one(
        self, upstream_id: UpstreamId, replicas: Sequence[UpstreamId], now_s: float
    ) -> list[PaceNotice]:
        pace = self._pace(upstream_id)
        seen, usual = pace.now(now_s), self.usual_elsewhere(upstream_id)
        if seen is None or not usual:
            return []
        if pace.is_aside and seen >= usual * _WELL_SHARE:
            return [self._decide(pace, upstream_id, 0.0, seen, now_s)]
        may_be_put_aside = pace.is_tried if pace.is_aside else self._leaves_half(replicas)
        if seen >= usual * _SLOW_SHARE or not may_be_put_aside:
            return []
        aside_s = min(_MAX_ASIDE_S, max(_ASIDE_S, pace.aside_s * 2))
        return [self._decide(pace, upstream_id, aside_s, seen, now_s)]

    def _decide(
        self, pace: _Pace, upstream_id: UpstreamId, aside_s: float, seen: float, now_s: float
    ) -> PaceNotice:
        notice = PaceNotice(
            upstream_id=upstream_id, trier=self._instance_id, aside_s=aside_s, pace=seen
        )
        pace.follow(notice, now_s + aside_s)
        return notice

    def _leaves_half(self, replicas: Sequence[UpstreamId]) -> bool:
        aside = sum(self.is_aside(upstream_id) for upstream_id in replicas)
        return 2 * (aside + 1) <= len(replicas)

    def _pace(self, upstream_id: UpstreamId) -> _Pace:
        return self._paces_by_id.setdefault(upstream_id, _Pace())
