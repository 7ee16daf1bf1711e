"""A replica in trouble that sends bytes without end, until the caller closes the connection."""

from collections.abc import Iterator
from dataclasses import dataclass

import trio

from lagoonfold_gateway import DEFAULT_DIALECT

NAMES = DEFAULT_DIALECT.headers
BLOCK_BYTES = 16_384
BLOCK_PAUSE_S = 0.001  # leaves the callers in the same process some time
_SIGNED = f"HTTP/1.1 200 OK\r\n{NAMES.signature}: s\r\n".encode()
_CHUNKED = _SIGNED + b"transfer-encoding: chunked\r\n\r\n"

# What is sent first, and what is then repeated without end, by the name of the trouble.
TROUBLES = {
    "one header line": (b"HTTP/1.1 200 OK\r\nx-long: ", b"a" * BLOCK_BYTES),
    "status line": (b"HTTP/1.1 200 ", b"a" * BLOCK_BYTES),
    "headers": (_SIGNED, b"x-more: a\r\n" * (BLOCK_BYTES // 11)),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * (BLOCK_BYTES // 25)),
    "no answer": (b"", b"\x00garbage" * (BLOCK_BYTES // 8)),
    "empty lines": (b"", b"\r\n" * (BLOCK_BYTES // 2)),
    "body without length": (_SIGNED + b"\r\n", b"b" * BLOCK_BYTES),
    "large chunks": (_CHUNKED, b"4000\r\n" + b"b" * BLOCK_BYTES + b"\r\n"),
    "chunks of one byte": (_CHUNKED, b"1\r\nb\r\n" * (BLOCK_BYTES // 6)),
    "chunk extension": (_CHUNKED + b"1;x=", b"e" * BLOCK_BYTES),
    "trailers": (_CHUNKED + b"1\r\nb\r\n0\r\n", b"x-more: a\r\n" * (BLOCK_BYTES // 11)),
    "more than its length": (_SIGNED + b"content-length: 4\r\n\r\nbody", b"b" * BLOCK_BYTES),
    "one event": (_CHUNKED, b"11\r\ndata: aaaaaaaaaa\n\r\n" * (BLOCK_BYTES // 23)),
    "empty events": (_CHUNKED, b"4000\r\n" + b"\n\n" * (BLOCK_BYTES // 2) + b"\r\n"),
    "comments": (_CHUNKED, b"3fff\r\n" + b":\n\n" * (BLOCK_BYTES // 3) + b"\r\n"),
    "known events": (_CHUNKED, b"3ffc\r\n" + b"id: 1\n\n" * 2340 + b"\r\n"),
    "events": (_CHUNKED, b"b\r\ndata: aaa\n\n\r\n" * (BLOCK_BYTES // 16)),
}


@dataclass(slots=True)
class EndlessReplica:
    """Answers each request with a trouble; `closed` counts the connections that callers closed."""

    replica_id: str
    trouble: str
    address: str = ""
    sent_bytes: int = 0
    open: int = 0
    closed: int = 0

    async def serve(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        await trio.serve_listeners(self._answer, listeners, task_status=task_status)

    async def _answer(self, stream: trio.SocketStream) -> None:
        self.open += 1
        try:
            await self._read_request(stream)
            for block in self._blocks():
                await stream.send_all(block)
                self.sent_bytes += len(block)
                await trio.sleep(BLOCK_PAUSE_S)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.closed += 1
        finally:
            self.open -= 1

    async def _read_request(self, stream: trio.SocketStream) -> None:
        head = b""
        while b"\r\n\r\n" not in head:
            data = await stream.receive_some(4_096)
            if not data:
                raise trio.ClosedResourceError
            head += data

    def _blocks(self) -> Iterator[bytes]:
        first, repeated = TROUBLES[self.trouble]
        yield first + repeated
        while True:
            yield repeated
