"""The two ends of a call between instances, and the credit that limits a stream.

The calling end grants credit: the offset up to which it accepts bytes. The called end waits when it
has reached that offset, so a slow reader slows down the source and buffers stay bounded.
"""

from collections import deque
from collections.abc import Callable

import trio

from lagoonfold_node._peers._messages import (
    CallRefused,
    PeerMessage,
    StreamCredit,
    StreamEnd,
    StreamPart,
)
from lagoonfold_node._peers._part_relay import PartRelay, PartTarget

STREAM_WINDOW_BYTES = 131_072
CREDIT_TIMEOUT_S = 60.0

Send = Callable[[PeerMessage], bool]


class InboundCall:
    """The called end: answers one message of a peer.

    A handler answers a request by one `reply`, or a stream by `send_part` between other replies.
    It is cancelled when the caller cancels the call or does not respond any more.
    """

    def __init__(self, sender: str, call_id: str, send: Send) -> None:
        self.sender = sender
        self.call_id = call_id
        self.scope = trio.CancelScope()
        self.is_cancelled = False
        self.offset = 0
        self._limit = STREAM_WINDOW_BYTES
        self._send = send
        self._credit = trio.Event()
        self._unsent = b""

    def reply(self, message: PeerMessage) -> bool:
        """Send an answer; return False if it was dropped, as the peer's queue is full."""
        return self._send(message)

    async def send_part(self, data: bytes) -> None:
        """Send a part of a stream once any credit is left; the part may exceed it.

        Raises `trio.TooSlowError` if the receiver grants no credit for `CREDIT_TIMEOUT_S`.
        """
        if not self.write_part(data):
            await self.drain()

    def write_part(self, data: bytes) -> bool:
        """Send a part of a stream if credit is left, else buffer it; return whether it was sent.

        If it was buffered, await `drain` before the next part.
        """
        self._unsent += data
        if self.offset >= self._limit:
            return False
        self._send_unsent()
        return True

    async def drain(self) -> None:
        """Send buffered data once there is credit; raise `TooSlowError` as `send_part` does."""
        if not self._unsent:
            return
        with trio.fail_after(CREDIT_TIMEOUT_S):
            while self.offset >= self._limit:
                await self._credit.wait()
        self._send_unsent()

    def _send_unsent(self) -> None:
        data, self._unsent = self._unsent, b""
        self._send(StreamPart(offset=self.offset, data=data))
        self.offset += len(data)

    def add_credit(self, limit: int) -> None:
        """Raise the credit to the offset `limit`; a lower one is ignored."""
        self._limit = max(self._limit, limit)
        self._credit.set()
        self._credit = trio.Event()

    def cancel(self) -> None:
        """Cancel the handler, since the caller no longer wants the answer."""
        self.is_cancelled = True
        self.scope.cancel()


class PeerLostError(Exception):
    """The peer did not respond, restarted or never got the call, or a stream lost a part."""


class OutboundStream:
    """The calling end: receives the answers of one call, in order."""

    def __init__(self, peer: str, call_id: str, send: Send) -> None:
        self.peer = peer
        self.call_id = call_id
        self.last_received_at_s = trio.current_time()
        self.peer_incarnation = ""
        self.is_complete = False
        self._send = send
        self._answers: deque[PeerMessage] = deque()
        self._ready = trio.Event()
        self._failure = ""
        self._received_bytes = 0
        self._consumed_bytes = 0
        self._credit_limit = STREAM_WINDOW_BYTES
        self._relay = PartRelay()

    def relay_parts_to(self, target: PartTarget) -> None:
        """Write parts that arrive while `receive` waits to a target, without waking the reader."""
        self._relay.relay_parts_to(target)

    @property
    def is_lost(self) -> bool:
        """Return whether the call has failed: the peer or a part of the answer was lost."""
        return bool(self._failure)

    async def receive(self) -> PeerMessage:
        """Return the next answer; raise `PeerLostError` if the call has failed."""
        while True:
            await self._relay.drain_target()
            if self._answers:
                break
            if self._failure:
                raise PeerLostError(self._failure)
            await self._relay.wait(self._ready)
        answer = self._answers.popleft()
        if isinstance(answer, StreamPart):
            self._consume(len(answer.data))
        elif isinstance(answer, StreamEnd | CallRefused):
            self.is_complete = True
        return answer

    def _consume(self, size: int) -> None:
        """Count consumed bytes; grant more credit when at most half of the window is left."""
        self._consumed_bytes += size
        if self._credit_limit - self._consumed_bytes <= STREAM_WINDOW_BYTES // 2:
            self._credit_limit = self._consumed_bytes + STREAM_WINDOW_BYTES
            self._send(StreamCredit(limit=self._credit_limit))

    def deliver(self, message: PeerMessage) -> None:
        """Queue a received answer; fail the call if a part of the stream before it is missing."""
        if isinstance(message, StreamPart):
            if message.offset != self._received_bytes:
                self.fail(f"a part is missing after {self._received_bytes} bytes")
                return
            self._received_bytes += len(message.data)
            if self._relay_part(message.data):
                return
        elif isinstance(message, StreamEnd) and message.size != self._received_bytes:
            self.fail(f"the last part is missing after {self._received_bytes} bytes")
            return
        self._answers.append(message)
        self._wake_receiver()

    def _relay_part(self, data: bytes) -> bool:
        """Write a part to the target if nothing waits before it; return whether it was written."""
        if not self._relay.can_relay() or self._answers or self._failure:
            return False
        self._consume(len(data))
        if not self._relay.relay(data):
            self._wake_receiver()
        return True

    def fail(self, reason: str) -> None:
        """Fail the call; answers already received can still be read."""
        self._failure = reason
        self._wake_receiver()

    def _wake_receiver(self) -> None:
        self._ready.set()
        self._ready = trio.Event()
