"""Keeps replicas to the limits that they name, at the instance that places the requests for them.

A replica in need names in its answers how many requests a second it takes from all instances
together, for as long as it says so. Requests for a limited replica are placed by one instance only,
which counts them in a `Quota`; any other instance uses replicas without a limit. An instance that
takes a replica over starts from an empty bucket. In a span of t seconds, each instance places at
most rate x t x (1 + `BURST_S` / t) + 1 requests, so two that both place for a moment, while one
takes over from the other, stay within one and a half times the limit.

Answers the load of callers that go on at their usual rate when replicas name limits, with other
replicas that have room or without. Everything is decided from arguments, without I/O.
"""

import math
import re
from collections import defaultdict, deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from lagoonfold.rates import Quota, QuotaTerms, RateLimit

WINDOW_S = 4.0  # a replica looks at its requests over a few seconds
COUNTED_BEFORE_S = 1.0  # what was placed so shortly before a limit was named counts against it
BURST_S = 0.5  # of a limit's requests that may be placed at once
TOLERANCE = 0.25  # half of what a window may exceed a limit by; two owners may place for a moment
MIN_LIMIT_PER_S = 0.25  # a replica that is sent nothing cannot say that its limit has ended
MAX_LIMIT_PER_S = 1e6  # above what any replica takes
MAX_COUNTED_BEFORE = 1_024  # requests of `COUNTED_BEFORE_S` at one replica

_DECIMAL = re.compile(r"\+?(\d+\.?\d*|\.\d+)([eE][+-]?\d+)?", re.ASCII)
_SHOWN_CHARS = 40  # of a value that is not a limit, which may be as long as a head
_TERMS = QuotaTerms(window_s=WINDOW_S, carried_s=COUNTED_BEFORE_S, tolerance=TOLERANCE)


def parse_limit(values: Iterable[str]) -> Result[float | None, str]:
    """Return the limit that an answer names, in requests a second, None if it names none.

    Of several values the lowest counts. An error says which value is not a limit.

        parse_limit(["7.5"])       # Ok(7.5)
        parse_limit(["nan"])       # Err("limit 'nan' is not a number of requests a second")
    """
    limits: list[float] = []
    for value in values:
        limit = float(value) if _DECIMAL.fullmatch(value) else math.inf
        if limit == math.inf:
            return Err(f"limit {value[:_SHOWN_CHARS]!r} is not a number of requests a second")
        limits.append(limit)
    return Ok(min(limits, default=None))


@dataclass(slots=True)
class _Limited:
    """A replica's limit; `quota` is set while this instance places the requests for it."""

    started: int
    limit_per_s: float
    named_at_s: float
    limited_since_s: float
    quota: Quota | None = None


def _place_always(replica_id: str) -> float | None:
    return -math.inf


class ReplicaLimits:
    """Holds the limits that replicas have named, and counts the requests placed under them.

    `placing_since_s` returns since when this instance places the requests for a replica, None while
    another instance does. Times are in seconds.

        limits = ReplicaLimits()
        limits.record_named("r1", 1, 2.0, now_s=0.0)    # True: that is news
        limits.has_room("r1", now_s=0.1)                # False
        limits.has_room("r1", now_s=0.6)                # True
        limits.record_sent("r1", now_s=0.6)
    """

    def __init__(self, placing_since_s: Callable[[str], float | None] | None = None) -> None:
        self._placing_since_s = placing_since_s or _place_always
        self._limited_by_id: dict[str, _Limited] = {}
        self._sent_at_s_by_id: dict[str, deque[float]] = defaultdict(
            lambda: deque(maxlen=MAX_COUNTED_BEFORE)
        )

    def snapshot(self, replica_ids: Collection[str]) -> "ReplicaLimits":
        """Return a copy with the limits of some replicas, which can be drawn on."""
        copied = ReplicaLimits(self._placing_since_s)
        for replica_id in replica_ids:
            limited = self._limited_by_id.get(replica_id)
            if limited is not None:
                quota = limited.quota.snapshot() if limited.quota is not None else None
                copied._limited_by_id[replica_id] = replace(limited, quota=quota)
            if replica_id in self._sent_at_s_by_id:
                copied._sent_at_s_by_id[replica_id] = self._sent_at_s_by_id[replica_id].copy()
        return copied

    def named_age_s(self, replica_id: str, *, now_s: float) -> float | None:
        """Return how long ago a replica has named its limit last, None if it names none."""
        limited = self._limited_by_id.get(replica_id)
        return now_s - limited.named_at_s if limited is not None else None

    @property
    def has_any(self) -> bool:
        """Return whether any replica names a limit."""
        return bool(self._limited_by_id)

    def limit_per_s(self, replica_id: str) -> float | None:
        """Return the limit that a replica has named, None if it names none."""
        limited = self._limited_by_id.get(replica_id)
        return limited.limit_per_s if limited is not None else None

    def named(self) -> dict[str, tuple[int, float]]:
        """Return the incarnation and the limit of each limited replica by id."""
        return {
            replica_id: (limited.started, limited.limit_per_s)
            for replica_id, limited in self._limited_by_id.items()
        }

    def is_placing(self, replica_id: str) -> bool:
        """Return whether this instance counts the requests for a limited replica."""
        limited = self._limited_by_id.get(replica_id)
        return limited is not None and limited.quota is not None

    def record_named(
        self, replica_id: str, started: int, limit_per_s: float, *, now_s: float
    ) -> bool:
        """Record the limit that an answer of a replica's incarnation names; return if it is news.

        An answer of an earlier incarnation than the known one says nothing.
        """
        limit_per_s = min(MAX_LIMIT_PER_S, max(MIN_LIMIT_PER_S, limit_per_s))
        limited = self._limited_by_id.get(replica_id)
        if limited is not None and started < limited.started:
            return False
        if limited is None or limited.started != started:
            self._limited_by_id[replica_id] = _Limited(started, limit_per_s, now_s, now_s)
            return True
        limited.named_at_s = now_s
        if limited.limit_per_s == limit_per_s:
            return False
        limited.limit_per_s = limit_per_s
        if limited.quota is not None:
            limited.quota.change_limit(_rate_limit(limit_per_s), now_s=now_s)
        return True

    def record_unlimited(self, replica_id: str, started: int, *, asked_at_s: float) -> bool:
        """Record that an answer names no limit; return whether that ends one.

        The answer is that to a request sent at `asked_at_s`. One that was sent before the limit was
        named last may have been answered before, and says nothing.
        """
        limited = self._limited_by_id.get(replica_id)
        if limited is None or started < limited.started or asked_at_s <= limited.named_at_s:
            return False
        del self._limited_by_id[replica_id]
        return True

    def keep(self, started_by_id: dict[str, int]) -> None:
        """Drop what is known of replicas that are not listed, or listed with a later start."""
        for replica_id, limited in tuple(self._limited_by_id.items()):
            if started_by_id.get(replica_id, math.inf) > limited.started:
                del self._limited_by_id[replica_id]
        for replica_id in tuple(self._sent_at_s_by_id):
            if replica_id not in started_by_id:
                del self._sent_at_s_by_id[replica_id]

    def record_sent(self, replica_id: str, *, now_s: float) -> None:
        """Count a request that this instance places at a replica."""
        sent_at_s = self._sent_at_s_by_id[replica_id]
        sent_at_s.append(now_s)
        while sent_at_s[0] < now_s - COUNTED_BEFORE_S:
            sent_at_s.popleft()
        limited = self._limited_by_id.get(replica_id)
        if limited is not None and limited.quota is not None:
            limited.quota.try_take(now_s=now_s)

    def has_room(self, replica_id: str, *, now_s: float) -> bool:
        """Return whether a replica's limit, if it has one, allows another request from here."""
        limited = self._limited_by_id.get(replica_id)
        if limited is None:
            return True
        quota = self._quota(replica_id, limited, now_s)
        return quota is not None and quota.available(now_s=now_s) >= 1

    def fill(self, replica_id: str, *, now_s: float) -> float:
        """Return which share of what may be placed at once is left, 1 without a limit."""
        limited = self._limited_by_id.get(replica_id)
        if limited is None:
            return 1.0
        quota = self._quota(replica_id, limited, now_s)
        if quota is None:
            return 0.0
        return quota.available(now_s=now_s) / quota.limit.burst

    def wait_s(self, replica_ids: Iterable[str], requests: int, *, now_s: float) -> float | None:
        """Return how long it takes until that many requests can be placed at limited replicas.

        None if a limit is not what they wait for: one of the replicas has none, or another instance
        places the requests for one.
        """
        first_s_and_rate: list[tuple[float, float]] = []
        for replica_id in replica_ids:
            limited = self._limited_by_id.get(replica_id)
            quota = self._quota(replica_id, limited, now_s) if limited is not None else None
            if quota is None:
                return None
            first_s_and_rate.append((quota.wait_s(1, now_s=now_s), quota.limit.rate_per_s))
        return _time_to_place(requests, sorted(first_s_and_rate))

    def _quota(self, replica_id: str, limited: _Limited, now_s: float) -> Quota | None:
        """Return the quota of a replica for which this instance places, otherwise None."""
        since_s = self._placing_since_s(replica_id)
        if since_s is None:
            limited.quota = None
        elif limited.quota is None:
            limited.quota = Quota(
                _rate_limit(limited.limit_per_s),
                _TERMS,
                now_s=max(since_s, limited.limited_since_s),
                taken_at_s=self._sent_at_s_by_id.get(replica_id, ()),
            )
        return limited.quota


def _rate_limit(limit_per_s: float) -> RateLimit:
    return RateLimit(rate_per_s=limit_per_s, burst=1 + BURST_S * limit_per_s)


def _time_to_place(requests: int, first_s_and_rate: list[tuple[float, float]]) -> float | None:
    """Return when replicas have let in that many requests together, the first ones first.

    Each lets one in after its first time, and then its rate.
    """
    let_in, rate_per_s, at_s = 0.0, 0.0, 0.0
    for first_s, rate in first_s_and_rate:
        reached = let_in + rate_per_s * (first_s - at_s)
        if reached >= requests:
            break
        let_in, at_s = reached + 1, first_s
        rate_per_s += rate
    if rate_per_s == 0.0:
        return None
    return at_s + max(0.0, requests - let_in) / rate_per_s
