"""Estimate a replica's load from its delayed reports and the calls sent by this instance."""

from collections import deque
from dataclasses import dataclass

from lagoonfold._ids import UpstreamId

_HISTORY_LENGTH = 4096


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """A replica's load and cache use, as they were one report lag before the report arrived.

    `running` and `waiting` count calls, `slots` is how many calls the replica runs at once, and
    `cached_tokens` of `capacity_tokens` are in use in its cache; 0 capacity means not reported.
    """

    running: int
    waiting: int
    slots: int
    cached_tokens: int = 0
    capacity_tokens: int = 0


class ReplicaLoad:
    """Estimate one replica's load, correcting its last report by what was sent since.

    This instance knows how many of the reported calls are its own; the rest were sent by other
    instances. The estimate is the other instances' calls as reported plus this instance's calls
    now. `lag_s` is the age of a report when it arrives.

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
        self._own_calls = 0
        self._other_calls = 0
        self._own_calls_by_time: deque[tuple[float, int]] = deque(maxlen=_HISTORY_LENGTH)
        self._added_tokens_by_time: deque[tuple[float, int]] = deque(maxlen=_HISTORY_LENGTH)

    @property
    def own_calls(self) -> int:
        """Calls of this instance that are at the replica now."""
        return self._own_calls

    def estimated_calls(self) -> int:
        """Return the estimated number of calls at the replica now, running or waiting."""
        return self._other_calls + self._own_calls

    def free_tokens(self, usable_share: float) -> float:
        """Return how many more tokens fit into the usable share of the replica's cache.

        The reported tokens and those sent since count as used. The result is infinite while the
        replica has not reported its capacity.
        """
        if not self.capacity_tokens:
            return float("inf")
        added_tokens = sum(tokens for _, tokens in self._added_tokens_by_time)
        return self.capacity_tokens * usable_share - self.cached_tokens - added_tokens

    def record_sent(self, *, now_s: float, added_tokens: int = 0) -> None:
        """Count a call sent by this instance and the tokens that it adds to the cache."""
        self._own_calls += 1
        if added_tokens:
            self._added_tokens_by_time.append((now_s, added_tokens))
        self._own_calls_by_time.append((now_s, self._own_calls))

    def record_ended(self, *, now_s: float) -> None:
        """Count the end of a call sent by this instance."""
        self._own_calls -= 1
        self._own_calls_by_time.append((now_s, self._own_calls))

    def record_report(self, report: LoadReport, *, now_s: float) -> None:
        """Replace the last report by one that was made `lag_s` seconds ago."""
        self.slots = report.slots
        self.cached_tokens = report.cached_tokens
        self.capacity_tokens = report.capacity_tokens
        while (
            self._added_tokens_by_time and self._added_tokens_by_time[0][0] <= now_s - self._lag_s
        ):
            self._added_tokens_by_time.popleft()
        total = report.running + report.waiting
        self._other_calls = max(0, total - self._own_calls_at(now_s - self._lag_s))

    def _own_calls_at(self, then_s: float) -> int:
        calls = 0
        while len(self._own_calls_by_time) > 1 and self._own_calls_by_time[1][0] <= then_s:
            self._own_calls_by_time.popleft()
        if self._own_calls_by_time and self._own_calls_by_time[0][0] <= then_s:
            calls = self._own_calls_by_time[0][1]
        return calls
