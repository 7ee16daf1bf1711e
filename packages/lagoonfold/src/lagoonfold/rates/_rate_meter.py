"""A moving average of the call rate."""

import math

_TIME_CONSTANT_S = 2.0


class RateMeter:
    """Measure the recent call rate; a call's weight decays to 1/e in `time_constant_s` seconds."""

    __slots__ = ("_time_constant_s", "_rate_per_s", "_updated_s")

    def __init__(self, *, time_constant_s: float = _TIME_CONSTANT_S) -> None:
        self._time_constant_s = time_constant_s
        self._rate_per_s = 0.0
        self._updated_s = 0.0

    def add(self, *, now_s: float, count: int = 1) -> None:
        """Count calls that arrive at `now_s`."""
        self._rate_per_s = self.rate_per_s(now_s=now_s) + count / self._time_constant_s
        self._updated_s = now_s

    def rate_per_s(self, *, now_s: float) -> float:
        """Return the calls per second as of `now_s`."""
        return self._rate_per_s * math.exp(
            -max(0.0, now_s - self._updated_s) / self._time_constant_s
        )
