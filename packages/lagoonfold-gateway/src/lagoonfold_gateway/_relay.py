"""Passes the answer of a replica on to the caller.

A plain answer is read whole before its first byte goes out, so that one that breaks off can be
asked for again where that is allowed. A stream goes out event by event; a turn hands out no more
than its credit.
"""

from dataclasses import dataclass

import trio
from result import Err, Ok, Result

from lagoonfold.forwarding import AttemptOutcome, Event, EventError, EventFilter, ReplicaSelection
from lagoonfold_gateway._budget_desk import TurnHold
from lagoonfold_gateway._call import headers_to_return
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._context import ForwardContext
from lagoonfold_gateway._journey import Journey
from lagoonfold_gateway._upstream_try import TryFailure
from lagoonfold_io import Exchange, Headers, HttpResponse, ResponseStream, StreamError

CREDIT_POLL_S = 0.01  # while events wait for the turn's credit


@dataclass(slots=True)
class StreamState:
    """What of a stream the caller has, over all replicas that produced it."""

    events: EventFilter
    is_started: bool = False
    is_covering: bool = False


async def relay_plain(
    response: ResponseStream, journey: Journey, exchange: Exchange
) -> Result[None, TryFailure]:
    """Read a whole answer, then pass it on."""
    parts: list[bytes] = []
    try:
        while data := await response.read(use_timeout=False):
            parts.append(data)
    except StreamError as error:
        return Err(TryFailure(outcome=AttemptOutcome.LOST, reason=error.error.detail))
    journey.first_byte_s = now_s()
    journey.status = response.head.status
    headers = headers_to_return(response.head.headers)
    await exchange.respond(
        HttpResponse(status=response.head.status, headers=headers, body=b"".join(parts))
    )
    return Ok(None)


async def relay_stream(
    response: ResponseStream,
    state: StreamState,
    journey: Journey,
    placement: ReplicaSelection,
    exchange: Exchange,
    context: ForwardContext,
) -> Result[None, TryFailure]:
    """Pass a stream on as it arrives; an error leaves the caller's answer open for a resume."""
    began_s = now_s()
    events_before = state.events.passed_count
    try:
        while data := await response.read(use_timeout=False):
            for event in state.events.feed(data):
                await _hand_out(event, response, state, journey, exchange, context)
    except (StreamError, EventError) as error:
        state.events.discard_partial_event()
        return Err(TryFailure(outcome=AttemptOutcome.LOST, reason=str(error)))
    if state.events.has_partial_event:
        state.events.discard_partial_event()
        return Err(TryFailure(outcome=AttemptOutcome.LOST, reason="stream ends within an event"))
    if not state.is_started:
        await _start(response.head.status, response.head.headers, state, journey, exchange)
    await exchange.finish()
    _note_pace(journey, placement, context, began_s, state.events.passed_count - events_before)
    return Ok(None)


async def _hand_out(
    event: Event,
    response: ResponseStream,
    state: StreamState,
    journey: Journey,
    exchange: Exchange,
    context: ForwardContext,
) -> None:
    """Send one event, as soon as the turn's credit holds it."""
    hold = journey.hold
    if hold is not None:
        if hold.tally.needs_more_credit and not state.is_covering:
            state.is_covering = True
            context.nursery.start_soon(_cover, hold, state, context)
        while not hold.tally.try_consume():
            await trio.sleep(CREDIT_POLL_S)
    if not state.is_started:
        await _start(response.head.status, response.head.headers, state, journey, exchange)
    await exchange.send(event.data)


async def _cover(hold: TurnHold, state: StreamState, context: ForwardContext) -> None:
    await context.budgets.cover(hold)
    state.is_covering = False


async def _start(
    status: int, headers: Headers, state: StreamState, journey: Journey, exchange: Exchange
) -> None:
    state.is_started = True
    journey.first_byte_s = now_s()
    journey.status = status
    await exchange.start(status, headers_to_return(headers))


def _note_pace(
    journey: Journey,
    placement: ReplicaSelection,
    context: ForwardContext,
    began_s: float,
    events: int,
) -> None:
    """Learn the replica's pace from the time that its events took."""
    if events < 2 or journey.first_byte_s is None:
        return
    per_event_s = (now_s() - began_s) / events
    ratio = context.usual.note(journey.route.name, "event", per_event_s)
    context.loads.record_slowdown(placement.replica.replica_id, ratio, now_s=now_s())
