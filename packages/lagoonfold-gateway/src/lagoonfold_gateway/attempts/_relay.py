"""Relays the answer of a replica to the caller.

A plain answer is read to its end before its first byte is sent, so that the request can be
attempted again, if that is allowed, when the answer breaks off. One of more than
`MAX_HELD_BYTES`, which may have no end, is relayed as it arrives instead. A stream is relayed event
by event; after some events of one read, other requests get processor time. A turn delivers no more
tokens than its credit, and one whose replica sends more than it may have is broken off.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from result import Err, Ok, Result

from lagoonfold.forwarding import (
    AttemptOutcome,
    Event,
    EventError,
    EventFilter,
    StreamOrigin,
)
from lagoonfold.histories import text_of_event
from lagoonfold_gateway._budget_client import AdmittedTurn
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._context import ForwardContext
from lagoonfold_gateway._parsed_request import headers_to_return
from lagoonfold_gateway._request_state import RequestState
from lagoonfold_gateway.attempts._upstream_attempt import AttemptFailure
from lagoonfold_gateway.histories._history_client import MAX_TURN_BYTES
from lagoonfold_io import Exchange, HttpResponse, ResponseHead, ResponseStream, StreamError

MAX_HELD_BYTES = 262_144  # of a plain answer; an instance has about 1 MB for each request
MIN_EVENTS_FOR_PACE = 2  # the time of the first one includes waiting and reading the prompt
CREDIT_POLL_S = 0.01  # while an event waits for credit


class _TurnOverError(EventError):
    """Raised for a turn whose replica sends more than the turn may have."""


@dataclass(slots=True)
class StreamState:
    """The events of a stream that the caller has received, over all attempts.

    `delivered_id` is the number of the last event that the caller has; one that `has_unnumbered`
    events cannot go on, as another attempt would bring these again. `origin` is where the stream
    began, None if it has not begun or may go on anywhere. The last attempt has
    `ended_without_event` if its answer was whole and brought nothing. The head and the last events
    of a whole answer are held until its turn is durable, if that is to be kept. What comes before
    the first event with content is held until that arrives, in `lead`. `on_start` is called before
    anything is sent.
    """

    events: EventFilter
    delivered_id: int | None = None
    origin: StreamOrigin | None = None
    is_started: bool = False
    has_unnumbered: bool = False
    ended_without_event: bool = False
    is_requesting_credit: bool = False
    lead: bytes = b""
    held_events: list[Event] = field(default_factory=list)
    held_head: ResponseHead | None = None
    on_start: Callable[[], None] = lambda: None


async def relay_plain(
    response: ResponseStream, request_state: RequestState, exchange: Exchange
) -> Result[None, AttemptFailure]:
    """Read an answer to its end, then relay it; relay a large one as it arrives."""
    held = bytearray()
    try:
        while data := await response.read(use_timeout=False):
            held += data
            if len(held) > MAX_HELD_BYTES:
                return await _relay_large(bytes(held), response, request_state, exchange)
    except StreamError as error:
        return Err(AttemptFailure(outcome=AttemptOutcome.LOST, reason=error.error.detail))
    request_state.first_byte_s = now_s()
    request_state.status = response.head.status
    headers = headers_to_return(response.head.headers)
    await exchange.respond(
        HttpResponse(status=response.head.status, headers=headers, body=bytes(held))
    )
    return Ok(None)


async def _relay_large(
    held: bytes, response: ResponseStream, request_state: RequestState, exchange: Exchange
) -> Result[None, AttemptFailure]:
    """Relay an answer as it arrives, from its first bytes on; it cannot be attempted again."""
    request_state.first_byte_s = now_s()
    request_state.status = response.head.status
    await exchange.start(response.head.status, headers_to_return(response.head.headers))
    await exchange.send(held)
    try:
        while data := await response.read(use_timeout=False):
            await exchange.send(data)
    except StreamError as error:
        reason = error.error.detail
        return Err(
            AttemptFailure(outcome=AttemptOutcome.LOST, reason=reason, has_begun_answer=True)
        )
    await exchange.finish()
    return Ok(None)


async def relay_stream(
    response: ResponseStream,
    state: StreamState,
    request_state: RequestState,
    exchange: Exchange,
    context: ForwardContext,
) -> Result[None, AttemptFailure]:
    """Relay a stream as it arrives; after a failure, the answer stays open for a resumption.

    An end without a new event counts once another attempt has ended so too. The end of a turn that
    is to be kept, with the events that come together with it, is left to `finish_kept_turn`.
    """
    began_s = now_s()
    events_before = state.events.passed_count
    try:
        while data := await response.read(use_timeout=False):
            await _relay_data(data, response, state, request_state, exchange, context)
        if state.events.has_partial_event:
            return _broken_stream("stream ends within an event", state)
        _check_held(state.held_events, request_state)
        _collect_text(state.held_events, request_state)
    except (StreamError, EventError) as error:
        return _broken_stream(str(error), state, is_over=isinstance(error, _TurnOverError))
    event_count = state.events.passed_count - events_before
    if not event_count and not _is_end(state, request_state):
        state.ended_without_event = True
        return _broken_stream("stream ends without an event", state, shows_fault=False)
    if event_count >= MIN_EVENTS_FOR_PACE:
        request_state.event_s = (now_s() - began_s) / event_count
    if request_state.route.keeps_history:
        state.held_head = response.head
    else:
        await _finish(response.head, state, request_state, exchange)
    return Ok(None)


def _is_end(state: StreamState, request_state: RequestState) -> bool:
    """Return whether an answer that brings no event ends the stream.

    A sound replica that is asked for the events after the last one answers so, but so does one in
    trouble, unless the turn has all tokens that it may have. A stream has an event at least.
    """
    is_whole = state.is_started and _is_over(request_state)
    return is_whole or (state.ended_without_event and state.delivered_id is not None)


async def _relay_data(
    data: bytes,
    response: ResponseStream,
    state: StreamState,
    request_state: RequestState,
    exchange: Exchange,
    context: ForwardContext,
) -> None:
    """Relay the events of one read, some at a time; let other tasks run in between."""
    events = state.events.feed(data)
    while True:
        if request_state.route.keeps_history and response.is_complete():
            state.held_events += events
        else:
            _collect_text(events, request_state)
            await _deliver(events, response.head, state, request_state, exchange, context)
        if not state.events.has_more:
            return
        await trio.lowlevel.checkpoint()
        events = state.events.feed()


def _broken_stream(
    reason: str, state: StreamState, *, is_over: bool = False, shows_fault: bool = True
) -> Result[None, AttemptFailure]:
    """Return the failure of a stream; one that `is_over` has had all that it may have."""
    state.events.rewind(state.delivered_id)
    state.held_events.clear()
    state.lead = b""
    return Err(
        AttemptFailure(
            outcome=AttemptOutcome.LOST,
            reason=reason,
            has_begun_answer=is_over,
            shows_fault=shows_fault,
        )
    )


async def finish_kept_turn(
    state: StreamState, request_state: RequestState, exchange: Exchange, context: ForwardContext
) -> None:
    """Make a turn durable whose answer the replica has ended, then end the answer."""
    if state.held_head is None:
        return
    began_s = now_s()
    try:
        await context.history_client.keep(
            request_state.kept_turn(),
            request_state.chain,
            retention_s=request_state.route.retention_s,
        )
    finally:
        request_state.keep_wait_s = now_s() - began_s
    await _deliver(state.held_events, state.held_head, state, request_state, exchange, context)
    await _finish(state.held_head, state, request_state, exchange)


async def _finish(
    head: ResponseHead, state: StreamState, request_state: RequestState, exchange: Exchange
) -> None:
    if not state.is_started:
        await _start(head, state, request_state, exchange)
        await exchange.send(state.lead)
    await exchange.finish()


def _check_held(events: list[Event], request_state: RequestState) -> None:
    """Raise `_TurnOverError` if held events have more tokens than the turn may have."""
    turn = request_state.admitted_turn
    count = sum(event.has_content for event in events)
    if turn is not None and not turn.credit_meter.covers(count):
        raise _TurnOverError("held events of more tokens than the turn may have")


def _collect_text(events: list[Event], request_state: RequestState) -> None:
    if not request_state.route.keeps_history:
        return
    for event in events:
        request_state.answer_text += text_of_event(event.data)
    if len(request_state.answer_text) > MAX_TURN_BYTES:
        raise EventError(f"answer of more than {MAX_TURN_BYTES} bytes to a turn that is kept")


async def _deliver(
    events: list[Event],
    head: ResponseHead,
    state: StreamState,
    request_state: RequestState,
    exchange: Exchange,
    context: ForwardContext,
) -> None:
    """Send events to the caller as soon as the turn's credit allows it."""
    ready = bytearray()
    for event in events:
        if not event.has_content:
            if state.is_started or ready:
                ready += event.data
            else:
                state.lead += event.data
            continue
        if _is_over(request_state):
            await _send(ready, head, state, request_state, exchange)
            raise _TurnOverError("events of more tokens than the turn may have")
        if not _may_deliver(state, request_state, context):
            await _send(ready, head, state, request_state, exchange)
            ready.clear()
            while not _may_deliver(state, request_state, context):
                await trio.sleep(CREDIT_POLL_S)
        ready += event.data
        state.ended_without_event = False
        if event.number is not None:
            state.delivered_id = event.number
        else:
            state.has_unnumbered = True
    await _send(ready, head, state, request_state, exchange)


def _is_over(request_state: RequestState) -> bool:
    """Return whether the turn has delivered all tokens that it may have."""
    turn = request_state.admitted_turn
    return turn is not None and turn.credit_meter.is_over


def _may_deliver(state: StreamState, request_state: RequestState, context: ForwardContext) -> bool:
    """Return whether the turn's credit allows one more event, and count it then."""
    admitted_turn = request_state.admitted_turn
    if admitted_turn is None:
        return True
    meter = admitted_turn.credit_meter
    if meter.needs_more_credit and not state.is_requesting_credit:
        state.is_requesting_credit = True
        context.nursery.start_soon(_request_credit, admitted_turn, state, context)
    return meter.try_consume()


async def _send(
    ready: bytearray,
    head: ResponseHead,
    state: StreamState,
    request_state: RequestState,
    exchange: Exchange,
) -> None:
    """Send what is ready, after the head and what came before the first event."""
    if not ready:
        return
    if not state.is_started:
        await _start(head, state, request_state, exchange)
        ready[:0] = state.lead
    request_state.last_event_s = now_s()
    await exchange.send(bytes(ready))


async def _request_credit(
    admitted_turn: AdmittedTurn, state: StreamState, context: ForwardContext
) -> None:
    await context.budget_client.request_more_credit(admitted_turn)
    state.is_requesting_credit = False


async def _start(
    head: ResponseHead, state: StreamState, request_state: RequestState, exchange: Exchange
) -> None:
    state.on_start()
    state.is_started = True
    request_state.first_byte_s = now_s()
    request_state.status = head.status
    await exchange.start(head.status, headers_to_return(head.headers))
