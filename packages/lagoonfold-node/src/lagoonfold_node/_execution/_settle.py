"""Settle a call: make its outcome durable, then let its readers see the end."""

from dataclasses import replace

import trio
from result import Err, Ok, Result

from lagoonfold import ErrorKind, Ran, Refusal
from lagoonfold.records import (
    NO_COST,
    CallOutcome,
    CallSettled,
    Cost,
)
from lagoonfold_node._execution._answer_buffer import CallAnswer
from lagoonfold_node._execution._executor import Executor
from lagoonfold_node._execution._runners import RunResult
from lagoonfold_node._execution._running import RunningCall
from lagoonfold_node._execution._sink import make_refusal

OUTCOME_GRACE_S = 0.1
LATE_RETRY_S = 1.0


def ran_of(running: RunningCall) -> Ran:
    """Return whether a call that is interrupted now may have run."""
    return Ran.UNKNOWN if running.was_sent else Ran.NO


async def settle(
    executor: Executor, running: RunningCall, finished: Result[RunResult, Refusal]
) -> None:
    """Record the outcome, then let the readers see the end.

    If the journal stalls or the call's deadline passes, the readers are refused and told when to
    retry. The outcome is still recorded afterwards; until then a repeat is refused at once.
    """
    try:
        with trio.CancelScope(shield=True) as shield:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_release_readers, executor, running, finished, shield)
                refusal = await _record(executor, running, finished)
                nursery.cancel_scope.cancel()
            _end_for_readers(running, finished, refusal)
    finally:
        del executor.running_by_call[running.call_id]


def _end_for_readers(
    running: RunningCall, finished: Result[RunResult, Refusal], refusal: Refusal | None
) -> None:
    if running.answer_buffer.is_over:
        return
    if refusal is not None:
        running.answer_buffer.refuse(refusal)
    else:
        running.answer_buffer.finish(finished.ok_value.answer, finished.ok_value.last_part)


async def _release_readers(
    executor: Executor,
    running: RunningCall,
    finished: Result[RunResult, Refusal],
    shield: trio.CancelScope,
) -> None:
    """Refuse the readers if the outcome is not durable in time.

    From then on, a stop of the process doesn't wait for the record.
    """
    retry_after_s = LATE_RETRY_S
    with trio.move_on_at(max(trio.current_time(), running.deadline_s) + OUTCOME_GRACE_S):
        retry_after_s = (await running.shard.wait_stalled()).retry_after_s
    shield.shield = False
    if not running.answer_buffer.is_over:
        refusal = _pending_refusal(running, finished, retry_after_s)
        executor.log_decision(
            running, "pending", {"decided": refusal.kind.value, "ran": refusal.ran.value}
        )
        running.answer_buffer.refuse(refusal)


def _pending_refusal(
    running: RunningCall, finished: Result[RunResult, Refusal], retry_after_s: float
) -> Refusal:
    """Return the refusal for readers of a call whose outcome is not durable yet.

    An unknown outcome is reported before it is durable, since the shard's next owner would report
    the same without the record.
    """
    settled, refusal = _settlement(running, finished)
    if refusal is not None and settled.outcome is CallOutcome.UNKNOWN:
        return refusal
    return make_refusal(
        ErrorKind.PLATFORM_UNAVAILABLE,
        "the outcome is not recorded yet",
        ran=Ran.UNKNOWN if refusal is None else refusal.ran,
        retry_after_s=retry_after_s,
    )


async def _record(
    executor: Executor, running: RunningCall, finished: Result[RunResult, Refusal]
) -> Refusal | None:
    """Commit the settlement; return the refusal for the caller, or None if there is an answer."""
    await running.begun.wait()
    if running.begin_refusal is not None:
        refusal = replace(running.begin_refusal, ran=ran_of(running))
        running.answer_buffer.refuse(refusal)
        await _withdraw(running, refusal)
        return refusal
    settled, refusal = _settlement(running, finished)
    executor.decisions.add(
        "settle",
        running.operation.request_id,
        program_id=running.program_id,
        decided=settled.outcome.value,
        call_id=running.call_id,
        used_tokens=settled.used.tokens,
        refusal=refusal.detail if refusal else "",
        was_sent=running.was_sent,
    )
    decided = running.shard.state.decide_settle(settled)
    if isinstance(decided, Err):
        return decided.err_value
    committed = await running.shard.commit(decided.ok_value)
    if isinstance(committed, Err):
        return replace(committed.err_value, ran=ran_of(running))
    return refusal


async def _withdraw(running: RunningCall, refusal: Refusal) -> None:
    """Settle a call that was not sent, since its begin record may still become durable."""
    if refusal.ran is not Ran.NO:
        return
    settled = _settled(running, CallOutcome.NOT_RUN, None, NO_COST)
    decided = running.shard.state.decide_settle(settled)
    if isinstance(decided, Ok):
        await running.shard.commit(decided.ok_value)


def _settlement(
    running: RunningCall, finished: Result[RunResult, Refusal]
) -> tuple[CallSettled, Refusal | None]:
    """Return the record of an outcome, and the refusal for the caller if the call failed."""
    if isinstance(finished, Ok):
        answer, used = finished.ok_value.answer, finished.ok_value.used
        return _settled(running, CallOutcome.ANSWERED, answer, used), None
    refusal = finished.err_value
    if refusal.ran is Ran.NO:
        return _settled(running, CallOutcome.NOT_RUN, None, NO_COST), refusal
    if running.route.is_idempotent:
        return _settled(running, CallOutcome.FAILED, None, running.spent), refusal
    unknown = make_refusal(ErrorKind.OUTCOME_UNKNOWN, refusal.detail, ran=Ran.UNKNOWN)
    return _settled(running, CallOutcome.UNKNOWN, None, running.reservation), unknown


def _settled(
    running: RunningCall, outcome: CallOutcome, answer: CallAnswer | None, used: Cost
) -> CallSettled:
    return CallSettled(
        program_id=running.program_id,
        call_id=running.call_id,
        outcome=outcome,
        status=answer.status if answer else 0,
        content_type=answer.content_type if answer else "",
        answer=answer.body if answer else b"",
        used=used,
    )
