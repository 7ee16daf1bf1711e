"""The batch slots of the model engine's stand-in."""

import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio


class Slots:
    """A fixed number of slots; the waiting request with the lowest priority number is next.

    Requests of the same priority get slots in the order of their arrival.
    """

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
        """Wait for a slot and hold it until the context ends."""
        await self._acquire(priority)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, priority: int) -> None:
        if self.running < self.count:
            self.running += 1
            return
        waiter = (priority, next(self._arrivals), trio.Event())
        heapq.heappush(self._waiting, waiter)
        try:
            await waiter[2].wait()
        except trio.Cancelled:
            self._cancel_wait(waiter)
            raise

    def _cancel_wait(self, waiter: tuple[int, int, trio.Event]) -> None:
        if waiter[2].is_set():
            self._release()
            return
        self._waiting.remove(waiter)
        heapq.heapify(self._waiting)

    def _release(self) -> None:
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self.running -= 1
