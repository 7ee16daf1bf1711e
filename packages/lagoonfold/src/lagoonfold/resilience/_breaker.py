"""A circuit breaker for one upstream."""

from collections import deque
from enum import Enum

_FAILURES_TO_OPEN = 3
_WINDOW_CALLS = 20
_WINDOW_FAILURES_TO_OPEN = 5
_OPEN_S = 2.0
_MAX_OPEN_S = 30.0


class BreakerState(Enum):
    """Which calls pass: all (CLOSED), none (OPEN) or one probe (HALF_OPEN)."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class CircuitBreaker:
    """Opens after failures and lets one probe through after a pause that doubles.

    It opens after consecutive failures, which detects a dead upstream soonest, or after a number
    of failures among the last calls, which detects an upstream that fails intermittently. Record
    only failures of the upstream itself; an answer with a client error is a success.
    """

    __slots__ = (
        "_consecutive_failures",
        "_is_probing",
        "_last_failed",
        "_open_s",
        "_opened_s",
        "_threshold",
    )

    def __init__(self, *, failures_to_open: int = _FAILURES_TO_OPEN) -> None:
        self._threshold = failures_to_open
        self._consecutive_failures = 0
        self._open_s = _OPEN_S
        self._opened_s: float | None = None
        self._is_probing = False
        self._last_failed: deque[bool] = deque(maxlen=_WINDOW_CALLS)

    def state(self, *, now_s: float) -> BreakerState:
        """Return the state as of now."""
        if self._opened_s is None:
            return BreakerState.CLOSED
        if now_s - self._opened_s < self._open_s or self._is_probing:
            return BreakerState.OPEN
        return BreakerState.HALF_OPEN

    def allows(self, *, now_s: float) -> bool:
        """Return whether a call may be sent now."""
        return self.state(now_s=now_s) is not BreakerState.OPEN

    def record_sent(self, *, now_s: float) -> None:
        """Record a sent call; in the half-open state it is the probe."""
        if self.state(now_s=now_s) is BreakerState.HALF_OPEN:
            self._is_probing = True

    def record_success(self) -> None:
        """Record a success; it closes an open breaker."""
        if self._opened_s is not None:
            self._last_failed.clear()
        self._consecutive_failures = 0
        self._opened_s = None
        self._is_probing = False
        self._open_s = _OPEN_S
        self._last_failed.append(False)

    def record_failure(self, *, now_s: float) -> None:
        """Record a failure; a failed probe opens the breaker for twice as long as before."""
        self._consecutive_failures += 1
        self._last_failed.append(True)
        if self._is_probing:
            self._open_s = min(_MAX_OPEN_S, self._open_s * 2)
        if self._is_probing or (self._opened_s is None and self._should_open()):
            self._opened_s = now_s
        self._is_probing = False

    def _should_open(self) -> bool:
        failures_in_window = sum(self._last_failed)
        return (
            self._consecutive_failures >= self._threshold
            or failures_in_window >= _WINDOW_FAILURES_TO_OPEN
        )

    def record_abandoned(self) -> None:
        """Record that a sent call ended with neither success nor failure, such as by a cancel."""
        self._is_probing = False
