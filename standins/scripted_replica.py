"""Replicas that answer with scripted bytes, as replicas in trouble do.

The replicas that share a script take its answers in turn, whichever of them is called; when none is
left they stream the events that a request asks for.

    script = Script(Answer(body=events(1, 2), is_whole=False), Answer(status=204))
"""

from collections import deque
from dataclasses import dataclass, field

import trio

from lagoonfold_gateway import DEFAULT_DIALECT

NAMES = DEFAULT_DIALECT.headers
EVENTS = 6
EVENT_STREAM = "text/event-stream"
READ_SIZE_BYTES = 65_536


def events(first: int = 1, last: int = EVENTS) -> bytes:
    """Return the events of a stream from one number to another."""
    numbers = range(first, last + 1)
    return b"".join(b"id: %d\ndata: part %d\n\n" % (number, number) for number in numbers)


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The parts of an answer; one that is not whole ends with its connection before its end.

    One that is not chunked has neither a length nor chunks. `head_bytes` are sent in place of the
    head and the body.
    """

    body: bytes = b""
    status: int = 200
    media_type: str | None = EVENT_STREAM
    is_chunked: bool = True
    is_whole: bool = True
    headers: tuple[tuple[str, str], ...] = ()
    head_bytes: bytes | None = None

    def encode(self, replica_id: str, request_id: str) -> bytes:
        """Return the bytes of the answer."""
        if self.head_bytes is not None:
            return self.head_bytes
        fields = [(NAMES.signature, replica_id), (NAMES.request_id, request_id), *self.headers]
        if self.media_type is not None:
            fields.append(("content-type", self.media_type))
        is_chunked = self.is_chunked and self.status != 204
        fields.append(("transfer-encoding", "chunked") if is_chunked else ("connection", "close"))
        lines = [
            f"HTTP/1.1 {self.status:03d} Status",
            *(f"{name}: {value}" for name, value in fields),
        ]
        head = "\r\n".join([*lines, "", ""]).encode()
        if not is_chunked:
            return head + self.body
        chunk = b"%x\r\n%s\r\n" % (len(self.body), self.body) if self.body else b""
        return head + chunk + (b"0\r\n\r\n" if self.is_whole else b"")


class Script:
    """The answers that are still to be given."""

    def __init__(self, *answers: Answer) -> None:
        self.answers = deque(answers)

    def next_answer(self, last_event: int) -> Answer:
        """Return the next answer, a sound one if none is left."""
        return self.answers.popleft() if self.answers else Answer(body=events(last_event + 1))


@dataclass(slots=True)
class ScriptedReplica:
    """Answers each request by the script and closes its connection.

    One that `sends_copies` keeps it, and sends each whole answer a second time, just before the
    next answer on the same connection.
    """

    replica_id: str
    script: Script = field(default_factory=Script)
    sends_copies: bool = False
    address: str = ""

    async def serve(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        await trio.serve_listeners(self._answer, listeners, task_status=task_status)

    async def _answer(self, stream: trio.SocketStream) -> None:
        copy = b""
        async with stream:
            while (value_by_name := await _read_headers(stream)) is not None:
                answer = self.script.next_answer(int(value_by_name.get(NAMES.last_event, 0)))
                request_id = value_by_name.get(NAMES.request_id, "")
                encoded = answer.encode(self.replica_id, request_id)
                await stream.send_all(copy + encoded)
                copy = encoded
                if not (self.sends_copies and answer.is_whole and answer.is_chunked):
                    return


async def _read_headers(stream: trio.SocketStream) -> dict[str, str] | None:
    """Read the headers of a request without a body; return None at the end of the connection."""
    request = b""
    while b"\r\n\r\n" not in request:
        data = await stream.receive_some(READ_SIZE_BYTES)
        if not data:
            return None
        request += data
    return _headers(request)


def _headers(request: bytes) -> dict[str, str]:
    lines = request.partition(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}
