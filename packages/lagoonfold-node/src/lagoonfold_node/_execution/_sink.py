"""Where an answer goes: to a caller's connection, or to the instance where the call arrived."""

from typing import Protocol

from lagoonfold import ErrorKind, Ran, Refusal
from lagoonfold_node._peers import CallRefused, InboundCall, StreamEnd, StreamHead

EVENT_STREAM_TYPE = "text/event-stream"
JSON_TYPE = "application/json"


class Sink(Protocol):
    """Takes one answer; a refusal is returned by the operation in its place."""

    async def start(self, status: int, content_type: str) -> None:
        """Take the status and the content type."""

    async def send(self, data: bytes) -> None:
        """Take a part; the wait is the back-pressure on the source."""

    def write(self, data: bytes) -> bool:
        """Take a part without a wait; False when `drain` must be awaited before the next one."""

    async def drain(self) -> None:
        """Wait until the parts that were written have left."""

    async def finish(self) -> None:
        """Take note that the answer is whole."""


class PeerSink:
    """Sends an answer to the instance where the call arrived."""

    def __init__(self, call: InboundCall) -> None:
        self._call = call

    async def start(self, status: int, content_type: str) -> None:
        """Send the head."""
        self._call.reply(StreamHead(status=status, content_type=content_type))

    async def send(self, data: bytes) -> None:
        """Send a part when the credit covers it."""
        await self._call.send_part(data)

    def write(self, data: bytes) -> bool:
        """Send a part if the credit covers it, else keep it for `drain`."""
        return self._call.write_part(data)

    async def drain(self) -> None:
        """Send what is kept when the credit covers it."""
        await self._call.drain()

    async def finish(self) -> None:
        """Send the end."""
        self._call.reply(StreamEnd(size=self._call.offset))

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal in place of the answer, or of its rest."""
        self._call.reply(CallRefused.from_refusal(refusal))


async def send_complete(sink: Sink, status: int, content_type: str, body: bytes) -> None:
    """Give a whole answer to a sink."""
    await sink.start(status, content_type)
    if body:
        await sink.send(body)
    await sink.finish()


def make_refusal(
    kind: ErrorKind, detail: str, *, ran: Ran = Ran.NO, retry_after_s: float = 0.0
) -> Refusal:
    """Return a refusal."""
    return Refusal(kind=kind, detail=detail, ran=ran, retry_after_s=retry_after_s)
