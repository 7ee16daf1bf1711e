"""Service measured in seconds of an upstream, and the priority passed to engines."""

import math
from dataclasses import dataclass

_PREFILL_TOKENS_PER_S = 8000.0
_DECODE_TOKENS_PER_S = 50.0
_PRIORITY_UNIT_S = 0.25
_MAX_PRIORITY = 20
_KEPT_SHARE = 0.8
_UNSEEN_PAUSE_S = 5.0


def estimate_service_s(*, prompt_tokens: int, cached_tokens: int, completion_tokens: int) -> float:
    """Return the service of one model call: tokens computed at an engine's usual rates."""
    prefill_s = max(0, prompt_tokens - cached_tokens) / _PREFILL_TOKENS_PER_S
    return prefill_s + completion_tokens / _DECODE_TOKENS_PER_S


def priority_of(attained_s: float) -> int:
    """Return the engine priority of a program's next call; the lower goes first.

    Classes double in width, so that a program sinks by one class with each doubling of what it
    has had, and engines see few distinct values.
    """
    if attained_s < _PRIORITY_UNIT_S:
        return 0
    return min(_MAX_PRIORITY, 1 + int(math.log2(attained_s / _PRIORITY_UNIT_S)))


class DurationAverage:
    """A moving average of how long calls occupy an upstream, in seconds."""

    __slots__ = ("_mean_s",)

    def __init__(self, *, initial_s: float) -> None:
        self._mean_s = initial_s

    def add(self, duration_s: float) -> None:
        """Take in one finished call."""
        self._mean_s = _KEPT_SHARE * self._mean_s + (1 - _KEPT_SHARE) * duration_s

    @property
    def mean_s(self) -> float:
        """The average duration."""
        return self._mean_s


@dataclass(slots=True)
class PauseAverage:
    """A moving average of how long programs of one kind pause between two model calls."""

    mean_s: float = _UNSEEN_PAUSE_S

    def add(self, pause_s: float) -> None:
        """Take in one ended pause."""
        self.mean_s = _KEPT_SHARE * self.mean_s + (1 - _KEPT_SHARE) * pause_s
