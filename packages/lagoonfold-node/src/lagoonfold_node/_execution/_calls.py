"""Begin, run and settle the call of a turn at the program's owner.

The begin record of a non-idempotent call is durable before the first byte goes upstream; that of
an idempotent call is written while the call runs. The outcome is durable before a reader sees the
end. A non-idempotent call that may or may not have run is settled as unknown and never made again.
"""

import time
from dataclasses import replace

import trio
from result import Err, Result

from lagoonfold import CallId, ErrorKind, Ran, Refusal
from lagoonfold.records import (
    CallRequest,
    Execute,
    Join,
    Replay,
    match_replay,
)
from lagoonfold_node._execution._answer_buffer import CallAnswer
from lagoonfold_node._execution._begin import (
    find_route,
    log_begin_decision,
    make_request,
    make_running,
)
from lagoonfold_node._execution._executor import Executor, owner_changing_refusal
from lagoonfold_node._execution._operations import RunCall, handles_operation
from lagoonfold_node._execution._protocols import ExecutionShard, WaitDurable
from lagoonfold_node._execution._render import send_answer, stream_answer
from lagoonfold_node._execution._runners import RUNNERS_BY_KIND, RunResult
from lagoonfold_node._execution._running import RunningCall
from lagoonfold_node._execution._settle import ran_of, settle
from lagoonfold_node._execution._sink import Sink, make_refusal

_BEGIN_NOT_RECORDED = make_refusal(ErrorKind.INTERNAL, "the start of the call was not recorded")


@handles_operation(RunCall)
async def run_call(
    executor: Executor, shard: ExecutionShard, operation: RunCall, sink: Sink
) -> Refusal | None:
    """Replay, join or execute the call of a turn."""
    allowed = find_route(executor.config.read().configuration, shard, operation)
    if isinstance(allowed, Err):
        return allowed.err_value
    route = allowed.ok_value
    request = make_request(operation, route, shard)
    decided = shard.state.decide_begin(request, time.time(), run_id=shard.run_id)
    log_begin_decision(executor, shard, request, operation, decided)
    if isinstance(decided, Err):
        return decided.err_value
    match decided.ok_value:
        case Execute() as execute:
            return await _start(
                executor, make_running(operation, route, shard, request), execute, sink
            )
        case Replay():
            return await _replay(shard, request, operation, sink)
        case Join(call_id=call_id):
            return await _join(executor, shard, call_id, operation, sink)


async def _start(
    executor: Executor, running: RunningCall, decided: Execute, sink: Sink
) -> Refusal | None:
    """Start the tasks of a call and stream its answer to the sink."""
    executor.running_by_call[running.call_id] = running
    wait_durable = running.shard.submit(decided.records)
    executor.spawn(_await_begin, running, wait_durable)
    executor.spawn(_execute, executor, running, decided.commit_first)
    return await _read(running, running.operation, sink)


async def _await_begin(running: RunningCall, wait_durable: WaitDurable) -> None:
    """Wait until a call's begin record is durable; stop the call if that fails."""
    running.begin_refusal = _BEGIN_NOT_RECORDED
    try:
        running.begin_refusal = (await wait_durable()).err()
    finally:
        if running.begin_refusal is not None:
            running.stop(running.begin_refusal)
        running.begun.set()


async def _execute(executor: Executor, running: RunningCall, commit_first: bool) -> None:
    """Run a call and settle it, whether it succeeded, failed or was cancelled."""
    finished: Result[RunResult, Refusal] | None = None
    try:
        with running.scope, trio.CancelScope(deadline=running.deadline_s) as timer:
            if commit_first:
                await running.begun.wait()
            finished = await RUNNERS_BY_KIND[running.route.kind](executor, running)
        if finished is None:
            finished = Err(_refusal_of_stopped(running, timer.cancelled_caught))
    except Exception as error:
        executor.on_fault("call-failed", error)
        finished = Err(make_refusal(ErrorKind.INTERNAL, "the call failed", ran=ran_of(running)))
    finally:
        await settle(executor, running, finished or Err(_refusal_of_stopped(running, False)))


def _refusal_of_stopped(running: RunningCall, is_late: bool) -> Refusal:
    """Return the refusal for a cancelled call, which says whether it may have run."""
    if running.stop_refusal is not None:
        return make_refusal(
            running.stop_refusal.kind, running.stop_refusal.detail, ran=ran_of(running)
        )
    kind = ErrorKind.DEADLINE_EXCEEDED if is_late else ErrorKind.SHUTTING_DOWN
    return make_refusal(kind, "the call did not end in time", ran=ran_of(running))


async def _replay(
    shard: ExecutionShard, request: CallRequest, operation: RunCall, sink: Sink
) -> Refusal | None:
    """Send the recorded answer to a caller that repeats its call."""
    program = shard.state.programs_by_id[request.program_id]
    read = await shard.read_turn(program, request.turn)
    if isinstance(read, Err):
        return replace(read.err_value, ran=Ran.UNKNOWN)
    recorded = match_replay(read.ok_value, request)
    if isinstance(recorded, Err):
        return recorded.err_value
    turn = recorded.ok_value
    answer = CallAnswer(status=turn.status, content_type=turn.content_type, body=turn.answer)
    return await send_answer(answer, operation, sink)


async def _join(
    executor: Executor, shard: ExecutionShard, call_id: CallId, operation: RunCall, sink: Sink
) -> Refusal | None:
    """Read the answer of the same call, which runs here or ran at the shard's former owner.

    A stopped call is first awaited until it has settled, and then decided on anew. A call whose
    readers were released before its outcome was recorded returns the same refusal again.
    """
    running = executor.running_by_call.get(call_id)
    if running is not None and (running.stop_refusal is None or running.answer_buffer.is_over):
        return await _read(running, operation, sink)
    await shard.wait_settled(call_id)
    if not shard.holds_ownership():
        return replace(owner_changing_refusal(operation.program_id), ran=Ran.UNKNOWN)
    return await run_call(executor, shard, operation, sink)


async def _read(running: RunningCall, operation: RunCall, sink: Sink) -> Refusal | None:
    """Send a running call's answer to a sink.

    It is streamed only if the caller has received the same text as the caller that started the
    call; otherwise the whole answer is sent at the end.
    """
    reader = running.answer_buffer.attach()
    try:
        resumed_text = running.operation.delivered_text
        if operation.is_streamed and operation.delivered_text == resumed_text:
            return await stream_answer(running.answer_buffer, reader, sink)
        reader.skip_parts()
        ended = await running.answer_buffer.wait()
        if isinstance(ended, Refusal):
            return ended
        return await send_answer(ended, operation, sink)
    finally:
        running.answer_buffer.detach(reader)
