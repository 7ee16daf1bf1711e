"""Bounds how many bytes tasks hold at the same time; those that wait are served in their order."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio


class ByteLimiter:
    """Lets tasks hold up to `max_bytes` together; a larger amount is held alone.

    limiter = ByteLimiter(8_388_608)
    async with limiter.hold(4_194_304):
        ...
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._next_in_line = trio.Lock()  # first come, first served
        self._released = trio.Event()

    @asynccontextmanager
    async def hold(self, size: int) -> AsyncIterator[None]:
        """Hold a number of bytes, once there is room for them."""
        async with self._next_in_line:
            while self._held_bytes and self._held_bytes + size > self._max_bytes:
                await self._released.wait()
            self._held_bytes += size
        try:
            yield
        finally:
            self._held_bytes -= size
            self._released.set()
            self._released = trio.Event()
