"""Sends the response to a request.

A streamed response to an HTTP/1.0 client has no chunks and ends with its connection, so one that is
not finished must end with a reset.
"""

import os
import socket
import struct
from collections.abc import Callable

import h11
import trio

from lagoonfold_io._http_messages import Headers, HttpLimits, HttpResponse, encode_headers
from lagoonfold_io._memory_gate import MemoryGate

CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)
_STREAM_HEADERS = ("transfer-encoding", "chunked")
_CLOSE_HEADERS = (("connection", "close"),)
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger: on, 0 s
_SEND_ON_CLOSE = struct.pack("ii", 0, 0)


class ClientGoneError(Exception):
    """The client closed its connection or stopped reading before the response was complete."""


class Exchange:
    """Sends one response, whole or as a stream; the write timeout limits each write."""

    def __init__(
        self,
        stream: trio.SocketStream,
        protocol: h11.Connection,
        limits: HttpLimits,
        is_last: Callable[[], bool] = lambda: False,
        *,
        is_head: bool = False,
        memory: MemoryGate | None = None,
    ) -> None:
        self._memory = memory
        self._stream = stream
        self._protocol = protocol
        self._limits = limits
        self._is_last = is_last
        self._is_head = is_head
        self._unsent = b""
        self.started = False
        self.finished = False

    async def respond(self, response: HttpResponse) -> None:
        """Send a whole response; raise `ClientGoneError` if the client does not receive it.

        The response to a HEAD request is sent without its body.
        """
        length = ("content-length", str(len(response.body)))
        headers = [*response.headers, length, *self._closing_headers()]
        head = h11.Response(status_code=response.status, headers=encode_headers(tuple(headers)))
        parts = [self._protocol.send(head)]
        if response.body and not self._is_head:
            parts.append(self._protocol.send(h11.Data(data=response.body)))
        parts.append(self._protocol.send(h11.EndOfMessage()))
        self.started = True
        await self._write(b"".join(parts))
        self.finished = True

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed response."""
        all_headers = [*headers, _STREAM_HEADERS, *self._closing_headers()]
        head = h11.Response(status_code=status, headers=encode_headers(tuple(all_headers)))
        self.started = True
        if self._ends_with_connection:
            self._set_linger(_RESET_ON_CLOSE)
        await self._write(self._protocol.send(head))

    def _closing_headers(self) -> Headers:
        return _CLOSE_HEADERS if self._is_last() else ()

    async def send(self, data: bytes) -> None:
        """Send a part of a streamed response; waiting here applies back-pressure to the source."""
        if not self.write(data):
            await self.drain()

    def write(self, data: bytes) -> bool:
        """Write as much of a part of a streamed response as the socket accepts at once.

        The rest is buffered. Returns False if `drain` must be awaited before the next part; that
        `drain` raises `ClientGoneError` if the client is gone.
        """
        self._unsent += self._protocol.send(h11.Data(data=data))
        try:
            self._write_unsent()
        except CONNECTION_ERRORS:
            return False
        return not self._unsent

    async def drain(self) -> None:
        """Wait until the buffered bytes are written; raise `ClientGoneError` if they cannot be."""
        try:
            self._write_unsent()
            if not self._unsent:
                return
            await self._write_rest_in_time()
        except (trio.TooSlowError, *CONNECTION_ERRORS) as error:
            raise ClientGoneError from error

    async def _write_rest_in_time(self) -> None:
        """Write the buffer; raise `trio.TooSlowError` if it takes too long or has to be freed."""
        with trio.fail_after(self._limits.write_timeout_s) as scope:
            if self._memory is None:
                await self._write_rest()
                return
            with self._memory.hold_answer(len(self._unsent), scope.cancel):
                await self._write_rest()

    async def _write_rest(self) -> None:
        """Write the buffer without copying it each time; a cancelled write keeps the rest."""
        unsent = memoryview(self._unsent)
        try:
            while unsent:
                await trio.lowlevel.wait_writable(self._stream.socket)
                unsent = unsent[self._write_now(unsent) :]
        finally:
            self._unsent = bytes(unsent)

    async def finish(self) -> None:
        """End a streamed response."""
        await self._write(self._protocol.send(h11.EndOfMessage()))
        if self._ends_with_connection:
            self._set_linger(_SEND_ON_CLOSE)
        self.finished = True

    @property
    def _ends_with_connection(self) -> bool:
        """Return whether the client knows the end of a streamed response only by that."""
        return self._protocol.their_http_version == b"1.0"

    def _set_linger(self, linger: bytes) -> None:
        try:
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except CONNECTION_ERRORS as error:
            raise ClientGoneError from error

    def _write_unsent(self) -> None:
        """Write as much of the buffer as the socket accepts without waiting."""
        self._unsent = self._unsent[self._write_now(self._unsent) :]

    def _write_now(self, data: bytes | memoryview) -> int:
        """Write what the socket accepts without waiting; return the number of bytes written."""
        fileno = self._stream.socket.fileno()
        if fileno < 0:
            raise trio.ClosedResourceError
        if not data:
            return 0
        try:
            return os.write(fileno, data)
        except BlockingIOError:
            return 0

    def abort(self) -> None:
        """Abandon a streamed response: its connection is closed before the response ends."""
        self._protocol.send_failed()

    async def _write(self, data: bytes) -> None:
        self._unsent += data
        await self.drain()
