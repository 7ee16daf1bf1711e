"""Charges the whole answer of a plain service to the memory budget while it is read and sent.

answer = ChargedAnswer(gate)
try:
    read = await answer.read(make_call)  # None: there was no memory for it
finally:
    answer.close()
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from lagoonfold_io import (
    ANSWER_EVICTED,
    BeforeRead,
    FaultError,
    MemoryGate,
)

COPIES = 3  # of an answer: as it is read, whole, and with its head as it is sent

READ_BYTES = 65_536  # at most, of a socket at once

T = TypeVar("T")


class ChargedAnswer:
    """What the answer to one call holds; memory is charged before it is read further.

    Small answers cost one read of the socket, which the limit of requests in progress bounds.
    """

    def __init__(self, gate: MemoryGate) -> None:
        self._gate = gate
        self._claim = gate.open()
        self._scope = trio.CancelScope()
        self._read_bytes = 0

    def close(self) -> None:
        """Release what the answer holds."""
        self._gate.close(self._claim)

    async def read(self, make: Callable[[BeforeRead], Awaitable[T]]) -> T | None:
        """Make a call and return its result, None if its answer was given up for others."""
        result: T | None = None
        with self._scope:
            self._claim.evict = self._scope.cancel
            result = await make(self._hold)
        # Its copy on the way to the caller is charged by the server while it is unread.
        if self._claim.held_bytes:
            self._gate.shrink(self._claim, self._read_bytes)
        self._claim.evict = None
        if self._scope.cancelled_caught:
            self._gate.count(ANSWER_EVICTED)
        return result

    async def _hold(self, read_bytes: int) -> None:
        self._read_bytes = read_bytes
        if not read_bytes:
            return
        self._claim.evict = self._scope.cancel
        held_bytes = self._claim.held_bytes
        try:
            await self._gate.hold(self._claim, COPIES * (read_bytes + READ_BYTES))
        except FaultError:
            self._scope.cancel()
            await trio.lowlevel.checkpoint()
        self._claim.note_progress(self._claim.held_bytes - held_bytes, trio.current_time())
