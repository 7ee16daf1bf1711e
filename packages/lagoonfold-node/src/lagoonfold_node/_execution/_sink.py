"""Sinks of an answer: a caller's connection, or the instance that received the request."""

from typing import Protocol

from lagoonfold import ErrorKind, Ran, Refusal
from lagoonfold_node._peers import CallRefused, InboundCall, StreamEnd, StreamHead

EVENT_STREAM_TYPE = "text/event-stream"
JSON_TYPE = "application/json"


class Sink(Protocol):
    """Receives one answer. An operation that is refused returns the refusal instead."""

    async def start(self, status: int, content_type: str) -> None:
        """Send the status and the content type."""

    async def send(self, data: bytes) -> None:
        """Send a part; waiting here applies back pressure to the source."""

    def write(self, data: bytes) -> bool:
        """Send a part without waiting; return False if `drain` must be awaited before the next."""

    async def drain(self) -> None:
        """Wait until the parts that were written have been sent."""

    async def finish(self) -> None:
        """Mark the answer as complete."""


class PeerSink:
    """Sends an answer to the instance that received the request."""

    def __init__(self, call: InboundCall) -> None:
        self._call = call

    async def start(self, status: int, content_type: str) -> None:
        """Send the status and the content type."""
        self._call.reply(StreamHead(status=status, content_type=content_type))

    async def send(self, data: bytes) -> None:
        """Send a part once the receiver's credit covers it."""
        await self._call.send_part(data)

    def write(self, data: bytes) -> bool:
        """Send a part if the credit covers it; otherwise keep it for `drain`, return False."""
        return self._call.write_part(data)

    async def drain(self) -> None:
        """Send what `write` kept once the credit covers it."""
        await self._call.drain()

    async def finish(self) -> None:
        """Send the end of the stream."""
        self._call.reply(StreamEnd(size=self._call.offset))

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal instead of the answer or of its remaining parts."""
        self._call.reply(CallRefused.from_refusal(refusal))


async def send_complete(sink: Sink, status: int, content_type: str, body: bytes) -> None:
    """Send a whole answer to a sink."""
    await sink.start(status, content_type)
    if body:
        await sink.send(body)
    await sink.finish()


def make_refusal(
    kind: ErrorKind, detail: str, *, ran: Ran = Ran.NO, retry_after_s: float = 0.0
) -> Refusal:
    """Return a refusal."""
    return Refusal(kind=kind, detail=detail, ran=ran, retry_after_s=retry_after_s)
