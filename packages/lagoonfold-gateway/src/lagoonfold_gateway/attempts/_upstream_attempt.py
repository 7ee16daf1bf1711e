"""One attempt of a forwarded request at one replica, up to the head of the answer.

An answer counts only if the request id that it echoes is that of this request: a replica may send a
second copy of an earlier answer late, on the same connection. One without an id counts on a new
connection only. An answer is accepted only with the replica's signature header. A status that says
"not run" counts as such only with the replica's not-run header. A success on a route for streams is
accepted only if its head is that of an event stream, whether it begins one or goes on.
"""

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from lagoonfold import parse_count
from lagoonfold.forwarding import (
    AttemptOutcome,
    RouteKind,
    engine_urgency,
)
from lagoonfold.placement import ReplicaSelection
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._context import ForwardContext
from lagoonfold_gateway._dialect import HeaderNames
from lagoonfold_gateway._parsed_request import MILLISECONDS_PER_S, headers_to_forward
from lagoonfold_gateway._replica_caller import CallOptions
from lagoonfold_gateway._request_state import RequestState
from lagoonfold_io import (
    Headers,
    HttpError,
    HttpRequest,
    ResponseHead,
    ResponseStream,
    SendStatus,
    find_header,
)

OK = 200
SUCCESS_BELOW = 300
MISDIRECTED = 421
NOT_RUN_STATUSES = (408, 429, 503)  # promise "not run" to a caller, so they need that header
EVENT_STREAM = "text/event-stream"
MAX_IDLE_AT_MOST_ONCE_S = 1.0  # a server may close a longer idle connection as a request is sent


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailure:
    """The outcome of an attempt without a usable answer, and the reason.

    `has_begun_answer` is set if the caller has a part of a plain answer, which cannot be continued.
    A failure that `shows_fault` counts against its replica.
    """

    outcome: AttemptOutcome
    reason: str
    has_begun_answer: bool = False
    shows_fault: bool = True


def build_request(
    request_state: RequestState, selection: ReplicaSelection, context: ForwardContext
) -> HttpRequest:
    """Return the request to send to the selected replica."""
    names = context.dialect.headers
    parsed = request_state.parsed
    left_ms = max(1, int((request_state.answer_deadline_s - now_s()) * MILLISECONDS_PER_S))
    headers = list(headers_to_forward(parsed, names))
    headers.append((names.deadline_ms, str(left_ms)))
    headers.append((names.expected_replica, selection.replica.replica_id))
    if request_state.account is not None:
        headers.append((names.account, request_state.account.name))
    if request_state.route.is_program_turn:
        urgency = engine_urgency(
            request_state.rank, soft_deadline_s=request_state.soft_deadline_s, now_s=now_s()
        )
        headers.append((names.urgency, str(urgency)))
    return HttpRequest(
        method=parsed.request.method,
        path=parsed.request.path,
        target=parsed.request.target,
        headers=tuple(headers),
        body=parsed.request.body,
        lead_parts=request_state.prompt_parts,
    )


def resume_from(request: HttpRequest, name: str, last_event: int) -> HttpRequest:
    """Return a request for the events after the last one that the caller has."""
    headers = tuple((key, value) for key, value in request.headers if key != name)
    return replace(request, headers=(*headers, (name, str(last_event))))


@asynccontextmanager
async def attempt_upstream(
    request_state: RequestState,
    selection: ReplicaSelection,
    request: HttpRequest,
    context: ForwardContext,
    *,
    new_connection: bool,
    head_limit_s: float | None = None,
) -> AsyncIterator[Result[ResponseStream, AttemptFailure]]:
    """Send a request to a replica; yield the answer for reading, or the failure.

    An answer without a head after `head_limit_s` counts as lost.
    """
    replica, caller = selection.replica, context.replica_caller
    began_s = now_s()
    left_s = max(0.0, request_state.answer_deadline_s - began_s)
    max_idle_s = MAX_IDLE_AT_MOST_ONCE_S if not request_state.route.may_repeat else 60.0
    options = CallOptions(
        timeout_s=min(left_s + 1.0, math.inf if head_limit_s is None else head_limit_s),
        is_repeatable=request_state.route.may_repeat,
        new_connection=new_connection,
        max_idle_s=max_idle_s,
        is_own=lambda headers: _foreign_id(headers, request_state, context) is None,
    )
    async with caller.call(replica.address, request, options) as call:
        request_state.via, request_state.is_path_fault = call.via, call.is_path_fault
        if isinstance(call.answer, Err):
            yield Err(_failure_of(call.answer.err_value))
            return
        response = call.answer.ok_value
        request_state.head_s = now_s() - began_s
        media_type = find_header(response.head.headers, "content-type")
        request_state.answer_kind = f"{response.head.status},{media_type}"
        request_state.reported_load = _reported_load(response.head.headers, context)
        statements = context.replica_statements
        request_state.reported_pace = statements.told_pace(replica, response.head.headers)
        request_state.named_limits = statements.named_limits(response.head.headers)
        refusal = _check_head(response, request_state, context)
        if refusal is None or refusal.outcome is AttemptOutcome.FULL:
            request_state.cold_until_s = statements.apply(replica, response.head.headers)
        yield Ok(response) if refusal is None else Err(refusal)


def _failure_of(error: HttpError) -> AttemptFailure:
    outcome = AttemptOutcome.UNREACHED if error.sent is SendStatus.NOT_SENT else AttemptOutcome.LOST
    if error.is_pool_exhausted:
        outcome = AttemptOutcome.FULL
    return AttemptFailure(outcome=outcome, reason=error.detail)


def _check_head(
    response: ResponseStream, request_state: RequestState, context: ForwardContext
) -> AttemptFailure | None:
    """Return the failure if the answer must not be relayed, otherwise None."""
    names = context.dialect.headers
    headers = response.head.headers
    status = response.head.status
    foreign_id = _foreign_id(headers, request_state, context)
    if foreign_id is not None:
        reason = f"answer to request {foreign_id!r}"
        return AttemptFailure(outcome=AttemptOutcome.LOST, reason=reason)
    if not _is_certainly_own(response, request_state, context):
        return AttemptFailure(
            outcome=AttemptOutcome.LOST,
            reason=f"status {status} without the request's id on a reused connection",
        )
    if status == MISDIRECTED:
        return AttemptFailure(
            outcome=AttemptOutcome.MISDIRECTED, reason="another replica has the address"
        )
    if find_header(headers, names.not_run) is not None:
        return AttemptFailure(outcome=AttemptOutcome.FULL, reason=f"not run, status {status}")
    if find_header(headers, names.signature) is None:
        return AttemptFailure(
            outcome=AttemptOutcome.LOST, reason=f"unsigned answer of status {status}"
        )
    if status in NOT_RUN_STATUSES:
        return AttemptFailure(
            outcome=AttemptOutcome.LOST, reason=f"status {status} without not-run header"
        )
    if find_header(headers, "content-encoding") is not None:
        return AttemptFailure(outcome=AttemptOutcome.LOST, reason="encoded answer")
    if _is_no_stream(response.head, request_state.route.kind):
        media_type = find_header(headers, "content-type")
        return AttemptFailure(
            outcome=AttemptOutcome.LOST,
            reason=f"status {status} with media type {media_type!r} in place of a stream",
        )
    return None


def _is_no_stream(head: ResponseHead, kind: RouteKind) -> bool:
    """Return whether a success has another status or media type than a stream of its route.

    One that names no media type may be a stream; one that names several is none.
    """
    if kind is not RouteKind.STREAM or head.status >= SUCCESS_BELOW:
        return False
    media_types = [value for name, value in head.headers if name == "content-type" and value]
    essences = {each.partition(";")[0].strip().lower() for each in media_types}
    return head.status != OK or not essences <= {EVENT_STREAM}


def says_not_run(head: ResponseHead, names: HeaderNames) -> bool:
    """Return whether a replica's answer says that it has not run the request."""
    return head.status == MISDIRECTED or find_header(head.headers, names.not_run) is not None


def _is_certainly_own(
    response: ResponseStream, request_state: RequestState, context: ForwardContext
) -> bool:
    """Return whether an answer cannot be a late copy of the one to an earlier request.

    Whether another instance has used its connection for an earlier request is not known here.
    """
    echoed = find_header(response.head.headers, context.dialect.headers.request_id)
    is_reused = response.is_on_reused_connection or request_state.via is not None
    return echoed == request_state.parsed.request_id or not is_reused


def _foreign_id(
    headers: Headers, request_state: RequestState, context: ForwardContext
) -> str | None:
    """Return the request id that an answer echoes if it is that of another request."""
    echoed = find_header(headers, context.dialect.headers.request_id)
    return None if echoed == request_state.parsed.request_id else echoed


def _reported_load(headers: Headers, context: ForwardContext) -> int | None:
    """Return the replica's own count of running and waiting requests, None if it told none."""
    text = find_header(headers, context.dialect.headers.replica_load)
    counts = [parse_count(part.strip()) for part in text.split(",")[:2]] if text else []
    if len(counts) < 2 or None in counts:
        return None
    return sum(count or 0 for count in counts)
