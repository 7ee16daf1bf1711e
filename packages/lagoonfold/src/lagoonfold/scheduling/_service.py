"""Estimates of service, in upstream seconds, and the priority passed to engines."""

import math
from dataclasses import dataclass

_PREFILL_TOKENS_PER_S = 8000.0
_DECODE_TOKENS_PER_S = 50.0
_PRIORITY_UNIT_S = 0.25
_MAX_PRIORITY = 20
_AVERAGE_DECAY = 0.8
_INITIAL_PAUSE_S = 5.0


def estimate_service_s(*, prompt_tokens: int, cached_tokens: int, completion_tokens: int) -> float:
    """Return the estimated service of one model call, in upstream seconds.

    Prefill of the tokens that are not cached and decoding are counted at an engine's usual rates.
    """
    prefill_s = max(0, prompt_tokens - cached_tokens) / _PREFILL_TOKENS_PER_S
    return prefill_s + completion_tokens / _DECODE_TOKENS_PER_S


def priority_of(attained_s: float) -> int:
    """Return the engine priority of a program's next call; lower values are served first.

    Priority classes double in width: each doubling of a program's attained service moves it one
    class down, and engines see few distinct values.
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
        """Add the duration of a finished call."""
        self._mean_s = _AVERAGE_DECAY * self._mean_s + (1 - _AVERAGE_DECAY) * duration_s

    @property
    def mean_s(self) -> float:
        """The average duration."""
        return self._mean_s


@dataclass(slots=True)
class PauseAverage:
    """A moving average of the pauses between model calls of programs of one kind, in seconds."""

    mean_s: float = _INITIAL_PAUSE_S

    def add(self, pause_s: float) -> None:
        """Add the duration of an ended pause."""
        self.mean_s = _AVERAGE_DECAY * self.mean_s + (1 - _AVERAGE_DECAY) * pause_s
