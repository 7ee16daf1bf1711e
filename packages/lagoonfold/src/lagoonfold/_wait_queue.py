"""Queues requests that wait for a slot at a service's replicas or for an account's rate tokens.

The lowest rank is served first, among equal ranks the lowest `tie_break`, which is the soft
deadline of the request's program. A request is refused at once if the requests before it would
keep it waiting past its time limit at the rate at which slots or tokens have recently become free.
"""

import heapq
import itertools
import math
from collections import deque
from dataclasses import dataclass, field, replace
from typing import Generic, TypeVar

T = TypeVar("T")

MAX_WAITING = 4_096  # per queue; a service of 1,000 slots a second serves fewer in a deadline
FREED_WINDOW_S = 1.0  # for the rate at which slots or tokens become free
MAX_FREED_REMEMBERED = 256  # at a higher rate, the latest ones are counted
MIN_SPAN_FOR_RATE_S = 0.05  # slots often become free together
FIRST_OF_SNAPSHOT = 2**62  # numbers in a snapshot come after those of all that waits
MIN_FREED_FOR_RATE = 3  # with fewer, the rate is unknown and no request is refused by it


@dataclass(order=True, slots=True)
class _Waiter(Generic[T]):
    rank: int
    tie_break: float
    sequence: int
    item: T = field(compare=False)


class FreedRate:
    """The rate at which slots or tokens have recently become free."""

    def __init__(self) -> None:
        self._freed_at_s: deque[float] = deque(maxlen=MAX_FREED_REMEMBERED)

    def record(self, *, now_s: float) -> None:
        """Count a slot or token that has become free."""
        self._freed_at_s.append(now_s)

    def snapshot(self) -> "FreedRate":
        """Return a copy."""
        copied = FreedRate()
        copied._freed_at_s = self._freed_at_s.copy()
        return copied

    def per_s(self, *, waiting_since_s: float, now_s: float) -> float | None:
        """Return the rate at which slots or tokens have recently become free, None if unknown.

        Only the time since requests wait counts: before, no more become free than are asked for.
        """
        since_s = max(waiting_since_s, now_s - FREED_WINDOW_S)
        recent = [at_s for at_s in self._freed_at_s if at_s > since_s]
        if len(recent) == MAX_FREED_REMEMBERED:
            since_s = recent[0]
        span_s = now_s - since_s
        if len(recent) < MIN_FREED_FOR_RATE or span_s < MIN_SPAN_FOR_RATE_S:
            return None
        return len(recent) / span_s


class WaitQueue(Generic[T]):
    """The wait queue of one pool of replicas or one account, for the requests of all instances."""

    def __init__(self) -> None:
        self._heap: list[_Waiter[T]] = []
        self._sequence = itertools.count()
        self._freed = FreedRate()
        self._waiting_since_s = -math.inf

    def __len__(self) -> int:
        return len(self._heap)

    def snapshot(self) -> "WaitQueue[T]":
        """Return a copy to which requests can be added without any effect here."""
        copied: WaitQueue[T] = WaitQueue()
        copied._heap = [replace(waiter) for waiter in self._heap]
        copied._sequence = itertools.count(FIRST_OF_SNAPSHOT)
        copied._freed = self._freed.snapshot()
        copied._waiting_since_s = self._waiting_since_s
        return copied

    def record_freed(self, *, now_s: float) -> None:
        """Count a slot or token that has become free."""
        self._freed.record(now_s=now_s)

    def expected_wait_s(self, rank: int, tie_break: float, *, now_s: float) -> float | None:
        """Return how long a new request would wait, in seconds, None if the rate is unknown."""
        freed_per_s = self._freed.per_s(waiting_since_s=self._waiting_since_s, now_s=now_s)
        if freed_per_s is None:
            return None
        return self.count_before(rank, tie_break) / freed_per_s

    def count_before(self, rank: int, tie_break: float) -> int:
        """Return how many waiting requests would be served before a new one."""
        key = (rank, tie_break)
        return sum((waiter.rank, waiter.tie_break) <= key for waiter in self._heap)

    def enqueue(
        self, item: T, *, rank: int, tie_break: float, wait_until_s: float, now_s: float
    ) -> bool:
        """Add a request and return whether it was added.

        It is not added if it would wait past `wait_until_s` or the queue is full.
        """
        if len(self._heap) >= MAX_WAITING:
            return False
        expected_s = self.expected_wait_s(rank, tie_break, now_s=now_s)
        if expected_s is not None and now_s + expected_s > wait_until_s:
            return False
        if not self._heap:
            self._waiting_since_s = now_s
        heapq.heappush(self._heap, _Waiter(rank, tie_break, next(self._sequence), item))
        return True

    def is_behind(self, rank: int, tie_break: float) -> bool:
        """Return whether a new request would be served after one that waits already."""
        return bool(self._heap) and (self._heap[0].rank, self._heap[0].tie_break) <= (
            rank,
            tie_break,
        )

    def in_order(self) -> tuple[T, ...]:
        """Return all waiting requests in the order in which they are served."""
        return tuple(waiter.item for waiter in sorted(self._heap))

    def items(self) -> tuple[T, ...]:
        """Return all waiting requests, in no particular order."""
        return tuple(waiter.item for waiter in self._heap)

    def change_rank(self, item: T, *, rank: int) -> None:
        """Change the rank of a waiting request; its tie break and order of arrival stay."""
        for waiter in self._heap:
            if waiter.item is item:
                waiter.rank = rank
        heapq.heapify(self._heap)

    def head(self) -> T | None:
        """Return the request to serve next, None if the queue is empty."""
        return self._heap[0].item if self._heap else None

    def head_rank(self) -> int | None:
        """Return the rank of the request to serve next, None if the queue is empty."""
        return self._heap[0].rank if self._heap else None

    def count_of_rank(self, rank: int) -> int:
        """Return the number of waiting requests of a rank."""
        return sum(waiter.rank == rank for waiter in self._heap)

    def remove(self, item: T) -> None:
        """Remove a request from any position in the queue."""
        self._heap = [waiter for waiter in self._heap if waiter.item is not item]
        heapq.heapify(self._heap)
