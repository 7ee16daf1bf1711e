"""The end of a call: its outcome is made durable, then its readers see it."""

import trio
from result import Err, Ok, Result

from lagoonfold import ErrorKind, Ran, Refusal
from lagoonfold.records import (
    NO_COST,
    Cost,
    Outcome,
    Settled,
)
from lagoonfold_node._execution._executor import Executor
from lagoonfold_node._execution._feed import Answer
from lagoonfold_node._execution._runners import Finished
from lagoonfold_node._execution._running import RunningCall
from lagoonfold_node._execution._sink import refuse

SETTLE_TIMEOUT_S = 15.0


def ran_of(running: RunningCall) -> Ran:
    """Return what may be concluded of a call that is cut off now."""
    return Ran.UNKNOWN if running.was_sent else Ran.NO


async def settle(
    executor: Executor, running: RunningCall, finished: Result[Finished, Refusal]
) -> None:
    """Record the outcome, then let the readers see the end."""
    try:
        with trio.fail_after(SETTLE_TIMEOUT_S):
            await running.begun.wait()
            refusal = await _record(executor, running, finished)
    except trio.TooSlowError:
        executor.spawn(_record_late, executor, running, finished)
        refusal = refuse(
            ErrorKind.PLATFORM_UNAVAILABLE,
            "the outcome could not be recorded in time",
            ran=ran_of(running),
            retry_after_s=1.0,
        )
    del executor.running_by_call[running.call_id]
    if refusal is not None:
        running.feed.refuse(refusal)
    else:
        running.feed.finish(finished.ok_value.answer, finished.ok_value.last_part)


async def _record_late(
    executor: Executor, running: RunningCall, finished: Result[Finished, Refusal]
) -> None:
    """Record an outcome whose caller was answered before, so that its program can go on."""
    await running.begun.wait()
    await _record(executor, running, finished)


async def _record(
    executor: Executor, running: RunningCall, finished: Result[Finished, Refusal]
) -> Refusal | None:
    """Commit the settlement; return what the caller is told if it gets no answer."""
    if running.begin_refusal is not None:
        refusal = running.begin_refusal
        return refuse(
            refusal.kind, refusal.detail, ran=ran_of(running), retry_after_s=refusal.retry_after_s
        )
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
        unrecorded = committed.err_value
        return refuse(
            unrecorded.kind,
            unrecorded.detail,
            ran=ran_of(running),
            retry_after_s=unrecorded.retry_after_s,
        )
    return refusal


def _settlement(
    running: RunningCall, finished: Result[Finished, Refusal]
) -> tuple[Settled, Refusal | None]:
    """Return the record of an outcome, and the refusal that goes with a failed one."""
    if isinstance(finished, Ok):
        answer, used = finished.ok_value.answer, finished.ok_value.used
        return _settled(running, Outcome.ANSWERED, answer, used), None
    refusal = finished.err_value
    if refusal.ran is Ran.NO:
        return _settled(running, Outcome.NOT_RUN, None, NO_COST), refusal
    if running.route.is_idempotent:
        return _settled(running, Outcome.FAILED, None, running.spent), refusal
    unknown = refuse(ErrorKind.OUTCOME_UNKNOWN, refusal.detail, ran=Ran.UNKNOWN)
    return _settled(running, Outcome.UNKNOWN, None, running.reserve), unknown


def _settled(running: RunningCall, outcome: Outcome, answer: Answer | None, used: Cost) -> Settled:
    return Settled(
        program_id=running.program_id,
        call_id=running.call_id,
        outcome=outcome,
        status=answer.status if answer else 0,
        content_type=answer.content_type if answer else "",
        answer=answer.body if answer else b"",
        used=used,
    )
