"""Decides who may hold memory for callers, and whom to evict when memory is short.

A claim is what one request or one unread answer holds. Claims of up to `SMALL_BYTES` may use the
whole budget, larger ones leave `SMALL_SHARE` of it to them, so that small requests pass while large
ones wait. The budget reads no clock and frees nothing itself.

    budget = MemoryBudget(max_bytes=32_000_000)
    claim = budget.open(now_s=0.0)
    assert budget.try_hold(claim, 4_194_304)
    budget.close(claim)
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

SMALL_BYTES = 65_536
SMALL_SHARE = 0.125
PROGRESS_BYTES = 16_384  # fewer do not count, or a caller could seem busy with a byte at a time


@dataclass(slots=True, eq=False)
class MemoryClaim:
    """What one request or unread answer holds.

    `evict` frees it; it is None while that is not possible, as a handler may have run. After
    `progressed_s` too few bytes have arrived or left to count as progress.
    """

    progressed_s: float
    held_bytes: int = 0
    evict: Callable[[], None] | None = None
    is_evicted: bool = False
    _progress_bytes: int = 0

    def note_progress(self, size: int, now_s: float) -> None:
        """Count bytes that have arrived; `PROGRESS_BYTES` of them are progress."""
        self._progress_bytes += size
        if self._progress_bytes >= PROGRESS_BYTES:
            self._progress_bytes = 0
            self.progressed_s = now_s

    def is_small(self) -> bool:
        """Return whether the claim may use the whole budget."""
        return self.held_bytes <= SMALL_BYTES


class MemoryBudget:
    """The memory that a process may hold for callers; without a limit it only counts."""

    def __init__(self, max_bytes: float = math.inf) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.evicting_bytes = 0
        self.on_release: list[Callable[[], None]] = []  # those who wait for memory
        self._claims: set[MemoryClaim] = set()

    def open(self, now_s: float) -> MemoryClaim:
        """Return a new claim that holds nothing."""
        claim = MemoryClaim(progressed_s=now_s)
        self._claims.add(claim)
        return claim

    def close(self, claim: MemoryClaim) -> None:
        """Release all that a claim holds and forget it."""
        self.release(claim)
        self._claims.discard(claim)

    def release(self, claim: MemoryClaim) -> None:
        """Release all that a claim holds; it can be used again."""
        released = claim.held_bytes
        self.used_bytes -= released
        if claim.is_evicted:
            self.evicting_bytes -= released
        claim.held_bytes = 0
        claim.evict = None
        claim.is_evicted = False
        if released:
            for notify in self.on_release:
                notify()

    def can_ever_hold(self, size: int) -> bool:
        """Return whether a claim of this size fits if no other one holds anything."""
        return size <= self._limit_bytes(size)

    def try_hold(self, claim: MemoryClaim, size: int) -> bool:
        """Raise a claim to a size if there is memory for it; return whether it has that size."""
        more = size - claim.held_bytes
        if more <= 0:
            return True
        if self.used_bytes + more > self._limit_bytes(size):
            return False
        self.hold(claim, size)
        return True

    def hold(self, claim: MemoryClaim, size: int) -> None:
        """Raise a claim to the size of what it already holds, also beyond the limit."""
        more = max(0, size - claim.held_bytes)
        claim.held_bytes += more
        self.used_bytes += more
        if claim.is_evicted:
            self.evicting_bytes += more

    def pick_victims(self, claim: MemoryClaim, size: int, now_s: float) -> list[MemoryClaim]:
        """Mark and return the claims to evict so that a claim can be raised to a size.

        Those that have held the most for the longest time without progress come first. Small ones
        are only evicted for a small one. The claim itself may be among them.
        """
        missing = self.used_bytes + size - claim.held_bytes - self._limit_bytes(size)
        missing -= self.evicting_bytes
        victims: list[MemoryClaim] = []
        for each in self._by_cost(now_s, with_small=size <= SMALL_BYTES) if missing > 0 else ():
            if missing <= 0:
                break
            each.is_evicted = True
            self.evicting_bytes += each.held_bytes
            missing -= each.held_bytes
            victims.append(each)
        return victims

    def _by_cost(self, now_s: float, *, with_small: bool) -> list[MemoryClaim]:
        candidates = [
            claim
            for claim in self._claims
            if claim.evict is not None
            and not claim.is_evicted
            and claim.held_bytes > 0
            and (with_small or not claim.is_small())
        ]
        candidates.sort(
            key=lambda claim: (
                not claim.is_small(),
                claim.held_bytes * max(0.0, now_s - claim.progressed_s),
            ),
            reverse=True,
        )
        return candidates

    def _limit_bytes(self, size: int) -> float:
        return self.max_bytes if size <= SMALL_BYTES else self.max_bytes * (1 - SMALL_SHARE)
