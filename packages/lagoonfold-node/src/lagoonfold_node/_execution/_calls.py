"""The call of a turn at its owner: begin, run, settle.

A non-idempotent call's intent is durable before the first byte goes upstream; an idempotent
call's is written while it runs. The outcome is durable before a reader sees the end. A call that
is not known to have run or not is settled as such and never made again.
"""

import time

import trio
from result import Err, Ok, Result

from lagoonfold import CallId, ErrorKind, ProgramId, Ran, Refusal, RouteName, new_id
from lagoonfold.config import Configuration, Route, RouteKind
from lagoonfold.records import (
    NO_COST,
    CallRequest,
    Cost,
    Decision,
    Execute,
    Join,
    Outcome,
    Program,
    Replay,
    Settled,
    digest_of_content,
    match_replay,
)
from lagoonfold_node._execution._costs import (
    answer_limit,
    cost_of,
    prompt_tokens_of,
    remaining_tokens,
)
from lagoonfold_node._execution._executor import Executor, not_owner
from lagoonfold_node._execution._feed import Answer
from lagoonfold_node._execution._operations import RunCall, performs
from lagoonfold_node._execution._ports import OpenShard, WaitDurable
from lagoonfold_node._execution._render import send_answer, stream_answer
from lagoonfold_node._execution._runners import RUNNERS_BY_KIND, Finished
from lagoonfold_node._execution._running import RunningCall
from lagoonfold_node._execution._sink import Sink, refuse

SETTLE_TIMEOUT_S = 15.0

_NOT_BEGUN = refuse(ErrorKind.INTERNAL, "the call's begin was not recorded")


@performs(RunCall)
async def run_call(
    executor: Executor, shard: OpenShard, operation: RunCall, sink: Sink
) -> Refusal | None:
    """Replay, join or make the call of a turn."""
    allowed = _find_route(executor.config.read().configuration, shard, operation)
    if isinstance(allowed, Err):
        return allowed.err_value
    route = allowed.ok_value
    request = _request(operation, route, shard)
    decided = shard.state.decide_begin(request, time.time(), executor=shard.executor)
    _note_begin(executor, shard, request, operation, decided)
    if isinstance(decided, Err):
        return decided.err_value
    match decided.ok_value:
        case Execute() as execute:
            return await _start(executor, _running(operation, route, shard, request), execute, sink)
        case Replay():
            return await _replay(shard, request, operation, sink)
        case Join(call_id=call_id):
            return await _join(executor, shard, call_id, operation, sink)


def _note_begin(
    executor: Executor,
    shard: OpenShard,
    request: CallRequest,
    operation: RunCall,
    decided: Result[Decision, Refusal],
) -> None:
    """Note what was decided about a call, and what it rested on."""
    program = shard.state.programs_by_id.get(request.program_id)
    if isinstance(decided, Ok):
        verdict = type(decided.ok_value).__name__.lower()
    else:
        verdict = f"{decided.err_value.kind.value}: {decided.err_value.detail}"
    executor.decisions.add(
        "begin",
        operation.request_id,
        program_id=request.program_id,
        decided=verdict,
        call_id=request.call_id,
        turn=request.turn,
        next_turn=program.next_turn if program else 0,
        route=request.route,
        is_idempotent=request.is_idempotent,
        content_digest=request.content_digest,
        reserve_tokens=request.reserve.tokens,
        used_tokens=program.used.tokens if program else 0,
        limit_tokens=program.limits.tokens if program else 0,
        shard=shard.shard_id,
        epoch=shard.epoch,
    )


def _find_route(
    configuration: Configuration, shard: OpenShard, operation: RunCall
) -> Result[Route, Refusal]:
    """Return a route if the program's profile has it and the caller's key allows the profile.

    A program whose profile was retired keeps the routes that there are.
    """
    route = configuration.routes_by_name.get(RouteName(operation.route))
    if route is None:
        return Err(refuse(ErrorKind.NOT_FOUND, f"no route {operation.route}"))
    program = shard.state.programs_by_id.get(ProgramId(operation.program_id))
    if program is None:
        return Ok(route)
    if operation.profile_names and program.profile not in operation.profile_names:
        detail = f"the key does not allow profile {program.profile}"
        return Err(refuse(ErrorKind.FORBIDDEN, detail))
    profile = configuration.profiles_by_name.get(program.profile)
    if profile is not None and route.name not in profile.routes:
        return Err(refuse(ErrorKind.FORBIDDEN, f"profile {profile.name} has no route {route.name}"))
    return Ok(route)


def _request(operation: RunCall, route: Route, shard: OpenShard) -> CallRequest:
    program = shard.state.programs_by_id.get(ProgramId(operation.program_id))
    return CallRequest(
        call_id=CallId(new_id("call")),
        program_id=ProgramId(operation.program_id),
        account_id=operation.account_id,
        turn=operation.turn,
        route=RouteName(operation.route),
        is_idempotent=route.is_idempotent,
        content_digest=digest_of_content(operation.route.encode(), operation.body),
        body=operation.body,
        reserve=_reserve(operation, route, program, shard),
        idempotency_key=operation.idempotency_key,
    )


def _reserve(operation: RunCall, route: Route, program: Program | None, shard: OpenShard) -> Cost:
    if route.kind is not RouteKind.MODEL or program is None:
        return cost_of(route, 0)
    prompt_tokens = prompt_tokens_of(operation.body)
    left = remaining_tokens(list(shard.state.lineage(program))) - prompt_tokens
    return cost_of(route, prompt_tokens + answer_limit(operation.max_tokens, left))


def _running(
    operation: RunCall, route: Route, shard: OpenShard, request: CallRequest
) -> RunningCall:
    timeout_s = route.timeout_s
    if route.is_idempotent:
        timeout_s = min(timeout_s, operation.timeout_s)
    return RunningCall(
        call_id=request.call_id,
        operation=operation,
        route=route,
        shard=shard,
        reserve=request.reserve,
        deadline_s=trio.current_time() + timeout_s,
        content_digest=request.content_digest,
    )


async def _start(
    executor: Executor, running: RunningCall, decided: Execute, sink: Sink
) -> Refusal | None:
    """Start the tasks of a call and read its answer."""
    executor.running_by_call[running.call_id] = running
    wait_durable = running.shard.submit(decided.records)
    executor.spawn(_begin, running, wait_durable)
    executor.spawn(_execute, executor, running, decided.commit_first)
    return await _read(running, running.operation, sink)


async def _begin(running: RunningCall, wait_durable: WaitDurable) -> None:
    """Wait for a call's begin to be durable; a call whose begin fails is stopped."""
    running.begin_refusal = _NOT_BEGUN
    try:
        running.begin_refusal = (await wait_durable()).err()
    finally:
        if running.begin_refusal is not None:
            running.stop(running.begin_refusal)
        running.begun.set()


async def _execute(executor: Executor, running: RunningCall, commit_first: bool) -> None:
    """Run a call to its end, and settle it whatever the end is."""
    finished: Result[Finished, Refusal] | None = None
    try:
        with running.scope, trio.CancelScope(deadline=running.deadline_s) as timer:
            if commit_first:
                await running.begun.wait()
            finished = await RUNNERS_BY_KIND[running.route.kind](executor, running)
        if finished is None:
            finished = Err(_stopped(running, timer.cancelled_caught))
    except Exception as error:
        executor.on_fault("call-failed", error)
        finished = Err(refuse(ErrorKind.INTERNAL, "the call failed", ran=_ran(running)))
    finally:
        with trio.CancelScope(shield=True):
            await _settle(executor, running, finished or Err(_stopped(running, False)))


def _ran(running: RunningCall) -> Ran:
    return Ran.UNKNOWN if running.was_sent else Ran.NO


def _stopped(running: RunningCall, is_late: bool) -> Refusal:
    """Return why a call was cancelled, with what is known of whether it ran."""
    if running.stopped is not None:
        return refuse(running.stopped.kind, running.stopped.detail, ran=_ran(running))
    kind = ErrorKind.DEADLINE_EXCEEDED if is_late else ErrorKind.SHUTTING_DOWN
    return refuse(kind, "the call did not end in time", ran=_ran(running))


async def _settle(
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
            ran=_ran(running),
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
            refusal.kind, refusal.detail, ran=_ran(running), retry_after_s=refusal.retry_after_s
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
            ran=_ran(running),
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


async def _replay(
    shard: OpenShard, request: CallRequest, operation: RunCall, sink: Sink
) -> Refusal | None:
    """Give a recorded answer to a caller that repeats its call."""
    program = shard.state.programs_by_id[request.program_id]
    read = await shard.read_turn(program, request.turn)
    if isinstance(read, Err):
        return read.err_value
    recorded = match_replay(read.ok_value, request)
    if isinstance(recorded, Err):
        return recorded.err_value
    turn = recorded.ok_value
    answer = Answer(status=turn.status, content_type=turn.content_type, body=turn.answer)
    return await send_answer(answer, operation, sink)


async def _join(
    executor: Executor, shard: OpenShard, call_id: CallId, operation: RunCall, sink: Sink
) -> Refusal | None:
    """Wait for the same call that is under way, here or at the shard's former owner.

    A call that was stopped may be made anew once it has settled.
    """
    running = executor.running_by_call.get(call_id)
    if running is not None and running.stopped is None:
        return await _read(running, operation, sink)
    await shard.wait_settled(call_id)
    if not shard.may_act():
        return not_owner(operation.program_id)
    return await run_call(executor, shard, operation, sink)


async def _read(running: RunningCall, operation: RunCall, sink: Sink) -> Refusal | None:
    """Read a running call's answer into a sink."""
    reader = running.feed.attach()
    try:
        resumed_text = running.operation.delivered_text
        if operation.is_streamed and operation.delivered_text == resumed_text:
            return await stream_answer(running.feed, reader, sink)
        reader.skip_parts()
        ended = await running.feed.wait()
        if isinstance(ended, Refusal):
            return ended
        return await send_answer(ended, operation, sink)
    finally:
        running.feed.detach(reader)
