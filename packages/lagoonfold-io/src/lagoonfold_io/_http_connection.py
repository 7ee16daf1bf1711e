"""A client's connection and the reading of a response from it."""

import math
import os
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from dataclasses import dataclass, field

import h11
import trio

from lagoonfold_io._http_messages import (
    READ_SIZE_BYTES,
    Headers,
    HttpError,
    HttpRequest,
    SendStatus,
    encode_headers,
    find_header,
)
from lagoonfold_io._socket_input import is_readable

SMALL_INPUT_BYTES = 4_096  # `trailing_data` copies the unparsed input
CHUNK_TERMINATOR_BYTES = 2  # the CRLF after the data of a chunk
JOINED_BYTES = 65_536  # of the parts of a body that are copied to be sent at once
MAX_PARTS_PER_READ = 32  # small parts take some ms of processor time; then others get theirs

BeforeRead = Callable[[int], Awaitable[None]]  # gets the number of bytes read so far

CLIENT_CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.ProtocolError,
    OSError,
)


async def read_at_once(read_bytes: int) -> None:
    """Delay no read."""


@dataclass(slots=True, eq=False)
class ClientConnection:
    """An open connection with its protocol state.

    `input_bytes` is the size of the latest input. `needs_input` says that the input so far holds no
    further event, so that parsing can be skipped. `idle_limit_s` is for how many seconds the server
    keeps the connection open when it is idle. `received_at` is when the latest input came, or when
    the request was sent; `is_repeatable` says that the request in flight may be sent again.
    """

    stream: trio.SocketStream
    protocol: h11.Connection
    opened_at: float
    tcp_timeout_s: float
    idle_since: float = 0.0
    input_bytes: int = 0
    needs_input: bool = False
    idle_limit_s: float = math.inf
    is_reused: bool = False
    received_at: float = 0.0
    is_repeatable: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """The status and the headers of a response whose body is still to be read."""

    status: int
    headers: Headers


class StreamError(Exception):
    """The connection broke or made no progress while a response was being read."""

    def __init__(self, error: HttpError) -> None:
        super().__init__(error.detail)
        self.error = error


@dataclass(slots=True, kw_only=True)
class ResponseStream:
    """A response whose body is being read; `chunks` and `read` raise `StreamError` on failure.

    A reader that sets `is_last_on_connection` has the connection closed after the response.
    """

    head: ResponseHead
    _connection: ClientConnection
    _progress_timeout_s: float
    _complete: bool = field(default=False)
    _broke: bool = field(default=False)
    _was_full: bool = field(default=False)
    is_last_on_connection: bool = field(default=False, init=False)

    @property
    def is_on_reused_connection(self) -> bool:
        """Return whether the connection had served another request before."""
        return self._connection.is_reused

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; each wait is limited by the progress timeout."""
        while data := await self.read():
            yield data

    async def read(self, *, use_timeout: bool = True) -> bytes:
        """Wait for body bytes and return all that have arrived; return nothing at the end.

        A cancelled read loses no data: the next one continues where it stopped. Raises
        `StreamError` if the connection breaks or, with `use_timeout`, makes no progress.
        """
        timeout_s = self._progress_timeout_s if use_timeout else math.inf
        parts: list[bytes] = []
        await self._yield_after_full_read()
        while not self._complete and len(parts) < MAX_PARTS_PER_READ:
            event = _ready_event(self._connection) if parts else None
            if event is None:
                if parts:
                    break
                event = await self._next_event(timeout_s)
            if type(event) is h11.Data:
                parts.append(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._complete = True
        self._was_full = len(parts) == MAX_PARTS_PER_READ
        return bytes(parts[0]) if len(parts) == 1 else b"".join(parts)

    async def read_all(self, max_bytes: int, before_read: BeforeRead = read_at_once) -> bytes:
        """Return the whole body; raise `StreamError` also if it has more than `max_bytes`.

        `before_read` is awaited before each read with the number of bytes read so far.
        """
        body = bytearray()
        await before_read(0)
        while data := await self.read():
            body += data
            await before_read(len(body))
            if len(body) > max_bytes:
                self._broke = True
                detail = f"body of more than {max_bytes} bytes"
                raise StreamError(HttpError(detail=detail, sent=SendStatus.MAYBE_SENT))
        return bytes(body)

    async def _yield_after_full_read(self) -> None:
        """Let other tasks run if the read before ended with input left, which needs no wait."""
        if self._was_full:
            self._was_full = False
            await trio.lowlevel.checkpoint()

    async def _next_event(self, timeout_s: float) -> h11.Event:
        try:
            return await next_event(self._connection, timeout_s)
        except StreamError:
            self._broke = True
            raise

    def is_complete(self) -> bool:
        """Return whether the whole body has been read."""
        return self._complete

    def is_reusable(self) -> bool:
        """Return whether the connection may serve another request."""
        return self._complete and not self.is_last_on_connection

    def is_broken(self) -> bool:
        """Return whether the connection failed while the body was being read."""
        return self._broke


async def _receive(connection: ClientConnection, timeout_s: float) -> None:
    """Pass the next input to the protocol; an infinite timeout needs no cancel scope."""
    fileno = connection.stream.socket.fileno()
    if fileno < 0:
        raise trio.ClosedResourceError
    if timeout_s == math.inf:
        await trio.lowlevel.wait_readable(fileno)
    else:
        with trio.fail_after(timeout_s):
            await trio.lowlevel.wait_readable(fileno)
    data = os.read(fileno, READ_SIZE_BYTES)
    connection.protocol.receive_data(data)
    connection.input_bytes = len(data)
    connection.needs_input = False
    connection.received_at = trio.current_time()


def _parse_event(connection: ClientConnection) -> h11.Event | None:
    """Return the next event in the input so far, or None if more input is needed.

    At the end of a chunk in a small input, `needs_input` is set early and saves the next parse.
    """
    if connection.needs_input:
        return None
    protocol = connection.protocol
    event = protocol.next_event()
    if event is h11.NEED_DATA:
        connection.needs_input = True
        return None
    if type(event) is h11.Data and event.chunk_end and connection.input_bytes <= SMALL_INPUT_BYTES:
        connection.needs_input = len(protocol.trailing_data[0]) <= CHUNK_TERMINATOR_BYTES
    return event


def _ready_event(connection: ClientConnection) -> h11.Event | None:
    """Return the next event of a body if it needs no further input, else None."""
    if connection.needs_input or connection.protocol.their_state is not h11.SEND_BODY:
        return None
    try:
        event = _parse_event(connection)
    except h11.ProtocolError:
        # The protocol keeps its error state, so the next read raises the same error.
        return None
    return None if event is h11.PAUSED else event


async def next_event(connection: ClientConnection, timeout_s: float) -> h11.Event:
    """Return the next protocol event, reading as needed; raise `StreamError` when it fails."""
    try:
        while (event := _parse_event(connection)) is None:
            await _receive(connection, timeout_s)
    except trio.TooSlowError as error:
        detail = f"no progress for {timeout_s:g} s"
        raise StreamError(
            HttpError(detail=detail, sent=SendStatus.MAYBE_SENT, is_timeout=True)
        ) from error
    except CLIENT_CONNECTION_ERRORS as error:
        raise StreamError(
            HttpError(detail=f"connection broke: {error}", sent=SendStatus.MAYBE_SENT)
        ) from error
    if event is h11.PAUSED:
        # What follows is no HTTP, and h11 parses no more of it.
        detail = "the server has switched protocols"
        raise StreamError(HttpError(detail=detail, sent=SendStatus.MAYBE_SENT))
    if type(event) is h11.ConnectionClosed:
        raise StreamError(HttpError(detail="connection closed", sent=SendStatus.MAYBE_SENT))
    return event


def close_now(connection: ClientConnection) -> None:
    """Close a connection without waiting."""
    connection.stream.socket.close()


def has_trailing_data(connection: ClientConnection) -> bool:
    """Return whether bytes have arrived after the end of the response."""
    return bool(connection.protocol.trailing_data[0])


def has_input(connection: ClientConnection) -> bool:
    """Return whether an idle connection is closed or has unexpected input."""
    return connection.stream.socket.fileno() < 0 or is_readable(connection.stream)


def expect_next_response(connection: ClientConnection, address: str, request: HttpRequest) -> None:
    """After a whole response that belongs to no request, expect the one to a request in flight.

    Raises `h11.LocalProtocolError` if the server closes the connection after that response.
    """
    connection.protocol.start_next_cycle()
    for _ in encode_request(connection.protocol, address, request):
        pass
    connection.needs_input = False


def encode_request(protocol: h11.Connection, address: str, request: HttpRequest) -> Iterator[bytes]:
    """Return the bytes of a whole request, in blocks to be sent one after the other.

    Small parts are joined, large ones are not copied. For the protocol the request has been sent
    once all blocks have been taken.
    """
    target = request.target or request.path
    if request.query and not request.target:
        target = f"{request.path}?{request.query}"
    headers = list(request.headers)
    if find_header(request.headers, "host") is None:
        headers.insert(0, ("host", address))
    size = sum(map(len, request.lead_parts)) + len(request.body)
    if size or request.method in ("POST", "PUT"):
        headers.append(("content-length", str(size)))
    head = h11.Request(
        method=request.method,
        target=target.encode("latin-1"),
        headers=encode_headers(tuple(headers)),
    )
    return _with_body(protocol, protocol.send(head), (*request.lead_parts, request.body))


def _with_body(
    protocol: h11.Connection, head: bytes, body_parts: tuple[bytes, ...]
) -> Iterator[bytes]:
    unsent, joined, joined_bytes = head, [], 0
    for part in filter(None, body_parts):
        if joined_bytes + len(part) > JOINED_BYTES:
            yield _with_data(protocol, unsent, joined)
            unsent, joined, joined_bytes = b"", [], 0
        joined.append(part)
        joined_bytes += len(part)
    last = _with_data(protocol, unsent, joined)
    end = protocol.send(h11.EndOfMessage())
    yield last + end if end else last


def _with_data(protocol: h11.Connection, unsent: bytes, parts: list[bytes]) -> bytes:
    """Return parts of a body after what is not sent yet; a single part alone is not copied."""
    data = protocol.send(h11.Data(data=b"".join(parts))) if parts else b""
    return unsent + data if unsent and data else unsent or data
