"""An HTTP/1.1 client on h11 and trio, with a pool of idle connections for each address.

An error says whether any byte of the request may have reached the server. When a connection fails
or gives no answer in time, the idle connections to the same address that are as old or older are
closed with it, since what lost the state of one has lost that of the others too; the next request
uses a newer connection.

A server may send a second copy of a response late, where the next response is expected. A caller
that knows its responses by their heads can have such copies skipped.

    client = HttpClient()
    response = await client.fetch("127.0.0.1:8080", HttpRequest(method="GET", path="/livez"))
"""

import re
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import h11
import trio
from result import Err, Ok, Result

from lagoonfold import parse_count
from lagoonfold_io._http_connection import (
    CLIENT_CONNECTION_ERRORS,
    BeforeRead,
    ClientConnection,
    ResponseHead,
    ResponseStream,
    StreamError,
    close_now,
    encode_request,
    expect_next_response,
    has_input,
    has_trailing_data,
    next_event,
    read_at_once,
)
from lagoonfold_io._http_messages import (
    Headers,
    HttpError,
    HttpRequest,
    HttpResponse,
    SendStatus,
    find_header,
)
from lagoonfold_io._tcp import StreamOpener, open_tcp_stream, set_user_timeout

DEFAULT_CONNECT_TIMEOUT_S = 1.0
DEFAULT_PROGRESS_TIMEOUT_S = 30.0
MAX_IDLE_PER_ADDRESS = 64
MAX_IDLE_S = 20.0
MAX_OPEN_PER_ADDRESS = 1_000
MAX_INTERIM_HEADS = 8  # servers send one or two before a response
MAX_SKIPPED_RESPONSES = 2  # late copies before one response
MAX_SKIPPED_BYTES = 1_048_576  # of the body of one late copy
MAX_FETCHED_BYTES = 33_554_432  # of a body that is read whole; twice the largest list of instances
KEEP_ALIVE_MARGIN_S = 0.5  # a server announces whole seconds and measures its own idle time
MAX_STATUS = 599  # of RFC 9110, section 15; the parser refuses those below 100
DEFAULT_TCP_TIMEOUT_S = 2.0  # without acknowledgements, for busy and idle connections

_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


class HttpClient:
    """An HTTP client with a pool of connections, for use within one trio loop.

    A connection breaks after `tcp_timeout_s` without acknowledgements by the server, or after
    `unrepeatable_tcp_timeout_s` while it has a request that may not be repeated.
    """

    def __init__(
        self,
        *,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        tcp_timeout_s: float = DEFAULT_TCP_TIMEOUT_S,
        unrepeatable_tcp_timeout_s: float | None = None,
        max_connections_per_address: int = MAX_OPEN_PER_ADDRESS,
        open_stream: StreamOpener = open_tcp_stream,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._tcp_timeout_s = tcp_timeout_s
        self._unrepeatable_tcp_timeout_s = unrepeatable_tcp_timeout_s or tcp_timeout_s
        self.open_stream = open_stream
        self.max_connections_per_address = max_connections_per_address
        self._busy_by_address: Counter[str] = Counter()
        self._idle_by_address: dict[str, list[ClientConnection]] = defaultdict(list)
        self._address_by_busy: dict[ClientConnection, str] = {}
        self.bytes_sent = 0
        self.bytes_received = 0

    async def fetch(
        self,
        address: str,
        request: HttpRequest,
        *,
        timeout_s: float = DEFAULT_PROGRESS_TIMEOUT_S,
        new_connection: bool = False,
        max_bytes: int = MAX_FETCHED_BYTES,
        before_read: BeforeRead = read_at_once,
    ) -> Result[HttpResponse, HttpError]:
        """Send a request and read the whole response within `timeout_s` seconds.

        A body of more than `max_bytes` is an error. `before_read` is awaited before each read of
        the body with the number of bytes read so far, and may delay it.

        `new_connection` forbids the reuse of a connection, for requests that may not be sent twice.
        """
        timeout_error = HttpError(
            detail=f"no answer within {timeout_s:g} s", sent=SendStatus.MAYBE_SENT, is_timeout=True
        )
        response: Result[HttpResponse, HttpError] = Err(timeout_error)
        began_at = trio.current_time()
        with trio.move_on_after(timeout_s) as limit:
            response = await self._fetch(
                address, request, timeout_s, new_connection, max_bytes, before_read
            )
        if limit.cancelled_caught:
            self._close_idle(address, opened_until=began_at)
        return response

    async def _fetch(
        self,
        address: str,
        request: HttpRequest,
        timeout_s: float,
        new_connection: bool,
        max_bytes: int,
        before_read: BeforeRead,
    ) -> Result[HttpResponse, HttpError]:
        async with self.stream(
            address, request, progress_timeout_s=timeout_s, new_connection=new_connection
        ) as opened:
            if isinstance(opened, Err):
                return opened
            response = opened.ok_value
            try:
                body = await response.read_all(max_bytes, before_read)
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
        new_connection: bool = False,
        max_idle_s: float = MAX_IDLE_S,
        is_own: Callable[[Headers], bool] | None = None,
        is_repeatable: bool = False,
    ) -> AsyncIterator[Result[ResponseStream, HttpError]]:
        """Send a request and yield an error or the response, whose body is still to be read.

        Responses on a reused connection whose headers `is_own` rejects are read and skipped, at
        most `MAX_SKIPPED_RESPONSES` of them: they are late copies of earlier ones.

        Leaving the block before the body is complete closes the connection, which cancels the
        request on the server. A connection that has been idle for longer than `max_idle_s` seconds
        is not reused. A request that `is_repeatable` may be ended by `break_silent_connections`.
        """
        self._busy_by_address[address] += 1
        try:
            acquired = await self._acquire(address, new_connection, max_idle_s)
            if isinstance(acquired, Err):
                yield acquired
                return
            connection = acquired.ok_value
            self._prepare(connection, is_repeatable)
            self._address_by_busy[connection] = address
            try:
                async with self._exchange(
                    connection, address, request, progress_timeout_s, is_own
                ) as opened:
                    yield opened
            finally:
                del self._address_by_busy[connection]
        finally:
            self._busy_by_address[address] -= 1

    def _prepare(self, connection: ClientConnection, is_repeatable: bool) -> None:
        """Set for how long the server may be silent before the request fails."""
        timeout_s = self._tcp_timeout_s if is_repeatable else self._unrepeatable_tcp_timeout_s
        if connection.tcp_timeout_s != timeout_s:
            set_user_timeout(connection.stream.socket, timeout_s)
            connection.tcp_timeout_s = timeout_s
        connection.is_repeatable = is_repeatable

    @asynccontextmanager
    async def _exchange(
        self,
        connection: ClientConnection,
        address: str,
        request: HttpRequest,
        timeout_s: float,
        is_own: Callable[[Headers], bool] | None,
    ) -> AsyncIterator[Result[ResponseStream, HttpError]]:
        """Send a request on a connection; afterwards release, discard or close the connection."""
        opened: Result[ResponseStream, HttpError] | None = None
        try:
            opened = await self._send(connection, address, request, timeout_s, is_own)
            yield opened
        finally:
            if isinstance(opened, Ok) and opened.ok_value.is_reusable():
                self._release(address, connection, opened.ok_value.head.headers)
            elif isinstance(opened, Err) or (opened and opened.ok_value.is_broken()):
                self._discard(address, connection)
            else:
                close_now(connection)

    async def _acquire(
        self, address: str, new_connection: bool, max_idle_s: float = MAX_IDLE_S
    ) -> Result[ClientConnection, HttpError]:
        reused = None if new_connection else self._pop_idle(address, max_idle_s)
        if reused is not None:
            reused.is_reused = True
            return Ok(reused)
        self._evict_idle(address)
        if self._busy_by_address[address] > self.max_connections_per_address:
            detail = f"{self.max_connections_per_address} connections to {address} are in use"
            return Err(HttpError(detail=detail, sent=SendStatus.NOT_SENT, is_pool_exhausted=True))
        return await self._open(address)

    async def _open(self, address: str) -> Result[ClientConnection, HttpError]:
        try:
            with trio.fail_after(self._connect_timeout_s):
                stream = await self.open_stream(address, tcp_timeout_s=self._tcp_timeout_s)
        except (OSError, trio.TooSlowError) as error:
            detail = f"cannot connect to {address}: {error or 'timeout'}"
            is_timeout = isinstance(error, trio.TooSlowError)
            return Err(HttpError(detail=detail, sent=SendStatus.NOT_SENT, is_timeout=is_timeout))
        protocol = h11.Connection(our_role=h11.CLIENT)
        return Ok(
            ClientConnection(
                stream,
                protocol,
                opened_at=trio.current_time(),
                tcp_timeout_s=self._tcp_timeout_s,
            )
        )

    async def can_connect(self, address: str) -> bool:
        """Return whether the server accepts a new connection."""
        return isinstance(await self.try_to_connect(address), Ok)

    async def try_to_connect(self, address: str) -> Result[None, HttpError]:
        """Find out whether the server accepts a new connection; nothing is sent on it.

        The connection does not count towards the limit of those to its address.
        """
        opened = await self._open(address)
        if isinstance(opened, Err):
            return opened
        close_now(opened.ok_value)
        return Ok(None)

    def _pop_idle(self, address: str, max_idle_s: float) -> ClientConnection | None:
        idle = self._idle_by_address[address]
        now = trio.current_time()
        while idle:
            connection = idle.pop()
            limit_s = min(max_idle_s, connection.idle_limit_s)
            if now - connection.idle_since <= limit_s and not has_input(connection):
                return connection
            close_now(connection)
        return None

    def _evict_idle(self, address: str) -> None:
        """Close idle connections, oldest first, until a new one fits below the limit."""
        idle = self._idle_by_address[address]
        while (
            idle and self._busy_by_address[address] + len(idle) > self.max_connections_per_address
        ):
            close_now(idle.pop(0))

    async def _send(
        self,
        connection: ClientConnection,
        address: str,
        request: HttpRequest,
        timeout_s: float,
        is_own: Callable[[Headers], bool] | None,
    ) -> Result[ResponseStream, HttpError]:
        deadline_s = trio.current_time() + timeout_s
        blocks = encode_request(connection.protocol, address, request)
        try:
            with trio.fail_after(timeout_s):
                for block in blocks:
                    await connection.stream.send_all(block)
                    self.bytes_sent += len(block)
            connection.received_at = trio.current_time()
            response = await _next_response(connection, timeout_s)
            for _ in range(MAX_SKIPPED_RESPONSES if connection.is_reused and is_own else 0):
                if is_own(response.head.headers):
                    break
                await response.read_all(MAX_SKIPPED_BYTES)
                expect_next_response(connection, address, request)
                left_s = max(0.0, deadline_s - trio.current_time())
                response = await _next_response(connection, left_s)
        except StreamError as error:
            return Err(error.error)
        except (trio.TooSlowError, *CLIENT_CONNECTION_ERRORS) as error:
            return Err(
                HttpError(detail=f"cannot send to {address}: {error}", sent=SendStatus.MAYBE_SENT)
            )
        return Ok(response)

    def _release(self, address: str, connection: ClientConnection, headers: Headers) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        idle = self._idle_by_address[address]
        reusable = connection.protocol.our_state is h11.DONE
        reusable = reusable and connection.protocol.their_state is h11.DONE
        reusable = reusable and not has_trailing_data(connection) and not has_input(connection)
        connection.idle_limit_s = _idle_limit_s(headers)
        if not reusable or len(idle) >= MAX_IDLE_PER_ADDRESS or connection.idle_limit_s <= 0:
            close_now(connection)
            return
        connection.protocol.start_next_cycle()
        connection.idle_since = trio.current_time()
        idle.append(connection)

    def _discard(self, address: str, connection: ClientConnection) -> None:
        """Close a connection that failed, and the idle ones that are as old or older."""
        self._close_idle(address, opened_until=connection.opened_at)
        close_now(connection)

    def _close_idle(self, address: str, *, opened_until: float) -> None:
        idle = self._idle_by_address[address]
        older = [each for each in idle if each.opened_at <= opened_until]
        for connection in older:
            idle.remove(connection)
            close_now(connection)

    def break_silent_connections(self, silent_s: float, *, address: str | None = None) -> None:
        """Close the connections of repeatable requests that have been silent for so long.

        With `address`, only those to that address. Their requests fail as on a broken connection.
        """
        before = trio.current_time() - silent_s
        for connection, connected_to in tuple(self._address_by_busy.items()):
            is_meant = connection.is_repeatable and address in (None, connected_to)
            if is_meant and connection.received_at < before:
                close_now(connection)

    def close_idle_to(self, address: str) -> None:
        """Close the idle connections to an address that will not be used any more."""
        for connection in self._idle_by_address.pop(address, ()):
            close_now(connection)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_address.values():
            while idle:
                close_now(idle.pop())


async def _next_response(connection: ClientConnection, timeout_s: float) -> ResponseStream:
    """Read the head of the next response; return it with its body still to be read."""
    event = await _next_final_head(connection, timeout_s)
    headers = tuple((name.decode(), value.decode("latin-1")) for name, value in event.headers)
    head = ResponseHead(status=event.status_code, headers=headers)
    return ResponseStream(head=head, _connection=connection, _progress_timeout_s=timeout_s)


async def _next_final_head(connection: ClientConnection, timeout_s: float) -> h11.Event:
    """Return the head of the response after at most `MAX_INTERIM_HEADS` interim ones."""
    for _ in range(MAX_INTERIM_HEADS + 1):
        event = await next_event(connection, timeout_s)
        if isinstance(event, h11.Response) and event.status_code > MAX_STATUS:
            detail = f"status {event.status_code} is none of HTTP"
            raise StreamError(HttpError(detail=detail, sent=SendStatus.MAYBE_SENT))
        if not isinstance(event, h11.InformationalResponse):
            return event
    detail = f"more than {MAX_INTERIM_HEADS} interim responses"
    raise StreamError(HttpError(detail=detail, sent=SendStatus.MAYBE_SENT))


def _idle_limit_s(headers: Headers) -> float:
    """Return for how many seconds the connection may be idle, by its `keep-alive` header."""
    keep_alive = find_header(headers, "keep-alive")
    found = _KEEP_ALIVE_TIMEOUT.search(keep_alive) if keep_alive else None
    timeout_s = parse_count(found[1]) if found else None
    return timeout_s - KEEP_ALIVE_MARGIN_S if timeout_s is not None else MAX_IDLE_S
