"""A replica whose answers have neither a length nor chunks and end with their connection.

It ends a connection as a server does that has sent everything, or resets it.
"""

import socket
import struct
from dataclasses import dataclass, field

import trio

from lagoonfold_gateway import DEFAULT_DIALECT

NAMES = DEFAULT_DIALECT.headers
PAUSE_S = 0.05  # between the body and the end of the connection
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # linger for no time


@dataclass(slots=True)
class UnframedReplica:
    """Answers each request with `body`; the next `resets` connections are reset after it."""

    replica_id: str
    body: bytes
    resets: int = 0
    address: str = ""
    requests: list[bytes] = field(default_factory=list)

    async def serve(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        await trio.serve_listeners(self._answer, listeners, task_status=task_status)

    async def _answer(self, stream: trio.SocketStream) -> None:
        request = b""
        while b"\r\n\r\n" not in request:
            request += await stream.receive_some(65_536)
        self.requests.append(request)
        lines = [line for line in request.split(b"\r\n") if line.lower().startswith(_ID_HEADER)]
        head = [b"HTTP/1.1 200 OK", f"{NAMES.signature}: {self.replica_id}".encode(), *lines]
        await stream.send_all(b"\r\n".join([*head, b"", self.body]))
        await trio.sleep(PAUSE_S)
        if self.resets:
            self.resets -= 1
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        stream.socket.close()


_ID_HEADER = NAMES.request_id.encode()
