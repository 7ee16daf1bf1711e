"""Reads whole requests from a server's connection, within the server's limits."""

from collections.abc import Callable

import h11
import trio

from lagoonfold_io._http_faults import FaultError, RequestFault
from lagoonfold_io._http_messages import READ_SIZE_BYTES, HttpLimits, HttpRequest
from lagoonfold_io._socket_input import is_readable

_CONTINUE = h11.InformationalResponse(status_code=100, headers=[])


class RequestReader:
    """Reads the requests of one connection.

    While it waits for the first byte of a request, `idle_stream_by_scope` has its stream by its
    cancel scope, so that the server can close idle connections.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        protocol: h11.Connection,
        limits: Callable[[], HttpLimits],
        idle_stream_by_scope: dict[trio.CancelScope, trio.SocketStream],
        is_shutting_down: Callable[[], bool],
    ) -> None:
        self._stream = stream
        self._protocol = protocol
        self._current_limits = limits
        self._idle_stream_by_scope = idle_stream_by_scope
        self._is_shutting_down = is_shutting_down

    @property
    def _limits(self) -> HttpLimits:
        return self._current_limits()

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
        event = _parse(self._protocol)
        if event is h11.NEED_DATA:
            if not await self._wait_for_first_byte():
                return None
            event = await self._read_event(self._limits.header_timeout_s)
        if isinstance(event, h11.ConnectionClosed):
            return None
        if not isinstance(event, h11.Request):
            raise FaultError(RequestFault.MALFORMED)
        return event

    async def _wait_for_first_byte(self) -> bool:
        """Wait for input on an idle connection; return False if it is to be closed.

        A request that has already arrived is still read while the server shuts down.
        """
        if self._is_shutting_down() and not is_readable(self._stream):
            return False
        with trio.move_on_after(self._limits.idle_timeout_s) as scope:
            self._idle_stream_by_scope[scope] = self._stream
            try:
                data = await self._stream.receive_some(READ_SIZE_BYTES)
            finally:
                self._idle_stream_by_scope.pop(scope, None)
            self._protocol.receive_data(data)
            return bool(data)
        return False

    async def _read_body(self, head: h11.Request) -> bytes:
        if self._protocol.they_are_waiting_for_100_continue:
            await self._stream.send_all(self._protocol.send(_CONTINUE))
        parts: list[bytes] = []
        size = 0
        deadline = trio.current_time() + self._limits.body_timeout_s
        while True:
            left_s = max(0.0, deadline - trio.current_time())
            event = await self._read_event(left_s)
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise FaultError(RequestFault.MALFORMED)
            size += len(event.data)
            if size > self._limits.max_body_bytes:
                raise FaultError(RequestFault.BODY_TOO_LARGE)
            parts.append(bytes(event.data))

    async def _read_event(self, timeout_s: float) -> h11.Event:
        with trio.move_on_after(timeout_s):
            while True:
                event = _parse(self._protocol)
                if event is not h11.NEED_DATA:
                    return event
                self._protocol.receive_data(await self._stream.receive_some(READ_SIZE_BYTES))
        raise FaultError(RequestFault.REQUEST_TIMEOUT)


def _parse(protocol: h11.Connection) -> h11.Event:
    try:
        return protocol.next_event()
    except h11.RemoteProtocolError as error:
        too_large = error.error_status_hint == 431
        fault = RequestFault.HEADERS_TOO_LARGE if too_large else RequestFault.MALFORMED
        raise FaultError(fault) from error
