"""Bounds what connections to the port for peers can take up.

Messages of other instances that are not small are charged to the memory budget of the process. A
connection that has sent no whole message is closed when too many of them wait; instances send their
first message as soon as they have connected. An instance whose connection is closed connects again.
"""

import math
from collections.abc import Callable

import trio

from lagoonfold_gateway._caller_limits import CallerLimits
from lagoonfold_gateway._messages import Envelope
from lagoonfold_gateway._peer_link import FrameReader
from lagoonfold_io import (
    SMALL_BYTES,
    FaultError,
    MemoryGate,
    WaitingConnections,
)

READ_SIZE_BYTES = 65_536
COPIES = 2  # of a message: its bytes, and what is decoded from them
FRAME_EVICTED = "message-evicted"
SILENT_EVICTED = "silent-peer-evicted"


class PeerGuard:
    """The bounds of one port for peers."""

    def __init__(self, limits: CallerLimits) -> None:
        self._gate = MemoryGate(limits.memory, limits.record)
        self._max_silent = limits.max_relay_connections
        self._silent = WaitingConnections()

    async def receive_first(self, stream: trio.SocketStream) -> bytes | None:
        """Return the first bytes of a connection; None if it had to make room for others."""
        if len(self._silent) >= self._max_silent and self._silent.close_longest():
            self._gate.count(SILENT_EVICTED)
        with self._silent.wait(stream, math.inf, is_idle=True):
            return await stream.receive_some(READ_SIZE_BYTES)
        return None

    async def read_first(self, stream: trio.SocketStream, reader: FrameReader) -> Envelope | None:
        """Return the first message of a connection; None if it ended or had to make room."""
        with self._silent.wait(stream, math.inf, is_idle=True):
            return await reader.read()
        return None

    def open(self) -> "ChargedConnection":
        """Return what charges a connection, to be closed with it."""
        return ChargedConnection(self._gate)


class ChargedConnection:
    """Charges what one connection takes up: its message that is being read, its unread answers.

    While memory is short, connections are closed that take up the most for the longest time;
    `drop_answers` is called for those whose answers do. Up to `SMALL_BYTES` are not charged.
    """

    def __init__(self, gate: MemoryGate) -> None:
        self._gate = gate
        self._claim = gate.open()
        self._answers = gate.open()
        self.drop_answers: Callable[[], None] = lambda: None

    def close(self) -> None:
        """Release what the connection holds."""
        self._gate.close(self._claim)
        self._gate.close(self._answers)

    async def receive(self, stream: trio.SocketStream, held_bytes: int) -> bytes:
        """Return further input of a message; raise `trio.ClosedResourceError` without memory."""
        if held_bytes <= SMALL_BYTES:
            self._gate.release(self._claim)
            return await stream.receive_some(READ_SIZE_BYTES)
        if not self._claim.held_bytes:
            self._claim.progressed_s = trio.current_time()
        with trio.CancelScope() as eviction:
            self._claim.evict = eviction.cancel
            try:
                await self._gate.hold(self._claim, COPIES * held_bytes + READ_SIZE_BYTES)
                data = await stream.receive_some(READ_SIZE_BYTES)
            except FaultError as error:
                self._gate.count(error.fault.value)
                raise trio.ClosedResourceError("no memory for a message") from error
            finally:
                self._claim.evict = None
            self._claim.note_progress(len(data), trio.current_time())
            return data
        self._gate.count(FRAME_EVICTED)
        raise trio.ClosedResourceError("a message without progress made room for others")

    def charge_answers(self, unsent_bytes: int) -> None:
        """Hold as much as is unsent, and evict connections if that is too much."""
        if unsent_bytes <= SMALL_BYTES:
            if self._answers.held_bytes:
                self._gate.release(self._answers)
            return
        if unsent_bytes > self._answers.held_bytes:
            self._gate.hold_queued(self._answers, unsent_bytes, self.drop_answers)
        elif not self._answers.is_evicted:
            self._gate.shrink(self._answers, unsent_bytes)
