"""An in-process replica that refuses, delays, loses or cuts answers as a test requests.

It uses the gateway's default header names and counts the executions of each request.
"""

from collections import Counter
from dataclasses import dataclass, field

import trio

from lagoonfold_gateway import DEFAULT_DIALECT
from lagoonfold_io import Exchange, HttpRequest, HttpResponse, HttpServer

NAMES = DEFAULT_DIALECT.headers
EVENTS = 5


@dataclass(slots=True)
class Behaviour:
    """How the replica treats requests; times are in seconds.

    The next `refusals` requests are refused as not run, the `losses` requests after them run and
    have their connection closed without an answer, the `silences` after these run and get nothing.
    One stream is cut in the middle of the event that follows the first `break_after` events, or
    before its end if there is none. With `trickle_pause_s`, streams get a byte of a comment at such
    pauses in place of events. A request whose body equals `crashes_on` stops the replica.
    `wrong_id` makes answers carry the id of another request. The next `late_copies` answers are
    sent a second time, just before the next answer on the same connection. Each answer names the
    limits in `limits`, one header for each, and says in `leaving` whether the replica leaves,
    unless that is None. The headers `load`, `cold` and `keep_alive` are sent as they stand here,
    unless they are None. The bytes in `stale` precede the next answer on a connection that has
    served another request.
    """

    refusals: int = 0
    losses: int = 0
    silences: int = 0
    break_after: int | None = None
    answer_after_s: float = 0.0
    event_pause_s: float = 0.0
    trickle_pause_s: float | None = None
    wrong_id: bool = False
    late_copies: int = 0
    crashes_on: bytes | None = None
    limits: tuple[str, ...] = ()
    leaving: str | None = None
    stale: bytes = b""
    load: str | None = None
    cold: str | None = None
    keep_alive: str | None = None


@dataclass(slots=True)
class Replica:
    """One replica and the requests that it ran; `abandoned` counts those cancelled meanwhile.

    `running` counts those that are in progress.
    """

    replica_id: str
    behaviour: Behaviour = field(default_factory=Behaviour)
    runs_by_request: Counter[str] = field(default_factory=Counter)
    requests: list[HttpRequest] = field(default_factory=list)
    abandoned: int = 0
    running: int = 0
    address: str = ""
    _scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    _used_streams: set[trio.SocketStream] = field(default_factory=set)
    _late_copy_by_stream: dict[trio.SocketStream, bytes] = field(default_factory=dict)

    async def serve(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        server = HttpServer(self._handle)
        async with trio.open_nursery() as nursery:
            self._scope = nursery.cancel_scope
            port = await nursery.start(server.serve, "127.0.0.1", 0)
            self.address = f"127.0.0.1:{port}"
            task_status.started()

    def stop(self) -> None:
        """Stop serving; new connections are refused."""
        self._scope.cancel()

    async def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        if request.header(NAMES.expected_replica) not in (None, self.replica_id):
            await exchange.respond(HttpResponse(status=421))
            return
        if self.behaviour.refusals:
            self.behaviour.refusals -= 1
            request_id = request.header(NAMES.request_id) or ""
            headers = ((NAMES.request_id, request_id), (NAMES.not_run, "1"))
            await self._respond(HttpResponse(status=503, headers=headers), exchange)
            return
        self.requests.append(request)
        self.runs_by_request[request.header(NAMES.request_id) or ""] += 1
        self.running += 1
        try:
            await self._run(request, exchange)
        except trio.Cancelled:
            self.abandoned += 1
            raise
        finally:
            self.running -= 1

    async def _run(self, request: HttpRequest, exchange: Exchange) -> None:
        stream = exchange._stream
        if self.behaviour.stale and stream in self._used_streams:
            stale, self.behaviour.stale = self.behaviour.stale, b""
            await stream.send_all(stale)
        self._used_streams.add(stream)
        if self.behaviour.crashes_on is not None and request.body == self.behaviour.crashes_on:
            self.stop()
        await trio.sleep(self.behaviour.answer_after_s)
        if self.behaviour.losses:
            self.behaviour.losses -= 1
            exchange.abort()
            return
        if self.behaviour.silences:
            self.behaviour.silences -= 1
            await trio.sleep_forever()
        request_id = request.header(NAMES.request_id) or ""
        echoed = "another" if self.behaviour.wrong_id else request_id
        headers = (
            (NAMES.request_id, echoed),
            (NAMES.signature, self.replica_id),
            *((NAMES.replica_limit, limit) for limit in self.behaviour.limits),
        )
        for name, value in (
            (NAMES.replica_leaving, self.behaviour.leaving),
            (NAMES.replica_load, self.behaviour.load),
            (NAMES.replica_cold, self.behaviour.cold),
            ("keep-alive", self.behaviour.keep_alive),
        ):
            if value is not None:
                headers = (*headers, (name, value))
        if request.path.startswith("/turns/"):
            await self._stream(request, exchange, headers)
        else:
            body = b"echo:" + request.body
            await self._respond(HttpResponse(status=200, headers=headers, body=body), exchange)

    async def _respond(self, response: HttpResponse, exchange: Exchange) -> None:
        """Send the late copy of an earlier answer on this connection, if any, then the answer."""
        stream = exchange._stream
        late_copy = self._late_copy_by_stream.pop(stream, b"")
        if late_copy:
            await stream.send_all(late_copy)
        if self.behaviour.late_copies:
            self.behaviour.late_copies -= 1
            self._late_copy_by_stream[stream] = _encode(response)
        await exchange.respond(response)

    async def _stream(
        self, request: HttpRequest, exchange: Exchange, headers: tuple[tuple[str, str], ...]
    ) -> None:
        await exchange.start(200, headers)
        while self.behaviour.trickle_pause_s is not None:
            await exchange.send(b":")
            await trio.sleep(self.behaviour.trickle_pause_s)
        first = int(request.header(NAMES.last_event) or 0) + 1
        for number in range(first, EVENTS + 1):
            await trio.sleep(self.behaviour.event_pause_s)
            event = b"id: %d\ndata: part %d\n\n" % (number, number)
            if self.behaviour.break_after == number - 1:
                self.behaviour.break_after = None
                await exchange.send(event[:6])
                exchange.abort()
                return
            await exchange.send(event)
        if self.behaviour.break_after == EVENTS:
            self.behaviour.break_after = None
            exchange.abort()
            return
        await exchange.finish()


def _encode(response: HttpResponse) -> bytes:
    lines = [f"HTTP/1.1 {response.status} Copy", f"content-length: {len(response.body)}"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    return "\r\n".join([*lines, "", ""]).encode() + response.body
