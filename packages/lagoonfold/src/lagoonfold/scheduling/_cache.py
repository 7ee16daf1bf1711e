"""What becomes of a program's cached prefix while it pauses for a tool."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

_PRESSURE_START = 0.85
_EXPORT_TOKENS_PER_S = 40_000.0

CACHE_POLICIES_BY_NAME: dict[str, type[CachePolicy]] = {}


class CacheAction(Enum):
    """What to do with a paused program's cache."""

    KEEP = "keep"
    FREE = "free"
    EXPORT = "export"


@dataclass(frozen=True, slots=True, kw_only=True)
class PauseInput:
    """A paused program: its cached tokens, the pause, and its replica's memory.

    `expected_s` is the expected length of the whole pause, `used_share` how full the replica's
    cache is, `prefill_tokens_per_s` how fast it would compute the prefix again.
    """

    tokens: int
    elapsed_s: float
    expected_s: float
    used_share: float
    prefill_tokens_per_s: float = 8000.0
    can_export: bool = False


def cache_policy(name: str) -> Callable[[type[CachePolicy]], type[CachePolicy]]:
    """Register a cache policy under a name."""

    def register(cls: type[CachePolicy]) -> type[CachePolicy]:
        CACHE_POLICIES_BY_NAME[name] = cls
        return cls

    return register


class CachePolicy:
    """Decides what becomes of the cache of a paused program."""

    def decide(self, pause: PauseInput) -> CacheAction:
        """Return what to do now; asked at the start of a pause and while it lasts."""
        raise NotImplementedError


@cache_policy("keep")
class Keep(CachePolicy):
    """Leaves it to the engine's own eviction."""

    def decide(self, pause: PauseInput) -> CacheAction:
        """Keep."""
        return CacheAction.KEEP


@cache_policy("free")
class Free(CachePolicy):
    """Frees at the start of each pause."""

    def decide(self, pause: PauseInput) -> CacheAction:
        """Free."""
        return CacheAction.FREE


@cache_policy("expected-return")
class ExpectedReturn(CachePolicy):
    """Keeps while the program is expected back soon or memory is free.

    Under pressure a prefix is worth its time to recompute for each second that it must still be
    held; one that is held for longer than its recompute time is worth makes room.
    """

    def decide(self, pause: PauseInput) -> CacheAction:
        """Keep, or make room under pressure by the cheaper of free and export."""
        if pause.used_share < _PRESSURE_START:
            return CacheAction.KEEP
        recompute_s = pause.tokens / pause.prefill_tokens_per_s
        remaining_s = max(pause.expected_s - pause.elapsed_s, pause.elapsed_s)
        pressure = (pause.used_share - _PRESSURE_START) / (1 - _PRESSURE_START)
        if remaining_s * pressure <= recompute_s * _HOLDING_WORTH:
            return CacheAction.KEEP
        export_s = 2 * pause.tokens / _EXPORT_TOKENS_PER_S
        is_export_cheaper = pause.can_export and export_s < recompute_s
        return CacheAction.EXPORT if is_export_cheaper else CacheAction.FREE


_HOLDING_WORTH = 20.0

DEFAULT_CACHE_POLICY = "keep"
