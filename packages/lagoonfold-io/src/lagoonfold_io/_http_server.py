"""An HTTP/1.1 server by h11 on trio, with limits on everything that a client controls.

A handler gets a whole request and an `Exchange` to answer through, at once or as a stream. It is
cancelled when the client closes its connection.

    async def handle(request: HttpRequest, exchange: Exchange) -> None:
        await exchange.respond(HttpResponse(status=200, body=b"ok"))

    async with trio.open_nursery() as nursery:
        server = HttpServer(handle)
        await nursery.start(server.serve, "127.0.0.1", 8080)
"""

import os
import select
from collections.abc import Awaitable, Callable
from enum import Enum

import h11
import trio

from lagoonfold_io._http_messages import (
    READ_SIZE_BYTES,
    Headers,
    HttpLimits,
    HttpRequest,
    HttpResponse,
)

_BREAKS = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)
_STREAM_HEADERS = ("transfer-encoding", "chunked")
_CLOSE_HEADERS = (("connection", "close"),)


class BorderFault(Enum):
    """What was wrong with a request that never reached the handler."""

    BODY_TOO_LARGE = "body-too-large"
    HEADERS_TOO_LARGE = "headers-too-large"
    MALFORMED = "malformed"
    REQUEST_TIMEOUT = "request-timeout"
    TOO_MANY_CONNECTIONS = "too-many-connections"


_STATUS_BY_FAULT = {
    BorderFault.BODY_TOO_LARGE: 413,
    BorderFault.HEADERS_TOO_LARGE: 431,
    BorderFault.MALFORMED: 400,
    BorderFault.REQUEST_TIMEOUT: 408,
    BorderFault.TOO_MANY_CONNECTIONS: 503,
}


class ClientGoneError(Exception):
    """The client closed its connection or stopped reading before the response was complete."""


class _FaultError(Exception):
    """A request that is refused before it reaches the handler."""

    def __init__(self, fault: BorderFault) -> None:
        super().__init__(fault.value)
        self.fault = fault
        self.is_head = False


Handler = Callable[[HttpRequest, "Exchange"], Awaitable[None]]
FaultResponder = Callable[[BorderFault], HttpResponse]


def plain_fault_response(fault: BorderFault) -> HttpResponse:
    """Answer a fault with its status and a line of text."""
    headers = (("content-type", "text/plain"),)
    body = fault.value.encode()
    return HttpResponse(status=_STATUS_BY_FAULT[fault], headers=headers, body=body)


class Exchange:
    """One request's way to answer; every write is limited by the server's write timeout."""

    def __init__(
        self,
        stream: trio.SocketStream,
        protocol: h11.Connection,
        limits: HttpLimits,
        is_last: Callable[[], bool] = lambda: False,
        *,
        is_head: bool = False,
    ) -> None:
        self._stream = stream
        self._protocol = protocol
        self._limits = limits
        self._is_last = is_last
        self._is_head = is_head
        self.started = False
        self.finished = False

    async def respond(self, response: HttpResponse) -> None:
        """Send a whole response; raise `ClientGoneError` if the client does not take it.

        The answer to a HEAD request goes without its body.
        """
        length = ("content-length", str(len(response.body)))
        headers = [*response.headers, length, *self._closing_headers()]
        head = h11.Response(status_code=response.status, headers=headers)
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
        head = h11.Response(status_code=status, headers=all_headers)
        self.started = True
        await self._write(self._protocol.send(head))

    def _closing_headers(self) -> Headers:
        return _CLOSE_HEADERS if self._is_last() else ()

    async def send(self, data: bytes) -> None:
        """Send a part of a streamed response; the wait is the back-pressure on the source."""
        await self._write(self._protocol.send(h11.Data(data=data)))

    async def finish(self) -> None:
        """End a streamed response."""
        await self._write(self._protocol.send(h11.EndOfMessage()))
        self.finished = True

    def _write_now(self, data: bytes) -> int:
        """Write what the socket takes without a wait; return the number of bytes taken."""
        fileno = self._stream.socket.fileno()
        if fileno < 0:
            raise trio.ClosedResourceError
        try:
            return os.write(fileno, data)
        except BlockingIOError:
            return 0

    def abort(self) -> None:
        """Give a streamed response up: its connection is closed without the response's end."""
        self._protocol.send_failed()

    async def _write(self, data: bytes) -> None:
        try:
            left = data[self._write_now(data) :]
            if not left:
                return
            with trio.fail_after(self._limits.write_timeout_s):
                await self._stream.send_all(left)
        except (trio.TooSlowError, *_BREAKS) as error:
            raise ClientGoneError from error


class HttpServer:
    """Serves one handler on one listening socket."""

    def __init__(
        self,
        handler: Handler,
        *,
        limits: HttpLimits | None = None,
        respond_to_fault: FaultResponder = plain_fault_response,
        on_handler_error: Callable[[BaseException], None] | None = None,
    ) -> None:
        self._handler = handler
        self._limits = limits or HttpLimits()
        self._respond_to_fault = respond_to_fault
        self._on_handler_error = on_handler_error
        self._connections = 0
        self._closing = False
        self._is_leaving = False
        self._accept_scope = trio.CancelScope()
        self._idle_scopes: set[trio.CancelScope] = set()

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen until cancelled or closed; report the bound port through `task_status`."""
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=1024)
        bound_port = listeners[0].socket.getsockname()[1]
        task_status.started(bound_port)
        async with trio.open_nursery() as connections:
            with self._accept_scope:
                await trio.serve_listeners(
                    self._serve_connection, listeners, handler_nursery=connections
                )

    def announce_close(self) -> None:
        """Tell clients with each response that its connection closes; go on accepting."""
        self._is_leaving = True

    def close_idle(self) -> None:
        """Accept no more connections, close the idle ones, and busy ones after their response."""
        self._is_leaving = True
        self._closing = True
        self._accept_scope.cancel()
        for scope in tuple(self._idle_scopes):
            scope.cancel()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        self._connections += 1
        try:
            protocol = h11.Connection(
                our_role=h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
            )
            if self._connections > self._limits.max_connections:
                await self._refuse(stream, protocol, BorderFault.TOO_MANY_CONNECTIONS)
                return
            await self._serve_requests(stream, protocol)
        except (ClientGoneError, *_BREAKS):
            pass
        except Exception as error:
            if self._on_handler_error is not None:
                self._on_handler_error(error)
        finally:
            self._connections -= 1
            await trio.aclose_forcefully(stream)

    async def _serve_requests(self, stream: trio.SocketStream, protocol: h11.Connection) -> None:
        while True:
            try:
                request = await self._read_request(stream, protocol)
            except _FaultError as error:
                await self._refuse(stream, protocol, error.fault, is_head=error.is_head)
                return
            if request is None:
                return
            exchange = Exchange(
                stream,
                protocol,
                self._limits,
                lambda: self._is_leaving,
                is_head=request.method == "HEAD",
            )
            await self._run_handler(request, exchange, stream, protocol)
            reusable = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
            if not reusable or self._closing:
                return
            protocol.start_next_cycle()

    async def _run_handler(
        self,
        request: HttpRequest,
        exchange: Exchange,
        stream: trio.SocketStream,
        protocol: h11.Connection,
    ) -> None:
        """Run the handler, and cancel it when the client closes its connection."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_client, stream, protocol, nursery.cancel_scope)
            try:
                await self._handler(request, exchange)
            except ClientGoneError:
                pass
            except Exception as error:
                await self._answer_handler_error(error, exchange)
            nursery.cancel_scope.cancel()

    async def _answer_handler_error(self, error: Exception, exchange: Exchange) -> None:
        if self._on_handler_error is not None:
            self._on_handler_error(error)
        if not exchange.started:
            await exchange.respond(HttpResponse(status=500))

    async def _watch_client(
        self, stream: trio.SocketStream, protocol: h11.Connection, scope: trio.CancelScope
    ) -> None:
        """Read ahead while the handler runs; an end of input means that the client is gone."""
        try:
            data = await stream.receive_some(READ_SIZE_BYTES)
        except _BREAKS:
            scope.cancel()
            return
        if not data:
            scope.cancel()
            return
        protocol.receive_data(data)

    async def _read_request(
        self, stream: trio.SocketStream, protocol: h11.Connection
    ) -> HttpRequest | None:
        head = await self._read_head(stream, protocol)
        if head is None:
            return None
        try:
            body = await self._read_body(stream, protocol, head)
        except _FaultError as error:
            error.is_head = head.method == b"HEAD"
            raise
        headers = tuple((name.decode(), value.decode("latin-1")) for name, value in head.headers)
        path, _, query = head.target.decode("latin-1").partition("?")
        return HttpRequest(
            method=head.method.decode(), path=path, query=query, headers=headers, body=body
        )

    async def _read_head(
        self, stream: trio.SocketStream, protocol: h11.Connection
    ) -> h11.Request | None:
        event = _parse(protocol)
        if event is h11.NEED_DATA:
            if not await self._wait_for_first_byte(stream, protocol):
                return None
            event = await self._read_event(stream, protocol, self._limits.header_timeout_s)
        if isinstance(event, h11.ConnectionClosed):
            return None
        if not isinstance(event, h11.Request):
            raise _FaultError(BorderFault.MALFORMED)
        return event

    async def _wait_for_first_byte(
        self, stream: trio.SocketStream, protocol: h11.Connection
    ) -> bool:
        """Wait for input on an idle connection; return False when it should be closed.

        A request that has come already is taken, also while the server closes.
        """
        if self._closing and not _is_readable(stream):
            return False
        with trio.move_on_after(self._limits.idle_timeout_s) as scope:
            self._idle_scopes.add(scope)
            try:
                data = await stream.receive_some(READ_SIZE_BYTES)
            finally:
                self._idle_scopes.discard(scope)
            protocol.receive_data(data)
            return bool(data)
        return False

    async def _read_body(
        self, stream: trio.SocketStream, protocol: h11.Connection, head: h11.Request
    ) -> bytes:
        if protocol.they_are_waiting_for_100_continue:
            await stream.send_all(protocol.send(_CONTINUE))
        parts: list[bytes] = []
        size = 0
        deadline = trio.current_time() + self._limits.body_timeout_s
        while True:
            left_s = max(0.0, deadline - trio.current_time())
            event = await self._read_event(stream, protocol, left_s)
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise _FaultError(BorderFault.MALFORMED)
            size += len(event.data)
            if size > self._limits.max_body_bytes:
                raise _FaultError(BorderFault.BODY_TOO_LARGE)
            parts.append(bytes(event.data))

    async def _read_event(
        self, stream: trio.SocketStream, protocol: h11.Connection, timeout_s: float
    ) -> h11.Event:
        with trio.move_on_after(timeout_s):
            while True:
                event = _parse(protocol)
                if event is not h11.NEED_DATA:
                    return event
                protocol.receive_data(await stream.receive_some(READ_SIZE_BYTES))
        raise _FaultError(BorderFault.REQUEST_TIMEOUT)

    async def _refuse(
        self,
        stream: trio.SocketStream,
        protocol: h11.Connection,
        fault: BorderFault,
        *,
        is_head: bool = False,
    ) -> None:
        """Answer a fault and close the connection."""
        if protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = self._respond_to_fault(fault)
        headers = (*response.headers, ("connection", "close"))
        closing = HttpResponse(status=response.status, headers=headers, body=response.body)
        await Exchange(stream, protocol, self._limits, is_head=is_head).respond(closing)
        await _linger(stream)


_CONTINUE = h11.InformationalResponse(status_code=100, headers=[])
_LINGER_S = 1.0


def _is_readable(stream: trio.SocketStream) -> bool:
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))


async def _linger(stream: trio.SocketStream) -> None:
    """Take unread input for a moment, so that a reset does not destroy the answer."""
    try:
        await stream.send_eof()
        with trio.move_on_after(_LINGER_S):
            while await stream.receive_some(READ_SIZE_BYTES):
                pass
    except _BREAKS:
        pass


def _parse(protocol: h11.Connection) -> h11.Event:
    try:
        return protocol.next_event()
    except h11.RemoteProtocolError as error:
        too_large = error.error_status_hint == 431
        fault = BorderFault.HEADERS_TOO_LARGE if too_large else BorderFault.MALFORMED
        raise _FaultError(fault) from error
