"""The batch slots of the model engine's stand-in: lowest priority number first."""

import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio


class Slots:
    """A number of slots, handed out by priority and then by arrival."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.running = 0
        self._arrivals = itertools.count()
        self._waiting: list[tuple[int, int, trio.Event]] = []

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return len(self._waiting)

    @asynccontextmanager
    async def hold(self, priority: int) -> AsyncIterator[None]:
        """Wait for a slot and hold it."""
        await self._acquire(priority)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, priority: int) -> None:
        if self.running < self.count:
            self.running += 1
            return
        turn = (priority, next(self._arrivals), trio.Event())
        heapq.heappush(self._waiting, turn)
        try:
            await turn[2].wait()
        except trio.Cancelled:
            self._give_up(turn)
            raise

    def _give_up(self, turn: tuple[int, int, trio.Event]) -> None:
        if turn[2].is_set():
            self._release()
            return
        self._waiting.remove(turn)
        heapq.heapify(self._waiting)

    def _release(self) -> None:
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self.running -= 1
