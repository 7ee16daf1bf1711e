"""An HTTP/1.1 server on h11 and trio, with limits on everything that a client controls.

A handler receives a whole request and an `Exchange`, through which it sends the response whole or
as a stream. It is cancelled when the client closes its connection.

    async def handle(request: HttpRequest, exchange: Exchange) -> None:
        await exchange.respond(HttpResponse(status=200, body=b"ok"))

    async with trio.open_nursery() as nursery:
        server = HttpServer(handle)
        await nursery.start(server.serve, "127.0.0.1", 8080)
"""

from collections.abc import Awaitable, Callable

import h11
import trio

from lagoonfold_io._http_exchange import CONNECTION_ERRORS, ClientGoneError, Exchange
from lagoonfold_io._http_faults import FaultError, RequestFault, plain_fault_response
from lagoonfold_io._http_messages import HttpLimits, HttpRequest, HttpResponse
from lagoonfold_io._http_request_reader import HEAD_EVICTED, ReaderContext, RequestReader
from lagoonfold_io._listening import KeptOpenListener, linger
from lagoonfold_io._memory_budget import MemoryBudget, MemoryClaim
from lagoonfold_io._memory_gate import MemoryGate
from lagoonfold_io._socket_input import is_readable

_READ_AHEAD_BYTES = 4_096  # while a handler runs: to notice the end, and for one more request
_MAX_REFUSALS = 32  # answered at once, beyond the limit of connections
_DROPPED = "connection-dropped"
_ACCEPT_WAITING_S = 0.5  # connections that wait are accepted without a pause

Handler = Callable[[HttpRequest, Exchange], Awaitable[None]]
FaultResponder = Callable[[RequestFault], HttpResponse]


class HttpServer:
    """Passes the requests that arrive at one listening socket to a handler."""

    def __init__(
        self,
        handler: Handler,
        *,
        limits: HttpLimits | None = None,
        respond_to_fault: FaultResponder = plain_fault_response,
        on_handler_error: Callable[[BaseException], None] | None = None,
        memory: MemoryBudget | None = None,
        on_limit: Callable[[str], None] = lambda cause: None,
    ) -> None:
        self._handler = handler
        self._limits = limits or HttpLimits()
        self._respond_to_fault = respond_to_fault
        self._on_handler_error = on_handler_error
        self._connections = 0
        self._shutting_down = False
        self._announces_close = False
        self._accept_scope = trio.CancelScope()
        self._on_limit = on_limit
        self._memory = MemoryGate(memory or MemoryBudget(), on_limit)
        self._readers = ReaderContext(
            lambda: self._limits, lambda: self._shutting_down, self._memory
        )

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
            try:
                with self._accept_scope:
                    kept_open = [KeptOpenListener(listener) for listener in listeners]
                    await trio.serve_listeners(
                        self._serve_connection, kept_open, handler_nursery=connections
                    )
                for listener in listeners:
                    await self._accept_waiting(listener, connections)
            finally:
                for listener in listeners:
                    listener.socket.close()

    async def _accept_waiting(
        self, listener: trio.SocketListener, connections: trio.Nursery
    ) -> None:
        """Accept the connections that the kernel holds; closing the listener would reset them."""
        with trio.move_on_after(_ACCEPT_WAITING_S):
            while is_readable(listener):
                try:
                    stream = await listener.accept()
                except OSError as error:
                    if self._on_handler_error is not None:
                        self._on_handler_error(error)
                    return
                connections.start_soon(self._serve_connection, stream)

    @property
    def connections(self) -> int:
        """The number of open connections; after `begin_shutdown` each one has a request."""
        return self._connections

    @property
    def is_shutting_down(self) -> bool:
        """Whether `begin_shutdown` has been called."""
        return self._shutting_down

    def set_limits(self, limits: HttpLimits) -> None:
        """Change the limits: for new connections, and for open ones from their next wait on."""
        self._limits = limits

    def announce_close(self) -> None:
        """Send `connection: close` with each response from now on; keep accepting connections."""
        self._announces_close = True

    def begin_shutdown(self) -> None:
        """Stop accepting connections; close idle ones now and busy ones after their response.

        A request that has arrived is answered, also on a connection that is not accepted yet.
        """
        self._announces_close = True
        self._shutting_down = True
        self._accept_scope.cancel()
        self._readers.waiting.close_idle()

    async def serve_stream(self, stream: trio.SocketStream, received: bytes) -> None:
        """Serve an accepted connection from which some bytes have been received."""
        await self._serve_connection(stream, received)

    async def _serve_connection(self, stream: trio.SocketStream, received: bytes = b"") -> None:
        self._connections += 1
        claim = self._memory.open()
        try:
            if not self._has_room():
                self._on_limit(_DROPPED)
                return
            protocol = h11.Connection(
                our_role=h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
            )
            if received:
                protocol.receive_data(received)
            if self._connections > self._limits.max_connections:
                if not self._readers.waiting.close_longest():
                    await self._refuse(stream, protocol, RequestFault.TOO_MANY_CONNECTIONS)
                    return
                self._on_limit(HEAD_EVICTED)
            await self._serve_requests(stream, protocol, claim)
        except (ClientGoneError, *CONNECTION_ERRORS):
            pass
        except Exception as error:
            if self._on_handler_error is not None:
                self._on_handler_error(error)
        finally:
            self._connections -= 1
            self._memory.close(claim)
            await trio.aclose_forcefully(stream)

    def _has_room(self) -> bool:
        """Return whether a connection can be served or at least refused with an answer."""
        return self._connections <= self._limits.max_connections + _MAX_REFUSALS

    async def _serve_requests(
        self, stream: trio.SocketStream, protocol: h11.Connection, claim: MemoryClaim
    ) -> None:
        reader = RequestReader(stream, protocol, self._readers, claim)
        while True:
            try:
                request = await reader.read()
            except FaultError as error:
                self._memory.release(claim)
                await self._refuse(stream, protocol, error.fault, is_head=error.is_head)
                return
            if request is None:
                return
            exchange = Exchange(
                stream,
                protocol,
                self._limits,
                lambda: self._announces_close,
                is_head=request.method == "HEAD",
                memory=self._memory,
            )
            await self._run_handler(request, exchange, stream, protocol)
            # The protocol is done with a whole answer before all of it has been written.
            reusable = exchange.finished and protocol.our_state is h11.DONE
            reusable = reusable and protocol.their_state is h11.DONE
            del request, exchange  # they are not held while the connection is idle
            self._memory.release(claim)
            if not reusable or self._shutting_down:
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
        """Read ahead while the handler runs; cancel it if the client closes its connection."""
        try:
            data = await stream.receive_some(_READ_AHEAD_BYTES)
        except CONNECTION_ERRORS:
            scope.cancel()
            return
        if not data:
            scope.cancel()
            return
        protocol.receive_data(data)

    async def _refuse(
        self,
        stream: trio.SocketStream,
        protocol: h11.Connection,
        fault: RequestFault,
        *,
        is_head: bool = False,
    ) -> None:
        """Send the response to a fault if none has been started, and end the connection."""
        if fault is not RequestFault.MALFORMED:
            self._on_limit(fault.value)
        if protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = self._respond_to_fault(fault)
        headers = (*response.headers, ("connection", "close"))
        closing = HttpResponse(status=response.status, headers=headers, body=response.body)
        await Exchange(stream, protocol, self._limits, is_head=is_head).respond(closing)
        await linger(stream)
