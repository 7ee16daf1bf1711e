"""The client of model engines that stream chat completions over HTTP.

Until its response begins, an engine is probed on new connections. If a probe is not answered, the
attempt fails at once; otherwise the engine has until `first_byte_timeout_s`. A stream that later
sends nothing for `SILENCE_TIMEOUT_S` is abandoned.
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
from lagoonfold_io import (
    HttpClient,
    HttpError,
    HttpRequest,
    ResponseHead,
    ResponseStream,
    SendStatus,
    find_header,
)
from lagoonfold_io import StreamError as HttpStreamError
from lagoonfold_node._upstreams._completion import (
    Completion,
    StreamError,
    check_end,
    check_events,
    parse_events,
)
from lagoonfold_node._upstreams._headers import RequestIdentity, upstream_headers

FIRST_BYTE_TIMEOUT_S = 30.0
SILENCE_TIMEOUT_S = 2.0
PROBE_AFTER_S = 1.0
PROBE_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 2.0
DRAIN_TIMEOUT_S = 0.2
MAX_EVENT_BYTES = 1_048_576
EVENT_STREAM = "text/event-stream"
NO_CODING = "identity"
JSON_HEADERS = (("content-type", "application/json"),)

_PROBE = HttpRequest(method="GET", path="/v1/load")


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamFailure:
    """An attempt that ended without a complete answer.

    `went_down`: the upstream no longer answers probes, so the request may have crashed it.
    `broke_off`: the connection broke, but the upstream answers a probe. `was_moved`: the attempt
    was cancelled here, to continue on a faster replica. `status` is the HTTP status, or zero.
    `was_sent` is False if no connection to the upstream was made.
    """

    detail: str
    ran: Ran
    went_down: bool = False
    status: int = 0
    was_moved: bool = False
    broke_off: bool = False
    was_sent: bool = True

    def is_refused(self) -> bool:
        """Return whether the upstream rejected the request with a 4xx status."""
        return HTTPStatus.BAD_REQUEST <= self.status < HTTPStatus.INTERNAL_SERVER_ERROR


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineCall:
    """A request for a completion; `body` holds the fields of the caller's request.

    A lower `priority` is served first, `cache_key` is the program's id, and `resume_from` is the
    number of tokens generated already. `move_requested` ends the wait for the response to begin.
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
    """Complete events as received; `is_last` if the end-of-stream event is among them."""

    raw: bytes
    is_last: bool


class EngineStream:
    """An engine's answer that is being read; each chunk that is returned is in `completion`."""

    def __init__(
        self,
        response: ResponseStream,
        completion: Completion,
        probe: Callable[[], Awaitable[bool]],
    ) -> None:
        self.completion = completion
        self._response = response
        self._probe = probe
        self._unparsed = b""

    async def drain(self) -> None:
        """Read the response to its end, so that the connection can be reused."""
        try:
            with trio.move_on_after(DRAIN_TIMEOUT_S):
                while await self._response.read():
                    pass
        except HttpStreamError:
            pass

    async def read(self) -> Result[EngineChunk, UpstreamFailure]:
        """Return the next events; the last chunk ends with the end-of-stream event.

        The caller enforces `SILENCE_TIMEOUT_S`, and calls `explain_silence` when it has passed.
        """
        while True:
            try:
                data = await self._response.read(use_timeout=False)
            except HttpStreamError as error:
                return Err(await failure_for_error(error.error, self._probe))
            if not data:
                return _failure("the stream ended before its last event")
            chunk = self._parse(self._unparsed + data if self._unparsed else data)
            if chunk is not None:
                return chunk

    async def explain_silence(self) -> UpstreamFailure:
        """Probe the engine of a silent stream and return the failure of the attempt."""
        went_down = not await self._probe()
        detail = f"silent for {SILENCE_TIMEOUT_S:g} s"
        return UpstreamFailure(detail=detail, ran=Ran.UNKNOWN, went_down=went_down)

    def _parse(self, buffer: bytes) -> Result[EngineChunk, UpstreamFailure] | None:
        events, size = parse_events(buffer)
        self._unparsed = buffer[size:]
        if len(self._unparsed) > MAX_EVENT_BYTES:
            return _failure("an event is too large")
        if not size:
            return None
        try:
            check_events(buffer[:size])
            check_end(events, self._unparsed)
            self.completion.add_events(events)
        except StreamError as error:
            return _failure(str(error))
        return Ok(EngineChunk(raw=buffer[:size], is_last=self.completion.is_done))


def _failure(detail: str, *, went_down: bool = False) -> Err[UpstreamFailure]:
    return Err(UpstreamFailure(detail=detail, ran=Ran.UNKNOWN, went_down=went_down))


def moved_failure() -> UpstreamFailure:
    """Return the failure of an attempt that was cancelled to continue on a faster replica."""
    return UpstreamFailure(detail="moved off a slow replica", ran=Ran.UNKNOWN, was_moved=True)


async def _cancel_on_move(move_requested: trio.Event, scope: trio.CancelScope) -> None:
    await move_requested.wait()
    scope.cancel()


async def failure_for_error(
    error: HttpError, probe: Callable[[], Awaitable[bool]]
) -> UpstreamFailure:
    """Return the failure for a request without a complete response.

    If the connection broke, a probe finds out whether the upstream went down.
    """
    was_sent = error.sent is not SendStatus.NOT_SENT
    has_broken = was_sent and not error.is_timeout
    went_down = has_broken and not await probe()
    return UpstreamFailure(
        was_sent=was_sent,
        detail=error.detail,
        ran=Ran.UNKNOWN if was_sent else Ran.NO,
        went_down=went_down,
        broke_off=has_broken and not went_down,
    )


class EngineClient:
    """Sends completion requests and orders to engines."""

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
            body=_encode_body(call),
        )
        opened: Result[ResponseStream, HttpError] | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._probe_while_silent, call.address, nursery.cancel_scope)
            nursery.start_soon(_cancel_on_move, call.move_requested, nursery.cancel_scope)
            stream = self._client.stream(
                call.address, request, progress_timeout_s=call.first_byte_timeout_s
            )
            opened = await stack.enter_async_context(stream)
            nursery.cancel_scope.cancel()
        if opened is None and call.move_requested.is_set():
            return Err(moved_failure())
        if opened is None:
            return _failure("silent, and does not answer a probe", went_down=True)
        if isinstance(opened, Err):
            probe = partial(self._probe, call.address)
            return Err(await failure_for_error(opened.err_value, probe))
        response = opened.ok_value
        if response.head.status != HTTPStatus.OK:
            return await _status_failure(response)
        unfit = _describe_unfit_head(response.head)
        if unfit is not None:
            return _failure(unfit)
        return Ok(EngineStream(response, completion, partial(self._probe, call.address)))

    async def _probe_while_silent(self, address: str, scope: trio.CancelScope) -> None:
        """Probe a silent engine on new connections; cancel the wait when it does not answer."""
        while True:
            await trio.sleep(PROBE_AFTER_S)
            if not await self._probe(address):
                scope.cancel()
                return

    async def _probe(self, address: str) -> bool:
        """Return whether an engine answers on a new connection."""
        probed = await self._client.fetch(
            address, _PROBE, timeout_s=PROBE_TIMEOUT_S, new_connection=True
        )
        return isinstance(probed, Ok)

    async def order(
        self, address: str, order: dict[str, str], identity: RequestIdentity
    ) -> Result[int, UpstreamFailure]:
        """Send an order with the identity's fencing number; return the engine's HTTP status."""
        request = HttpRequest(
            method="POST",
            path="/v1/orders",
            headers=upstream_headers(identity, JSON_HEADERS),
            body=msgspec.json.encode({**order, "fencing": identity.fencing}),
        )
        answer = await self._client.fetch(address, request, timeout_s=CONTROL_TIMEOUT_S)
        if isinstance(answer, Err):
            return Err(await failure_for_error(answer.err_value, partial(self._probe, address)))
        return Ok(answer.ok_value.status)


def _encode_body(call: EngineCall) -> bytes:
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


def _describe_unfit_head(head: ResponseHead) -> str | None:
    """Return why an answer is no event stream, or None; one without a media type may be one."""
    media_type = find_header(head.headers, "content-type") or EVENT_STREAM
    if media_type.partition(";")[0].strip().lower() != EVENT_STREAM:
        return f"media type {media_type!r} in place of {EVENT_STREAM}"
    coding = find_header(head.headers, "content-encoding") or NO_CODING
    if coding.strip().lower() != NO_CODING:
        return f"content coding {coding!r} that was not asked for"
    return None


async def _status_failure(response: ResponseStream) -> Err[UpstreamFailure]:
    """Read what arrives of a response that is not OK, and return its failure."""
    status = response.head.status
    try:
        with trio.move_on_after(SILENCE_TIMEOUT_S):
            await response.read()
    except HttpStreamError:
        pass
    return Err(UpstreamFailure(detail=f"status {status}", ran=Ran.UNKNOWN, status=status))
