"""Tries of one call on one upstream after another, within the retry budgets.

The dispatcher chooses each upstream. The owner's right to act is asked immediately before each
try. A call that may have run and is not idempotent is tried no more.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Generic, TypeVar

import trio
from result import Err, Ok, Result

from lagoonfold import ErrorKind, Ran, Refusal, UpstreamId
from lagoonfold.resilience import FailedAttempt
from lagoonfold_node._dispatch import CallUsage, Dispatcher, Placement, PlacementRequest
from lagoonfold_node._execution._sink import make_refusal
from lagoonfold_node._upstreams import UpstreamFailure

RETRY_AFTER_S = 1.0

T = TypeVar("T")


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptResult(Generic[T]):
    """What a try brought, with the usage that the dispatcher learns from."""

    value: T
    usage: CallUsage | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryableCall(Generic[T]):
    """A call to be tried: what places it, what sends it, and what must hold before each try.

    `log_decision` is told of each placement and of each failed try.
    """

    request: PlacementRequest
    send: Callable[[Placement], Awaitable[Result[AttemptResult[T], UpstreamFailure]]]
    is_idempotent: bool
    holds_ownership: Callable[[], bool] = lambda: True
    log_decision: Callable[[str, dict[str, object]], None] = lambda kind, inputs: None


async def run_attempts(dispatcher: Dispatcher, call: RetryableCall[T]) -> Result[T, Refusal]:
    """Try a call until it is answered or given up; the refusal says whether it may have run."""
    request = call.request
    attempt = 0
    ran = Ran.NO
    while True:
        attempt += 1
        async with dispatcher.place(request) as placed:
            if isinstance(placed, Err):
                return Err(_with_ran(placed.err_value, ran))
            if not call.holds_ownership():
                return Err(_lease_lapsed(ran))
            placement = placed.ok_value
            _record_first_attempt(dispatcher, request, placement, attempt)
            call.log_decision("placement", _describe_placement(request, placement, attempt))
            tried = await call.send(placement)
            if isinstance(tried, Ok):
                placement.succeed(tried.ok_value.usage)
                return Ok(tried.ok_value.value)
            failure = tried.err_value
            _note_failure(placement, failure)
        ran = _worse(ran, failure.ran)
        if failure.was_moved:
            call.log_decision("move", _describe_move(placement, attempt))
            request = _moved(request, placement.upstream_id)
            continue
        delay_s = _decide_retry(dispatcher, call, placement.upstream_id, failure, attempt)
        call.log_decision("retry", _describe_failure(placement, failure, attempt, delay_s))
        if delay_s is None:
            return Err(_failed(request, failure, ran))
        request = replace(request, avoid=request.avoid | {placement.upstream_id})
        await trio.sleep(delay_s)


def _record_first_attempt(
    dispatcher: Dispatcher, request: PlacementRequest, placement: Placement, attempt: int
) -> None:
    state = dispatcher.table.states_by_id.get(placement.upstream_id)
    if attempt == 1 and state is not None:
        dispatcher.retries.credit_first_attempt(request.account_id, state)


def _describe_placement(
    request: PlacementRequest, placement: Placement, attempt: int
) -> dict[str, object]:
    return {
        "decided": placement.upstream_id,
        "attempt": attempt,
        "target": request.target,
        "priority": placement.priority,
        "tries_slow_replica": placement.monitored_call is not None
        and placement.monitored_call.is_probe,
        "prompt_tokens": request.prompt_tokens,
        "attained_s": request.attained_s,
        "weight": request.weight,
        "avoided": sorted(request.avoid),
    }


def _describe_failure(
    placement: Placement, failure: UpstreamFailure, attempt: int, delay_s: float | None
) -> dict[str, object]:
    return {
        "decided": "give up" if delay_s is None else f"again after {delay_s:.3f} s",
        "attempt": attempt,
        "upstream": placement.upstream_id,
        "failure": failure.detail,
        "ran": failure.ran.value,
        "went_down": failure.went_down,
        "broke_off": failure.broke_off,
    }


def _moved(request: PlacementRequest, upstream_id: UpstreamId) -> PlacementRequest:
    """Return the request for the rest of a call: its work has begun, and it is moved once."""
    avoid = request.avoid | {upstream_id}
    return replace(request, avoid=avoid, is_first=False, can_move=False)


def _describe_move(placement: Placement, attempt: int) -> dict[str, object]:
    return {
        "decided": "resume on another replica",
        "attempt": attempt,
        "upstream": placement.upstream_id,
        "tokens": placement.monitored_call.tokens if placement.monitored_call is not None else 0,
    }


def _note_failure(placement: Placement, failure: UpstreamFailure) -> None:
    """Tell the dispatcher; an upstream that found fault with the request is well."""
    if failure.was_moved:
        return
    if failure.is_refused():
        placement.succeed()
    else:
        placement.fail(went_down=failure.went_down, broke_off=failure.broke_off)


def _decide_retry(
    dispatcher: Dispatcher,
    call: RetryableCall[T],
    upstream_id: UpstreamId,
    failure: UpstreamFailure,
    attempt: int,
) -> float | None:
    """Return after how many seconds to try again, or None to give up."""
    if failure.is_refused():
        return None
    failed = FailedAttempt(
        attempt=attempt,
        ran=failure.ran,
        is_idempotent=call.is_idempotent,
        deadline_s=call.request.deadline_s,
    )
    state = dispatcher.table.states_by_id.get(upstream_id)
    decided = dispatcher.retries.decide(failed, call.request.account_id, state)
    return decided.ok_value.delay_s if isinstance(decided, Ok) else None


def _worse(ran: Ran, other: Ran) -> Ran:
    return Ran.NO if ran is Ran.NO and other is Ran.NO else Ran.UNKNOWN


def _with_ran(refusal: Refusal, ran: Ran) -> Refusal:
    return replace(refusal, ran=_worse(ran, refusal.ran))


def _lease_lapsed(ran: Ran) -> Refusal:
    detail = "the owner's lease lapsed"
    return make_refusal(ErrorKind.OWNER_UNAVAILABLE, detail, ran=ran, retry_after_s=RETRY_AFTER_S)


def _failed(request: PlacementRequest, failure: UpstreamFailure, ran: Ran) -> Refusal:
    is_late = trio.current_time() >= request.deadline_s
    kind = ErrorKind.DEADLINE_EXCEEDED if is_late else ErrorKind.UPSTREAM_FAILED
    return make_refusal(
        kind, f"{request.target}: {failure.detail}", ran=ran, retry_after_s=RETRY_AFTER_S
    )
