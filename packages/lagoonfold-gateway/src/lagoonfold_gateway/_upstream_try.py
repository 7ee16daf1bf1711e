"""One try of a forwarded request at one replica, up to the head of its answer.

The answer is only taken as the replica's if it bears the signature and the id of this request. A
status that says "not run" counts as such only with the replica's own mark.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from result import Err, Ok, Result

from lagoonfold.forwarding import AttemptOutcome, ReplicaSelection, engine_urgency
from lagoonfold_gateway._call import MILLISECONDS_PER_S, headers_to_forward
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._context import ForwardContext
from lagoonfold_gateway._journey import Journey
from lagoonfold_io import Headers, HttpError, HttpRequest, ResponseStream, SendStatus, find_header

MISDIRECTED = 421
PROMISES = (408, 429, 503)  # say "not run" to a caller, so they need the replica's own mark
MAX_IDLE_ONCE_S = 1.0  # an older connection may be closed by its server while a request is sent


@dataclass(frozen=True, slots=True, kw_only=True)
class TryFailure:
    """A try without an answer of the replica, and why."""

    outcome: AttemptOutcome
    reason: str


def build_request(
    journey: Journey, placement: ReplicaSelection, context: ForwardContext
) -> HttpRequest:
    """Return the request as it goes to a replica."""
    names = context.dialect.headers
    call = journey.call
    left_ms = max(1, int((journey.give_up_s - now_s()) * MILLISECONDS_PER_S))
    headers = list(headers_to_forward(call, names))
    headers.append((names.deadline_ms, str(left_ms)))
    headers.append((names.expected_replica, placement.replica.replica_id))
    if journey.account is not None:
        headers.append((names.account, journey.account.name))
    if journey.route.is_program_turn:
        urgency = engine_urgency(
            journey.rank, soft_deadline_s=journey.soft_deadline_s, now_s=now_s()
        )
        headers.append((names.urgency, str(urgency)))
    return HttpRequest(
        method=call.request.method,
        path=call.request.path,
        target=call.request.target,
        headers=tuple(headers),
        body=call.request.body,
    )


def resume_from(request: HttpRequest, name: str, last_event: int) -> HttpRequest:
    """Return a request that asks for the events after one that the caller has."""
    headers = tuple((key, value) for key, value in request.headers if key != name)
    return HttpRequest(
        method=request.method,
        path=request.path,
        target=request.target,
        headers=(*headers, (name, str(last_event))),
        body=request.body,
    )


@asynccontextmanager
async def try_upstream(
    journey: Journey,
    placement: ReplicaSelection,
    request: HttpRequest,
    context: ForwardContext,
    *,
    new_connection: bool,
) -> AsyncIterator[Result[ResponseStream, TryFailure]]:
    """Send a request to a replica and yield its answer for reading, or why there is none."""
    replica = placement.replica
    left_s = max(0.0, journey.give_up_s - now_s())
    max_idle_s = MAX_IDLE_ONCE_S if not journey.route.may_repeat else 60.0
    async with context.client.stream(
        replica.address,
        request,
        progress_timeout_s=left_s + 1.0,
        new_connection=new_connection,
        max_idle_s=max_idle_s,
    ) as opened:
        if isinstance(opened, Err):
            yield Err(_failure_of(opened.err_value))
            return
        response = opened.ok_value
        _note_load(response.head.headers, placement, context)
        refusal = _check_head(response, journey, context)
        yield Ok(response) if refusal is None else Err(refusal)


def _failure_of(error: HttpError) -> TryFailure:
    end = AttemptOutcome.UNREACHED if error.sent is SendStatus.NOT_SENT else AttemptOutcome.LOST
    if error.is_pool_exhausted:
        end = AttemptOutcome.FULL
    return TryFailure(outcome=end, reason=error.detail)


def _check_head(
    response: ResponseStream, journey: Journey, context: ForwardContext
) -> TryFailure | None:
    """Return why an answer is not one to pass on."""
    names = context.dialect.headers
    headers = response.head.headers
    status = response.head.status
    if status == MISDIRECTED:
        return TryFailure(
            outcome=AttemptOutcome.MISDIRECTED, reason="another replica has the address"
        )
    if find_header(headers, names.not_run) is not None:
        return TryFailure(outcome=AttemptOutcome.FULL, reason=f"not run, status {status}")
    echoed = find_header(headers, names.request_id)
    if echoed is not None and echoed != journey.call.request_id:
        return TryFailure(outcome=AttemptOutcome.LOST, reason=f"answer to request {echoed!r}")
    if find_header(headers, names.signature) is None:
        return TryFailure(outcome=AttemptOutcome.LOST, reason=f"unsigned answer of status {status}")
    if status in PROMISES:
        return TryFailure(
            outcome=AttemptOutcome.LOST, reason=f"status {status} without its promise"
        )
    if find_header(headers, "content-encoding") is not None:
        return TryFailure(outcome=AttemptOutcome.LOST, reason="encoded answer")
    return None


def _note_load(headers: Headers, placement: ReplicaSelection, context: ForwardContext) -> None:
    """Take in the replica's own count of running and waiting requests."""
    text = find_header(headers, context.dialect.headers.replica_load)
    counts = text.split(",") if text else []
    if len(counts) >= 2 and all(count.strip().isdigit() for count in counts[:2]):
        requests = int(counts[0]) + int(counts[1])
        context.loads.record_report(placement.replica.replica_id, requests, now_s=now_s())
