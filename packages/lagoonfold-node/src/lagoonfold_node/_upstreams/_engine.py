"""The adapter to model engines that speak streamed chat completions over HTTP.

A stream that makes no progress is probed for on a new connection. An engine that does not answer
the probe is given up at once; one that does keeps its time to the first token, but a stream that
falls silent after that is given up, with its connection and the older ones.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from typing import Any

import msgspec
import trio
from result import Err, Ok, Result

from lagoonfold import Ran
from lagoonfold_io import HttpClient, HttpError, HttpRequest, ResponseStream, SendStatus
from lagoonfold_io import StreamError as HttpStreamError
from lagoonfold_node._upstreams._completion import Completion, StreamError, parse_events
from lagoonfold_node._upstreams._headers import RequestIdentity, upstream_headers

FIRST_BYTE_TIMEOUT_S = 30.0
SILENCE_TIMEOUT_S = 2.0
PROBE_AFTER_S = 1.0
PROBE_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 2.0
DRAIN_TIMEOUT_S = 0.2
MAX_EVENT_BYTES = 1_048_576
JSON_HEADERS = (("content-type", "application/json"),)

_PROBE = HttpRequest(method="GET", path="/v1/load")


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamFailure:
    """A try that brought no whole answer.

    `went_down` says that the upstream answers no probe any more, so that the request may have taken
    it down; `broke_off` that its connection broke, but a new one is answered. `status` is the
    upstream's HTTP status, or zero. `was_moved` says that the try was ended here, to go on at a
    faster replica.
    """

    detail: str
    ran: Ran
    went_down: bool = False
    status: int = 0
    was_moved: bool = False
    broke_off: bool = False

    def is_refused(self) -> bool:
        """Tell whether the upstream is well and found fault with the request."""
        return HTTPStatus.BAD_REQUEST <= self.status < HTTPStatus.INTERNAL_SERVER_ERROR


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineCall:
    """A request for a completion; `body` holds the fields of the caller's request.

    `priority` is lower first, `cache_key` is the program's id, and `resume_from` is the number of
    tokens that are there already. `move_requested` ends the wait for the first token.
    """

    address: str
    identity: RequestIdentity
    body: dict[str, Any]
    priority: int
    cache_key: str
    resume_from: int = 0
    first_byte_timeout_s: float = FIRST_BYTE_TIMEOUT_S
    move_requested: trio.Event = field(default_factory=trio.Event)


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineChunk:
    """Whole events as they came, with the final one marked."""

    raw: bytes
    is_last: bool


class EngineStream:
    """An engine's answer being read; `completion` grows with each chunk."""

    def __init__(
        self,
        response: ResponseStream,
        completion: Completion,
        probe: Callable[[], Awaitable[bool]],
    ) -> None:
        self.completion = completion
        self._response = response
        self._probe = probe
        self._rest = b""

    async def drain(self) -> None:
        """Read the end of the response, so that the connection can be kept."""
        try:
            with trio.move_on_after(DRAIN_TIMEOUT_S):
                while await self._response.read():
                    pass
        except HttpStreamError:
            pass

    async def read(self) -> Result[EngineChunk, UpstreamFailure]:
        """Return the next events; the last chunk ends with the end-of-stream event.

        The caller keeps the time, and asks `explain_silence` when it is over.
        """
        while True:
            try:
                data = await self._response.read(use_timeout=False)
            except HttpStreamError as error:
                return Err(await failure_of(error.error, self._probe))
            if not data:
                return _failed("the stream ended before its last event")
            chunk = self._parse(self._rest + data if self._rest else data)
            if chunk is not None:
                return chunk

    async def explain_silence(self) -> UpstreamFailure:
        """Return the failure of a stream that fell silent, after a probe of its engine."""
        went_down = not await self._probe()
        detail = f"silent for {SILENCE_TIMEOUT_S:g} s"
        return UpstreamFailure(detail=detail, ran=Ran.UNKNOWN, went_down=went_down)

    def _parse(self, buffer: bytes) -> Result[EngineChunk, UpstreamFailure] | None:
        events, size = parse_events(buffer)
        self._rest = buffer[size:]
        if len(self._rest) > MAX_EVENT_BYTES:
            return _failed("an event is too large")
        if not size:
            return None
        try:
            for event in events:
                self.completion.add(event)
        except StreamError as error:
            return _failed(str(error))
        return Ok(EngineChunk(raw=buffer[:size], is_last=self.completion.is_done))


def _failed(detail: str, *, went_down: bool = False) -> Err[UpstreamFailure]:
    return Err(UpstreamFailure(detail=detail, ran=Ran.UNKNOWN, went_down=went_down))


def moved_failure() -> UpstreamFailure:
    """Return the failure of a try that was ended to go on at a faster replica."""
    return UpstreamFailure(detail="moved off a slow replica", ran=Ran.UNKNOWN, was_moved=True)


async def _await_move(move_requested: trio.Event, scope: trio.CancelScope) -> None:
    await move_requested.wait()
    scope.cancel()


async def failure_of(error: HttpError, probe: Callable[[], Awaitable[bool]]) -> UpstreamFailure:
    """Return the failure for a request that got no whole response.

    Where the connection broke, a probe tells an upstream that is gone from one that lives.
    """
    was_sent = error.sent is not SendStatus.NOT_SENT
    has_broken = was_sent and not error.is_timeout
    went_down = has_broken and not await probe()
    return UpstreamFailure(
        detail=error.detail,
        ran=Ran.UNKNOWN if was_sent else Ran.NO,
        went_down=went_down,
        broke_off=has_broken and not went_down,
    )


class EngineClient:
    """Sends completions, cache orders and role orders to engines."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    @asynccontextmanager
    async def open(
        self, call: EngineCall, completion: Completion
    ) -> AsyncIterator[Result[EngineStream, UpstreamFailure]]:
        """Send a request and yield its stream; leaving the block early cancels the request."""
        async with AsyncExitStack() as stack:
            yield await self._start(stack, call, completion)

    async def _start(
        self, stack: AsyncExitStack, call: EngineCall, completion: Completion
    ) -> Result[EngineStream, UpstreamFailure]:
        request = HttpRequest(
            method="POST",
            path="/v1/chat/completions",
            headers=upstream_headers(call.identity, JSON_HEADERS),
            body=_encode(call),
        )
        opened: Result[ResponseStream, HttpError] | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, call.address, nursery.cancel_scope)
            nursery.start_soon(_await_move, call.move_requested, nursery.cancel_scope)
            stream = self._client.stream(
                call.address, request, progress_timeout_s=call.first_byte_timeout_s
            )
            opened = await stack.enter_async_context(stream)
            nursery.cancel_scope.cancel()
        if opened is None and call.move_requested.is_set():
            return Err(moved_failure())
        if opened is None:
            return _failed("silent, and answers no probe", went_down=True)
        if isinstance(opened, Err):
            probe = partial(self._probe, call.address)
            return Err(await failure_of(opened.err_value, probe))
        response = opened.ok_value
        if response.head.status != HTTPStatus.OK:
            return await _refused(response)
        return Ok(EngineStream(response, completion, partial(self._probe, call.address)))

    async def _watch(self, address: str, scope: trio.CancelScope) -> None:
        """Probe a silent engine on new connections; cancel the wait for one that is gone."""
        while True:
            await trio.sleep(PROBE_AFTER_S)
            if not await self._probe(address):
                scope.cancel()
                return

    async def _probe(self, address: str) -> bool:
        """Tell whether an engine answers on a new connection."""
        probed = await self._client.fetch(
            address, _PROBE, timeout_s=PROBE_TIMEOUT_S, new_connection=True
        )
        return isinstance(probed, Ok)

    async def order(
        self, address: str, order: dict[str, str], identity: RequestIdentity
    ) -> Result[int, UpstreamFailure]:
        """Give an order under the identity's fencing number; return the engine's status."""
        request = HttpRequest(
            method="POST",
            path="/v1/orders",
            headers=upstream_headers(identity, JSON_HEADERS),
            body=msgspec.json.encode({**order, "fencing": identity.fencing}),
        )
        answer = await self._client.fetch(address, request, timeout_s=CONTROL_TIMEOUT_S)
        if isinstance(answer, Err):
            return Err(await failure_of(answer.err_value, partial(self._probe, address)))
        return Ok(answer.ok_value.status)


def _encode(call: EngineCall) -> bytes:
    body = {
        **call.body,
        "stream": True,
        "stream_options": {"include_usage": True},
        "priority": call.priority,
        "cache_key": call.cache_key,
    }
    if call.resume_from:
        body["resume_from"] = call.resume_from
    return msgspec.json.encode(body)


async def _refused(response: ResponseStream) -> Err[UpstreamFailure]:
    """Return the failure for a response whose status says that there is no answer."""
    status = response.head.status
    try:
        with trio.move_on_after(SILENCE_TIMEOUT_S):
            await response.read()
    except HttpStreamError:
        pass
    return Err(UpstreamFailure(detail=f"status {status}", ran=Ran.UNKNOWN, status=status))
