"""Policies for a program's cached prefix while the program pauses for a tool."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

_PRESSURE_START_SHARE = 0.85
_EXPORT_TOKENS_PER_S = 40_000.0

CACHE_POLICIES_BY_NAME: dict[str, type[CachePolicy]] = {}


class CacheAction(Enum):
    """What to do with a paused program's cached prefix."""

    KEEP = "keep"
    FREE = "free"
    EXPORT = "export"


@dataclass(frozen=True, slots=True, kw_only=True)
class PauseInput:
    """A paused program, its pause and the cache of its replica.

    `tokens` is the length of the cached prefix, `elapsed_s` how long the pause has lasted,
    `expected_s` the expected length of the whole pause, `used_share` how full the replica's cache
    is (0 to 1), `prefill_tokens_per_s` how fast the replica would compute the prefix again.
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
    """Decides whether a paused program's cached prefix is kept, freed or exported."""

    def decide(self, pause: PauseInput) -> CacheAction:
        """Return what to do now; called at the start of a pause and repeatedly during it."""
        raise NotImplementedError


@cache_policy("keep")
class Keep(CachePolicy):
    """Keeps the prefix until the engine evicts it."""

    def decide(self, pause: PauseInput) -> CacheAction:
        """Return KEEP."""
        return CacheAction.KEEP


@cache_policy("free")
class Free(CachePolicy):
    """Frees the prefix at the start of each pause."""

    def decide(self, pause: PauseInput) -> CacheAction:
        """Return FREE."""
        return CacheAction.FREE


@cache_policy("expected-return")
class ExpectedReturn(CachePolicy):
    """Keeps the prefix while the program should resume soon or the cache has free memory.

    Under memory pressure, the cost of holding a prefix is the expected rest of the pause weighted
    by the pressure. The prefix is freed or exported once this cost exceeds the time to compute it
    again, multiplied by `_MAX_HELD_S_PER_RECOMPUTE_S`.
    """

    def decide(self, pause: PauseInput) -> CacheAction:
        """Return KEEP, or under pressure the cheaper of FREE and EXPORT."""
        if pause.used_share < _PRESSURE_START_SHARE:
            return CacheAction.KEEP
        recompute_s = pause.tokens / pause.prefill_tokens_per_s
        # A pause is expected to last at least as long again as it has lasted so far.
        remaining_s = max(pause.expected_s - pause.elapsed_s, pause.elapsed_s)
        pressure = (pause.used_share - _PRESSURE_START_SHARE) / (1 - _PRESSURE_START_SHARE)
        if remaining_s * pressure <= recompute_s * _MAX_HELD_S_PER_RECOMPUTE_S:
            return CacheAction.KEEP
        export_s = 2 * pause.tokens / _EXPORT_TOKENS_PER_S
        is_export_cheaper = pause.can_export and export_s < recompute_s
        return CacheAction.EXPORT if is_export_cheaper else CacheAction.FREE


_MAX_HELD_S_PER_RECOMPUTE_S = 20.0

DEFAULT_CACHE_POLICY = "keep"
