"""What is known of a replica's load, from reports that lag and from what was sent here."""

from collections import deque
from dataclasses import dataclass

from lagoonfold._ids import UpstreamId

_HISTORY_LENGTH = 4096


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """A replica's own count of running and waiting calls, as of `lag_s` before it came in."""

    running: int
    waiting: int
    slots: int
    cached_tokens: int = 0
    capacity_tokens: int = 0


class ReplicaLoad:
    """An estimate of one replica's load that adds to a report what was sent since.

    Of the reported calls, those sent by this instance are known; the rest are other instances'.
    The estimate is the others' as reported plus the own as they are now.

        load = ReplicaLoad(upstream_id, slots=8, lag_s=1.0)
        load.record_sent(now_s=0.0)
        load.estimated_calls()   # 1
    """

    def __init__(self, upstream_id: UpstreamId, *, slots: int, lag_s: float) -> None:
        self.upstream_id = upstream_id
        self.slots = slots
        self.cached_tokens = 0
        self.capacity_tokens = 0
        self._lag_s = lag_s
        self._own = 0
        self._others = 0
        self._own_by_time: deque[tuple[float, int]] = deque(maxlen=_HISTORY_LENGTH)
        self._added_by_time: deque[tuple[float, int]] = deque(maxlen=_HISTORY_LENGTH)

    @property
    def own_calls(self) -> int:
        """Calls of this instance that are at the replica now."""
        return self._own

    def estimated_calls(self) -> int:
        """Return the calls that are at the replica now, running or waiting."""
        return self._others + self._own

    def free_tokens(self, usable_share: float) -> float:
        """Return how many tokens fit in a share of the cache beside those there and sent since.

        Without a report of the capacity there is no bound.
        """
        if not self.capacity_tokens:
            return float("inf")
        added = sum(tokens for _, tokens in self._added_by_time)
        return self.capacity_tokens * usable_share - self.cached_tokens - added

    def record_sent(self, *, now_s: float, added_tokens: int = 0) -> None:
        """Count a call sent from here, and the tokens that it adds to the cache."""
        self._own += 1
        if added_tokens:
            self._added_by_time.append((now_s, added_tokens))
        self._own_by_time.append((now_s, self._own))

    def record_ended(self, *, now_s: float) -> None:
        """Count the end of a call sent from here."""
        self._own -= 1
        self._own_by_time.append((now_s, self._own))

    def record_report(self, report: LoadReport, *, now_s: float) -> None:
        """Take in a report that was true `lag_s` seconds ago."""
        self.slots = report.slots
        self.cached_tokens = report.cached_tokens
        self.capacity_tokens = report.capacity_tokens
        while self._added_by_time and self._added_by_time[0][0] <= now_s - self._lag_s:
            self._added_by_time.popleft()
        total = report.running + report.waiting
        self._others = max(0, total - self._own_at(now_s - self._lag_s))

    def _own_at(self, then_s: float) -> int:
        own = 0
        while len(self._own_by_time) > 1 and self._own_by_time[1][0] <= then_s:
            self._own_by_time.popleft()
        if self._own_by_time and self._own_by_time[0][0] <= then_s:
            own = self._own_by_time[0][1]
        return own
