"""An HTTP/1.1 client by h11 on trio, with a small pool of kept connections.

A failure says whether any byte of the request may have reached the server. A kept connection
that fails is dropped together with all older ones to the same address, since whatever lost track
of it has lost track of them too; the next request goes out on a new connection.

    client = HttpClient()
    response = await client.fetch("127.0.0.1:8080", HttpRequest(method="GET", path="/livez"))
"""

from collections import defaultdict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import h11
import trio
from result import Err, Ok, Result

from lagoonfold_io._http_connection import (
    BREAKS,
    ClientConnection,
    ResponseHead,
    ResponseStream,
    StreamError,
    close_now,
    encode_request,
    has_input,
    next_event,
)
from lagoonfold_io._http_messages import HttpError, HttpRequest, HttpResponse, Sent

DEFAULT_CONNECT_TIMEOUT_S = 1.0
DEFAULT_PROGRESS_TIMEOUT_S = 30.0
MAX_KEPT_PER_ADDRESS = 64
MAX_KEPT_IDLE_S = 20.0


class HttpClient:
    """A pool of connections; one instance serves one trio loop."""

    def __init__(self, *, connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle_by_address: dict[str, list[ClientConnection]] = defaultdict(list)
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

    async def _connect(self, address: str, fresh: bool) -> Result[ClientConnection, HttpError]:
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
        return Ok(ClientConnection(stream, protocol, opened_at=trio.current_time()))

    async def can_connect(self, address: str) -> bool:
        """Tell whether a new connection is accepted; nothing is sent on it."""
        taken = await self._connect(address, fresh=True)
        if isinstance(taken, Ok):
            close_now(taken.ok_value)
        return isinstance(taken, Ok)

    def _take_kept(self, address: str) -> ClientConnection | None:
        idle = self._idle_by_address[address]
        now = trio.current_time()
        while idle:
            connection = idle.pop()
            if now - connection.idle_since <= MAX_KEPT_IDLE_S and not has_input(connection):
                return connection
            close_now(connection)
        return None

    async def _start(
        self, connection: ClientConnection, address: str, request: HttpRequest, timeout_s: float
    ) -> Result[ResponseStream, HttpError]:
        data = encode_request(connection.protocol, address, request)
        try:
            with trio.fail_after(timeout_s):
                await connection.stream.send_all(data)
            self.bytes_sent += len(data)
            event = await next_event(connection, timeout_s)
            while isinstance(event, h11.InformationalResponse):
                event = await next_event(connection, timeout_s)
        except StreamError as error:
            return Err(error.error)
        except (trio.TooSlowError, *BREAKS) as error:
            return Err(HttpError(detail=f"cannot send to {address}: {error}", sent=Sent.MAYBE))
        headers = tuple((name.decode(), value.decode("latin-1")) for name, value in event.headers)
        head = ResponseHead(status=event.status_code, headers=headers)
        return Ok(ResponseStream(head=head, _connection=connection, _progress_timeout_s=timeout_s))

    async def _keep(self, address: str, connection: ClientConnection) -> None:
        idle = self._idle_by_address[address]
        reusable = connection.protocol.our_state is h11.DONE
        reusable = reusable and connection.protocol.their_state is h11.DONE
        if not reusable or len(idle) >= MAX_KEPT_PER_ADDRESS:
            await trio.aclose_forcefully(connection.stream)
            return
        connection.protocol.start_next_cycle()
        connection.idle_since = trio.current_time()
        idle.append(connection)

    async def _drop(self, address: str, connection: ClientConnection) -> None:
        """Close a connection that failed, and the kept ones that are older than it."""
        idle = self._idle_by_address[address]
        elders = [kept for kept in idle if kept.opened_at <= connection.opened_at]
        for elder in elders:
            idle.remove(elder)
            close_now(elder)
        close_now(connection)

    def close(self) -> None:
        """Close all kept connections."""
        for idle in self._idle_by_address.values():
            while idle:
                close_now(idle.pop())
