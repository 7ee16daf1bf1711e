"""Requests that wait in line: for room at the replicas of a service, or for an account's rate.

The lower rank goes first, among equals the lower `tie_break`: the time by which a program should be
done. A request that cannot be served in its time is told so at once:
when those before it would take, at the rate at which places have become free, longer than it has.
"""

import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")

MAX_WAITING = 256  # in one line; far beyond what is served within a deadline
RATE_SPAN_S = 1.0  # span over which freed places are counted
MIN_PLACES_FOR_RATE = 3  # fewer freed places give no rate to refuse by


@dataclass(order=True, slots=True)
class _Waiter(Generic[T]):
    rank: int
    tie_break: float
    number: int
    item: T = field(compare=False)


class WaitQueue(Generic[T]):
    """The waiting requests of one service, or one account, at one instance."""

    def __init__(self) -> None:
        self._heap: list[_Waiter[T]] = []
        self._numbers = itertools.count()
        self._freed_s: deque[float] = deque(maxlen=64)

    def __len__(self) -> int:
        return len(self._heap)

    def record_freed(self, *, now_s: float) -> None:
        """Count a place that has become free."""
        self._freed_s.append(now_s)

    def expected_wait_s(self, rank: int, tie_break: float, *, now_s: float) -> float | None:
        """Return how long a newcomer would wait, None where the rate is not known."""
        recent = sum(at_s > now_s - RATE_SPAN_S for at_s in self._freed_s)
        if recent < MIN_PLACES_FOR_RATE:
            return None
        place = (rank, tie_break)
        before = sum((waiter.rank, waiter.tie_break) <= place for waiter in self._heap)
        return before * RATE_SPAN_S / recent

    def enqueue(
        self, item: T, *, rank: int, tie_break: float, wait_until_s: float, now_s: float
    ) -> bool:
        """Let a request wait.

        Return False where it would wait past `wait_until_s` or the line is full.
        """
        if len(self._heap) >= MAX_WAITING:
            return False
        expected_s = self.expected_wait_s(rank, tie_break, now_s=now_s)
        if expected_s is not None and now_s + expected_s > wait_until_s:
            return False
        heapq.heappush(self._heap, _Waiter(rank, tie_break, next(self._numbers), item))
        return True

    def items(self) -> tuple[T, ...]:
        """Return all that wait, in no particular order."""
        return tuple(waiter.item for waiter in self._heap)

    def change_rank(self, item: T, *, rank: int) -> None:
        """Give a waiting request another rank; it keeps its order among those of that rank."""
        for waiter in self._heap:
            if waiter.item is item:
                waiter.rank = rank
        heapq.heapify(self._heap)

    def head(self) -> T | None:
        """Return the first in line, None where nobody waits."""
        return self._heap[0].item if self._heap else None

    def head_rank(self) -> int | None:
        """Return the rank of the first in line, None where nobody waits."""
        return self._heap[0].rank if self._heap else None

    def count_of_rank(self, rank: int) -> int:
        """Return how many requests of a rank wait."""
        return sum(waiter.rank == rank for waiter in self._heap)

    def remove(self, item: T) -> None:
        """Take a request out of the line, wherever it stands."""
        self._heap = [waiter for waiter in self._heap if waiter.item is not item]
        heapq.heapify(self._heap)
