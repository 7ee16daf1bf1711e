"""The two ends of a call between instances, and the credit that bounds a stream.

The calling end grants credit: the offset up to which it takes bytes. The called end waits before
it sends beyond it, so a slow client holds back the source and no buffer grows without limit.
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
    It is cancelled when the caller withdraws the call or falls silent.
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
        """Send an answer; return False where the peer's queue is full and it was dropped."""
        return self._send(message)

    async def send_part(self, data: bytes) -> None:
        """Send a part of a stream once the receiver's credit covers the ones before it.

        Raises `trio.TooSlowError` if the receiver grants no credit for `CREDIT_TIMEOUT_S`.
        """
        if not self.write_part(data):
            await self.drain()

    def write_part(self, data: bytes) -> bool:
        """Send a part of a stream if the credit covers it, else keep it; False if it is kept.

        `drain` must then be awaited before the next part.
        """
        self._unsent += data
        if self.offset >= self._limit:
            return False
        self._send_unsent()
        return True

    async def drain(self) -> None:
        """Send what is kept once the credit covers it; raise as `send_part` does."""
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
        """Take note of the receiver's credit."""
        self._limit = max(self._limit, limit)
        self._credit.set()
        self._credit = trio.Event()

    def cancel(self) -> None:
        """Cancel the handler, since the caller no longer wants the answer."""
        self.is_cancelled = True
        self.scope.cancel()


class PeerLostError(Exception):
    """The called instance fell silent, restarted, or never got the call."""


class OutboundStream:
    """The calling end: takes the answers of one call, in order."""

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
        """Give parts that come while `receive` waits to a target, with no task in between."""
        self._relay.relay_parts_to(target)

    @property
    def is_lost(self) -> bool:
        """Tell whether the peer was given up."""
        return bool(self._failure)

    async def receive(self) -> PeerMessage:
        """Return the next answer; raise `PeerLostError` when none will come."""
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
        """Grant more credit when half of the window has been taken."""
        self._consumed_bytes += size
        if self._credit_limit - self._consumed_bytes <= STREAM_WINDOW_BYTES // 2:
            self._credit_limit = self._consumed_bytes + STREAM_WINDOW_BYTES
            self._send(StreamCredit(limit=self._credit_limit))

    def deliver(self, message: PeerMessage) -> None:
        """Take an answer off the wire; a stream that lost a part before it is given up."""
        if isinstance(message, StreamPart):
            if message.offset != self._received_bytes:
                self.fail(f"a part is missing after {self._received_bytes} bytes")
                return
            self._received_bytes += len(message.data)
            if self._relay_part(message.data):
                return
        elif isinstance(message, StreamEnd) and message.size != self._received_bytes:
            self.fail(f"the end is missing after {self._received_bytes} bytes")
            return
        self._answers.append(message)
        self._wake_receiver()

    def _relay_part(self, data: bytes) -> bool:
        """Give a part to the target if it is the next one; tell whether it was taken."""
        if not self._relay.can_relay() or self._answers or self._failure:
            return False
        self._consume(len(data))
        if not self._relay.relay(data):
            self._wake_receiver()
        return True

    def fail(self, reason: str) -> None:
        """End the stream after the answers that have come."""
        self._failure = reason
        self._wake_receiver()

    def _wake_receiver(self) -> None:
        self._ready.set()
        self._ready = trio.Event()
