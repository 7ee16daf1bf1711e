"""Reads whole requests from a server's connection, within the server's limits."""

from collections.abc import Callable
from dataclasses import dataclass, field

import h11
import trio

from lagoonfold_io._http_body import BodyReader
from lagoonfold_io._http_faults import FaultError, RequestFault, parse_event
from lagoonfold_io._http_messages import HttpLimits, HttpRequest
from lagoonfold_io._memory_budget import MemoryClaim
from lagoonfold_io._memory_gate import MemoryGate
from lagoonfold_io._open_connections import WaitingConnections
from lagoonfold_io._socket_input import is_readable

HEAD_READ_BYTES = 16_384  # at once: what follows a head is held without being charged
HEAD_EVICTED = "head-evicted"
_CONTINUE = h11.InformationalResponse(status_code=100, headers=[])


@dataclass(slots=True)
class ReaderContext:
    """What the readers of a server's connections share.

    The holder of `turn` may parse an input of many parts.
    """

    limits: Callable[[], HttpLimits]
    is_shutting_down: Callable[[], bool]
    memory: MemoryGate
    waiting: WaitingConnections = field(default_factory=WaitingConnections)
    turn: trio.Lock = field(default_factory=trio.Lock)


class RequestReader:
    """Reads the requests of one connection; `claim` holds the memory of the current one."""

    def __init__(
        self,
        stream: trio.SocketStream,
        protocol: h11.Connection,
        context: ReaderContext,
        claim: MemoryClaim,
    ) -> None:
        self._stream = stream
        self._protocol = protocol
        self._context = context
        self._claim = claim

    @property
    def _limits(self) -> HttpLimits:
        return self._context.limits()

    async def read(self) -> HttpRequest | None:
        """Return the next request, or None at the end; raise `FaultError` for a bad request."""
        head = await self._read_head()
        if head is None:
            return None
        try:
            body = await self._read_body(head)
        except FaultError as error:
            error.is_head = head.method == b"HEAD"
            raise
        headers = tuple((name.decode(), value.decode("latin-1")) for name, value in head.headers)
        target = head.target.decode("latin-1")
        path, _, query = target.partition("?")
        return HttpRequest(
            method=head.method.decode(),
            path=path,
            query=query,
            target=target,
            headers=headers,
            body=body,
        )

    async def _read_head(self) -> h11.Request | None:
        event = parse_event(self._protocol)
        if event is h11.NEED_DATA:
            if not await self._wait_for_first_byte():
                return None
            event = await self._read_rest_of_head()
        if event is None or isinstance(event, h11.ConnectionClosed):
            return None
        if not isinstance(event, h11.Request):
            raise FaultError(RequestFault.MALFORMED)
        return event

    async def _wait_for_first_byte(self) -> bool:
        """Wait for input on an idle connection; return False if it is to be closed.

        A request that has already arrived is still read while the server shuts down.
        """
        if self._context.is_shutting_down() and not is_readable(self._stream):
            return False
        timeout_s = self._limits.idle_timeout_s
        with self._context.waiting.wait(self._stream, timeout_s, is_idle=True):
            data = await self._stream.receive_some(HEAD_READ_BYTES)
            self._protocol.receive_data(data)
            return bool(data)
        return False

    async def _read_rest_of_head(self) -> object | None:
        """Return the event of a head, or None if its connection has to make room for another."""
        timeout_s = self._limits.header_timeout_s
        with self._context.waiting.wait(self._stream, timeout_s, is_idle=False) as scope:
            while True:
                event = parse_event(self._protocol)
                if event is not h11.NEED_DATA:
                    return event
                self._protocol.receive_data(await self._stream.receive_some(HEAD_READ_BYTES))
        if trio.current_time() < scope.deadline:
            return None
        raise FaultError(RequestFault.REQUEST_TIMEOUT)

    async def _read_body(self, head: h11.Request) -> bytes:
        """Read the body; one whose announced length exceeds the limit is refused at once."""
        announced = _announced_length(head)
        if announced is not None and announced > self._limits.max_body_bytes:
            raise FaultError(RequestFault.BODY_TOO_LARGE)
        if self._protocol.they_are_waiting_for_100_continue:
            await self._stream.send_all(self._protocol.send(_CONTINUE))
        context = self._context
        reader = BodyReader(
            self._stream, self._protocol, self._limits, context.memory, self._claim, context.turn
        )
        return await reader.read(announced)


def _announced_length(head: h11.Request) -> int | None:
    """Return the length of the body if the head names it; one without a body has length 0."""
    value_by_name = dict(head.headers)
    if b"transfer-encoding" in value_by_name:
        return None
    return int(value_by_name.get(b"content-length", 0))
