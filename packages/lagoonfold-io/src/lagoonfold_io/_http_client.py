"""An HTTP/1.1 client by h11 on trio, with a small pool of kept connections.

A failure says whether any byte of the request may have reached the server. A kept connection
that fails is dropped together with all older ones to the same address, since whatever lost track
of it has lost track of them too; the next request goes out on a new connection.

    client = HttpClient()
    response = await client.fetch("127.0.0.1:8080", HttpRequest(method="GET", path="/livez"))
"""

import math
import os
import select
from collections import defaultdict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import h11
import trio
from result import Err, Ok, Result

from lagoonfold_io._http_messages import (
    READ_SIZE_BYTES,
    Headers,
    HttpError,
    HttpRequest,
    HttpResponse,
    Sent,
)

DEFAULT_CONNECT_TIMEOUT_S = 1.0
DEFAULT_PROGRESS_TIMEOUT_S = 30.0
MAX_KEPT_PER_ADDRESS = 64
MAX_KEPT_IDLE_S = 20.0

_BREAKS = (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError, OSError)


@dataclass(slots=True, eq=False)
class _Connection:
    """An open connection with its protocol state."""

    stream: trio.SocketStream
    protocol: h11.Connection
    opened_at: float
    idle_since: float = 0.0


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
    _connection: _Connection
    _progress_timeout_s: float
    _complete: bool = field(default=False)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; each wait is limited by the progress timeout."""
        while data := await self.read():
            yield data

    async def read(self, *, is_timed: bool = True) -> bytes:
        """Return all body bytes that are ready, waiting for the first; empty at the end.

        A cancelled read loses nothing: the next one goes on where it stopped. Raises
        `StreamError` on a break, or without progress unless the caller keeps time itself and
        says so by `is_timed`.
        """
        timeout_s = self._progress_timeout_s if is_timed else math.inf
        parts: list[bytes] = []
        while not self._complete:
            event = _ready_event(self._connection) if parts else None
            if event is None:
                if parts:
                    break
                event = await _next_event(self._connection, timeout_s)
            if isinstance(event, h11.Data):
                parts.append(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._complete = True
        return b"".join(parts)

    def is_complete(self) -> bool:
        """Tell whether the whole body has been read."""
        return self._complete


async def _receive(connection: _Connection, timeout_s: float) -> bytes:
    """Return the next input; the timeout costs nothing where there is none."""
    socket = connection.stream.socket
    if timeout_s == math.inf:
        await trio.lowlevel.wait_readable(socket)
    else:
        with trio.fail_after(timeout_s):
            await trio.lowlevel.wait_readable(socket)
    return os.read(socket.fileno(), READ_SIZE_BYTES)


def _ready_event(connection: _Connection) -> h11.Event | None:
    """Return the next protocol event that needs no further input, or None."""
    if connection.protocol.their_state is not h11.SEND_BODY:
        return None
    try:
        event = connection.protocol.next_event()
    except h11.ProtocolError:
        # The connection's state is kept: the next read meets the same error.
        return None
    return None if event is h11.NEED_DATA or event is h11.PAUSED else event


async def _next_event(connection: _Connection, timeout_s: float) -> h11.Event:
    """Return the next protocol event, reading as needed; raise `StreamError` when it fails."""
    try:
        while True:
            event = connection.protocol.next_event()
            if event is not h11.NEED_DATA:
                break
            connection.protocol.receive_data(await _receive(connection, timeout_s))
    except trio.TooSlowError as error:
        detail = f"no progress for {timeout_s:g} s"
        raise StreamError(HttpError(detail=detail, sent=Sent.MAYBE, is_timeout=True)) from error
    except _BREAKS as error:
        raise StreamError(
            HttpError(detail=f"connection broke: {error}", sent=Sent.MAYBE)
        ) from error
    if isinstance(event, h11.ConnectionClosed):
        raise StreamError(HttpError(detail="connection closed", sent=Sent.MAYBE))
    return event


class HttpClient:
    """A pool of connections; one instance serves one trio loop."""

    def __init__(self, *, connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle_by_address: dict[str, list[_Connection]] = defaultdict(list)
        self.bytes_sent = 0
        self.bytes_received = 0

    async def fetch(
        self,
        address: str,
        request: HttpRequest,
        *,
        timeout_s: float = DEFAULT_PROGRESS_TIMEOUT_S,
        fresh: bool = False,
    ) -> Result[HttpResponse, HttpError]:
        """Send a request and read the whole response within `timeout_s` seconds.

        `fresh` asks for a new connection, as for a request that may not be sent twice.
        """
        late = HttpError(
            detail=f"no answer within {timeout_s:g} s", sent=Sent.MAYBE, is_timeout=True
        )
        response: Result[HttpResponse, HttpError] = Err(late)
        with trio.move_on_after(timeout_s):
            response = await self._fetch(address, request, timeout_s, fresh)
        return response

    async def _fetch(
        self, address: str, request: HttpRequest, timeout_s: float, fresh: bool
    ) -> Result[HttpResponse, HttpError]:
        async with self.stream(
            address, request, progress_timeout_s=timeout_s, fresh=fresh
        ) as opened:
            if isinstance(opened, Err):
                return opened
            response = opened.ok_value
            try:
                body = b"".join([chunk async for chunk in response.chunks()])
            except StreamError as error:
                return Err(error.error)
            head = response.head
            return Ok(HttpResponse(status=head.status, headers=head.headers, body=body))

    @asynccontextmanager
    async def stream(
        self,
        address: str,
        request: HttpRequest,
        *,
        progress_timeout_s: float = DEFAULT_PROGRESS_TIMEOUT_S,
        fresh: bool = False,
    ) -> AsyncIterator[Result[ResponseStream, HttpError]]:
        """Send a request and yield its response for reading.

        Leaving the block before the body is complete closes the connection, which cancels the
        request on the server.
        """
        taken = await self._connect(address, fresh)
        if isinstance(taken, Err):
            yield taken
            return
        connection = taken.ok_value
        opened: Result[ResponseStream, HttpError] | None = None
        try:
            opened = await self._start(connection, address, request, progress_timeout_s)
            yield opened
        finally:
            if isinstance(opened, Ok) and opened.ok_value.is_complete():
                await self._keep(address, connection)
            else:
                await self._drop(address, connection)

    async def _connect(self, address: str, fresh: bool) -> Result[_Connection, HttpError]:
        kept = None if fresh else self._take_kept(address)
        if kept is not None:
            return Ok(kept)
        host, _, port = address.rpartition(":")
        try:
            with trio.fail_after(self._connect_timeout_s):
                stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.TooSlowError) as error:
            detail = f"cannot connect to {address}: {error or 'timeout'}"
            return Err(HttpError(detail=detail, sent=Sent.NOTHING))
        protocol = h11.Connection(our_role=h11.CLIENT)
        return Ok(_Connection(stream, protocol, opened_at=trio.current_time()))

    def _take_kept(self, address: str) -> _Connection | None:
        idle = self._idle_by_address[address]
        now = trio.current_time()
        while idle:
            connection = idle.pop()
            if now - connection.idle_since <= MAX_KEPT_IDLE_S and not _has_input(connection):
                return connection
            _close_now(connection)
        return None

    async def _start(
        self, connection: _Connection, address: str, request: HttpRequest, timeout_s: float
    ) -> Result[ResponseStream, HttpError]:
        data = _encode(connection.protocol, address, request)
        try:
            with trio.fail_after(timeout_s):
                await connection.stream.send_all(data)
            self.bytes_sent += len(data)
            event = await _next_event(connection, timeout_s)
            while isinstance(event, h11.InformationalResponse):
                event = await _next_event(connection, timeout_s)
        except StreamError as error:
            return Err(error.error)
        except (trio.TooSlowError, *_BREAKS) as error:
            return Err(HttpError(detail=f"cannot send to {address}: {error}", sent=Sent.MAYBE))
        headers = tuple((name.decode(), value.decode("latin-1")) for name, value in event.headers)
        head = ResponseHead(status=event.status_code, headers=headers)
        return Ok(ResponseStream(head=head, _connection=connection, _progress_timeout_s=timeout_s))

    async def _keep(self, address: str, connection: _Connection) -> None:
        idle = self._idle_by_address[address]
        reusable = connection.protocol.our_state is h11.DONE
        reusable = reusable and connection.protocol.their_state is h11.DONE
        if not reusable or len(idle) >= MAX_KEPT_PER_ADDRESS:
            await trio.aclose_forcefully(connection.stream)
            return
        connection.protocol.start_next_cycle()
        connection.idle_since = trio.current_time()
        idle.append(connection)

    async def _drop(self, address: str, connection: _Connection) -> None:
        """Close a connection that failed, and the kept ones that are older than it."""
        idle = self._idle_by_address[address]
        elders = [kept for kept in idle if kept.opened_at <= connection.opened_at]
        for elder in elders:
            idle.remove(elder)
            _close_now(elder)
        _close_now(connection)

    def close(self) -> None:
        """Close all kept connections."""
        for idle in self._idle_by_address.values():
            while idle:
                _close_now(idle.pop())


def _close_now(connection: _Connection) -> None:
    connection.stream.socket.close()


def _has_input(connection: _Connection) -> bool:
    """Tell whether an idle connection is readable, which means closed or out of step."""
    socket = connection.stream.socket
    if socket.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _encode(protocol: h11.Connection, address: str, request: HttpRequest) -> bytes:
    target = f"{request.path}?{request.query}" if request.query else request.path
    headers = [("host", address), *request.headers]
    if request.body or request.method in ("POST", "PUT"):
        headers.append(("content-length", str(len(request.body))))
    head = h11.Request(method=request.method, target=target, headers=headers)
    parts = [protocol.send(head)]
    if request.body:
        parts.append(protocol.send(h11.Data(data=request.body)))
    parts.append(protocol.send(h11.EndOfMessage()))
    return b"".join(parts)
