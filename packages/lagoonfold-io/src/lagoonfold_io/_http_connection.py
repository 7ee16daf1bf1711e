"""A client's connection, and a response being read from it."""

import math
import os
from collections.abc import AsyncIterator
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

SMALL_INPUT_BYTES = 4_096
CHUNK_END_BYTES = 2

CLIENT_CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.ProtocolError,
    OSError,
)


@dataclass(slots=True, eq=False)
class ClientConnection:
    """An open connection with its protocol state.

    `input_bytes` is the size of the latest input. `needs_input` says that the protocol has no
    event left in what it was given, so that it need not be asked. `idle_limit_s` is how long the
    server keeps the connection when idle.
    """

    stream: trio.SocketStream
    protocol: h11.Connection
    opened_at: float
    idle_since: float = 0.0
    input_bytes: int = 0
    needs_input: bool = False
    idle_limit_s: float = math.inf


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
    """A response being read; `chunks` yields body bytes and raises `StreamError` on a break."""

    head: ResponseHead
    _connection: ClientConnection
    _progress_timeout_s: float
    _complete: bool = field(default=False)
    _broke: bool = field(default=False)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; each wait is limited by the progress timeout."""
        while data := await self.read():
            yield data

    async def read(self, *, use_timeout: bool = True) -> bytes:
        """Return all body bytes that are ready, waiting for the first; empty at the end.

        A cancelled read loses nothing: the next one goes on where it stopped. Raises
        `StreamError` on a break, or without progress unless the caller keeps time itself and
        says so by `use_timeout`.
        """
        timeout_s = self._progress_timeout_s if use_timeout else math.inf
        parts: list[bytes] = []
        while not self._complete:
            event = _ready_event(self._connection) if parts else None
            if event is None:
                if parts:
                    break
                event = await self._next_event(timeout_s)
            if type(event) is h11.Data:
                parts.append(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._complete = True
        return bytes(parts[0]) if len(parts) == 1 else b"".join(parts)

    async def _next_event(self, timeout_s: float) -> h11.Event:
        try:
            return await next_event(self._connection, timeout_s)
        except StreamError:
            self._broke = True
            raise

    def is_complete(self) -> bool:
        """Tell whether the whole body has been read."""
        return self._complete

    def is_broken(self) -> bool:
        """Tell whether the connection failed while the body was being read."""
        return self._broke


async def _receive(connection: ClientConnection, timeout_s: float) -> None:
    """Give the protocol the next input; the timeout costs nothing where there is none."""
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


def _next_parsed(connection: ClientConnection) -> h11.Event | None:
    """Return the next event in the input so far, or None where more input is needed."""
    if connection.needs_input:
        return None
    protocol = connection.protocol
    event = protocol.next_event()
    if event is h11.NEED_DATA:
        connection.needs_input = True
        return None
    if type(event) is h11.Data and event.chunk_end and connection.input_bytes <= SMALL_INPUT_BYTES:
        connection.needs_input = len(protocol.trailing_data[0]) <= CHUNK_END_BYTES
    return event


def _ready_event(connection: ClientConnection) -> h11.Event | None:
    """Return the next protocol event that needs no further input, or None."""
    if connection.needs_input or connection.protocol.their_state is not h11.SEND_BODY:
        return None
    try:
        event = _next_parsed(connection)
    except h11.ProtocolError:
        # The connection's state is kept: the next read meets the same error.
        return None
    return None if event is h11.PAUSED else event


async def next_event(connection: ClientConnection, timeout_s: float) -> h11.Event:
    """Return the next protocol event, reading as needed; raise `StreamError` when it fails."""
    try:
        while (event := _next_parsed(connection)) is None:
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
    if type(event) is h11.ConnectionClosed:
        raise StreamError(HttpError(detail="connection closed", sent=SendStatus.MAYBE_SENT))
    return event


def close_now(connection: ClientConnection) -> None:
    """Close a connection without waiting."""
    connection.stream.socket.close()


def has_trailing_data(connection: ClientConnection) -> bool:
    """Tell whether bytes have arrived after the end of the response."""
    return bool(connection.protocol.trailing_data[0])


def has_input(connection: ClientConnection) -> bool:
    """Tell whether an idle connection is readable, which means closed or out of step."""
    return connection.stream.socket.fileno() < 0 or is_readable(connection.stream)


def encode_request(protocol: h11.Connection, address: str, request: HttpRequest) -> bytes:
    """Return a whole request as it goes over the wire."""
    target = request.target or request.path
    if request.query and not request.target:
        target = f"{request.path}?{request.query}"
    headers = list(request.headers)
    if find_header(request.headers, "host") is None:
        headers.insert(0, ("host", address))
    if request.body or request.method in ("POST", "PUT"):
        headers.append(("content-length", str(len(request.body))))
    head = h11.Request(
        method=request.method,
        target=target.encode("latin-1"),
        headers=encode_headers(tuple(headers)),
    )
    parts = [protocol.send(head)]
    if request.body:
        parts.append(protocol.send(h11.Data(data=request.body)))
    parts.append(protocol.send(h11.EndOfMessage()))
    return b"".join(parts)
