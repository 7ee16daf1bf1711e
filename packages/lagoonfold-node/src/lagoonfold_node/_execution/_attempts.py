"""Attempt one call on one upstream after another, within the retry budgets.

The dispatcher chooses the upstream of each attempt. Ownership is checked immediately before each
attempt. A non-idempotent call that may have run is not attempted again.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Generic, TypeVar

import trio
from result import Err, Ok, Result

from lagoonfold import ErrorKind, Ran, Refusal, UpstreamId
from lagoonfold.resilience import FailedAttempt, RetryDelay, RetryStop
from lagoonfold_node._dispatch import CallUsage, Dispatcher, Placement, PlacementRequest
from lagoonfold_node._execution._sink import make_refusal
from lagoonfold_node._upstreams import UpstreamFailure

RETRY_AFTER_S = 1.0

T = TypeVar("T")


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptResult(Generic[T]):
    """The value that an attempt returned, and the usage to report to the dispatcher."""

    value: T
    usage: CallUsage | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryableCall(Generic[T]):
    """A call that `run_attempts` places and sends until it succeeds or is given up.

    `send` makes one attempt, and only if `holds_ownership` returns True. `log_decision` is called
    with the kind and the inputs of each placement, move and retry decision.
    """

    request: PlacementRequest
    send: Callable[[Placement], Awaitable[Result[AttemptResult[T], UpstreamFailure]]]
    is_idempotent: bool
    holds_ownership: Callable[[], bool] = lambda: True
    log_decision: Callable[[str, dict[str, object]], None] = lambda kind, inputs: None


async def run_attempts(dispatcher: Dispatcher, call: RetryableCall[T]) -> Result[T, Refusal]:
    """Attempt a call until it is answered or given up.

    The refusal says whether any of the attempts may have run.
    """
    request = call.request
    attempt = 0
    ran = Ran.NO
    while True:
        attempt += 1
        async with dispatcher.place(request) as placed:
            if isinstance(placed, Err):
                return Err(_with_ran(placed.err_value, ran))
            if not call.holds_ownership():
                return Err(_lease_lapsed_refusal(ran))
            placement = placed.ok_value
            _record_first_attempt(dispatcher, request, placement, attempt)
            open_breakers = _open_breakers(dispatcher, request)
            call.log_decision(
                "placement", _describe_placement(request, placement, attempt, open_breakers)
            )
            result = await call.send(placement)
            if isinstance(result, Ok):
                placement.succeed(result.ok_value.usage)
                return Ok(result.ok_value.value)
            failure = result.err_value
            _report_failure(placement, failure)
        ran = _combine_ran(ran, failure.ran)
        if failure.was_moved:
            call.log_decision("move", _describe_move(placement, attempt))
            request = _request_after_move(request, placement.upstream_id)
            continue
        decided = _decide_retry(dispatcher, call, placement.upstream_id, failure, attempt)
        call.log_decision("retry", _describe_failure(placement, failure, attempt, decided))
        if isinstance(decided, Err):
            return Err(_failed_refusal(request, failure, ran))
        request = replace(request, avoid=request.avoid | {placement.upstream_id})
        await trio.sleep(decided.ok_value.delay_s)


def _record_first_attempt(
    dispatcher: Dispatcher, request: PlacementRequest, placement: Placement, attempt: int
) -> None:
    state = dispatcher.table.states_by_id.get(placement.upstream_id)
    if attempt == 1 and state is not None:
        dispatcher.retries.credit_first_attempt(request.account_id, state)


def _open_breakers(dispatcher: Dispatcher, request: PlacementRequest) -> list[UpstreamId]:
    """Return the upstreams that serve the target but get no calls now."""
    now_s = trio.current_time()
    serving = dispatcher.table.serving(request.target, is_model=request.is_model)
    return sorted(
        state.load.upstream_id for state in serving if not state.breaker.allows(now_s=now_s)
    )


def _describe_placement(
    request: PlacementRequest,
    placement: Placement,
    attempt: int,
    open_breakers: list[UpstreamId],
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
        "open_breakers": open_breakers,
    }


def _describe_failure(
    placement: Placement,
    failure: UpstreamFailure,
    attempt: int,
    decided: Result[RetryDelay, RetryStop],
) -> dict[str, object]:
    return {
        "decided": (
            f"give up: {decided.err_value.value}"
            if isinstance(decided, Err)
            else f"again after {decided.ok_value.delay_s:.3f} s"
        ),
        "attempt": attempt,
        "upstream": placement.upstream_id,
        "failure": failure.detail,
        "ran": failure.ran.value,
        "went_down": failure.went_down,
        "broke_off": failure.broke_off,
    }


def _request_after_move(request: PlacementRequest, upstream_id: UpstreamId) -> PlacementRequest:
    """Return the request for the rest of a call: no longer a first call, and not moved again."""
    avoid = request.avoid | {upstream_id}
    return replace(request, avoid=avoid, is_first=False, can_move=False)


def _describe_move(placement: Placement, attempt: int) -> dict[str, object]:
    return {
        "decided": "resume on another replica",
        "attempt": attempt,
        "upstream": placement.upstream_id,
        "tokens": placement.monitored_call.tokens if placement.monitored_call is not None else 0,
    }


def _report_failure(placement: Placement, failure: UpstreamFailure) -> None:
    """Report a failed attempt to the dispatcher.

    An upstream that rejected the request itself is healthy, so this counts as a success. A moved
    call is reported as neither.
    """
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
) -> Result[RetryDelay, RetryStop]:
    """Return the time to wait before the next attempt, or why there is none."""
    if failure.is_refused():
        return Err(RetryStop.REJECTED)
    failed = FailedAttempt(
        attempt=attempt,
        ran=failure.ran,
        is_idempotent=call.is_idempotent,
        deadline_s=call.request.deadline_s,
        was_sent=failure.was_sent,
    )
    state = dispatcher.table.states_by_id.get(upstream_id)
    return dispatcher.retries.decide(failed, call.request.account_id, state)


def _combine_ran(ran: Ran, other: Ran) -> Ran:
    return Ran.NO if ran is Ran.NO and other is Ran.NO else Ran.UNKNOWN


def _with_ran(refusal: Refusal, ran: Ran) -> Refusal:
    return replace(refusal, ran=_combine_ran(ran, refusal.ran))


def _lease_lapsed_refusal(ran: Ran) -> Refusal:
    detail = "the owner's lease lapsed"
    return make_refusal(ErrorKind.OWNER_UNAVAILABLE, detail, ran=ran, retry_after_s=RETRY_AFTER_S)


def _failed_refusal(request: PlacementRequest, failure: UpstreamFailure, ran: Ran) -> Refusal:
    is_late = trio.current_time() >= request.deadline_s
    kind = ErrorKind.DEADLINE_EXCEEDED if is_late else ErrorKind.UPSTREAM_FAILED
    return make_refusal(
        kind, f"{request.target}: {failure.detail}", ran=ran, retry_after_s=RETRY_AFTER_S
    )
