"""A token bucket that limits the rate of calls to a service."""

from collections import Counter

import trio

_BURST_S = 1.0


class CallRateLimiter:
    """Admits `calls_per_s` calls a second on average and counts them by operation.

    The bucket holds the calls of one second, at least one. Urgent calls, such as lease renewals,
    never wait; the calls after them wait longer instead. Other calls that would wait longer than
    `max_wait_s` seconds are refused.
    """

    def __init__(self, calls_per_s: float, *, max_wait_s: float = 2.0) -> None:
        self._calls_per_s = calls_per_s
        self._max_wait_s = max_wait_s
        self._burst = max(1.0, calls_per_s * _BURST_S)
        self._level = self._burst
        self._filled_at_s: float | None = None
        self.counts_by_operation: Counter[str] = Counter()

    async def acquire(self, operation: str, *, urgent: bool = False) -> bool:
        """Wait until the call is admitted; return False at once if the wait would be too long."""
        wait_s = self.wait_s()
        if not urgent and wait_s > self._max_wait_s:
            self.counts_by_operation["throttled"] += 1
            return False
        self._level -= 1.0
        self.counts_by_operation[operation] += 1
        if not urgent and wait_s > 0:
            await trio.sleep(wait_s)
        return True

    def wait_s(self) -> float:
        """Return how many seconds a call would have to wait now."""
        self._refill(trio.current_time())
        return max(0.0, (1.0 - self._level) / self._calls_per_s)

    def _refill(self, now_s: float) -> None:
        last_s = now_s if self._filled_at_s is None else self._filled_at_s
        self._level = min(self._burst, self._level + (now_s - last_s) * self._calls_per_s)
        self._filled_at_s = now_s
