"""Prepare the begin of a call: find its route, compute its reservation and log the decision."""

import trio
from result import Err, Ok, Result

from lagoonfold import CallId, ErrorKind, ProgramId, Refusal, RouteName, new_id
from lagoonfold.config import Configuration, Route, RouteKind
from lagoonfold.records import (
    CallDecision,
    CallRequest,
    Cost,
    Program,
    digest_of_content,
)
from lagoonfold_node._execution._costs import (
    cost_of,
    max_answer_tokens,
    prompt_tokens_of,
    remaining_tokens,
)
from lagoonfold_node._execution._executor import Executor
from lagoonfold_node._execution._operations import RunCall
from lagoonfold_node._execution._protocols import ExecutionShard
from lagoonfold_node._execution._running import RunningCall
from lagoonfold_node._execution._sink import make_refusal


def log_begin_decision(
    executor: Executor,
    shard: ExecutionShard,
    request: CallRequest,
    operation: RunCall,
    decided: Result[CallDecision, Refusal],
) -> None:
    """Add the decision about a call and its inputs to the decision log."""
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
        reserve_tokens=request.reservation.tokens,
        used_tokens=program.used.tokens if program else 0,
        limit_tokens=program.limits.tokens if program else 0,
        shard=shard.shard_id,
        epoch=shard.epoch,
    )


def find_route(
    configuration: Configuration, shard: ExecutionShard, operation: RunCall
) -> Result[Route, Refusal]:
    """Return a route if the program's profile has it and the caller's key allows the profile.

    A program whose profile was retired may use every configured route.
    """
    route = configuration.routes_by_name.get(RouteName(operation.route))
    if route is None:
        return Err(make_refusal(ErrorKind.NOT_FOUND, f"no route {operation.route}"))
    program = shard.state.programs_by_id.get(ProgramId(operation.program_id))
    if program is None:
        return Ok(route)
    if operation.profile_names and program.profile not in operation.profile_names:
        detail = f"the key does not allow profile {program.profile}"
        return Err(make_refusal(ErrorKind.FORBIDDEN, detail))
    profile = configuration.profiles_by_name.get(program.profile)
    if profile is not None and route.name not in profile.routes:
        return Err(
            make_refusal(ErrorKind.FORBIDDEN, f"profile {profile.name} has no route {route.name}")
        )
    return Ok(route)


def make_request(operation: RunCall, route: Route, shard: ExecutionShard) -> CallRequest:
    """Return the request on which `ProgramShard.decide_begin` decides."""
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
        reservation=_reserve(operation, route, program, shard),
        idempotency_key=operation.idempotency_key,
    )


def _reserve(
    operation: RunCall, route: Route, program: Program | None, shard: ExecutionShard
) -> Cost:
    if route.kind is not RouteKind.MODEL or program is None:
        return cost_of(route, 0)
    prompt_tokens = prompt_tokens_of(operation.body)
    remaining = remaining_tokens(list(shard.state.with_ancestors(program))) - prompt_tokens
    return cost_of(route, prompt_tokens + max_answer_tokens(operation.max_tokens, remaining))


def make_running(
    operation: RunCall, route: Route, shard: ExecutionShard, request: CallRequest
) -> RunningCall:
    """Return the state of a call that starts now.

    The caller's timeout bounds only an idempotent call.
    """
    timeout_s = route.timeout_s
    if route.is_idempotent:
        timeout_s = min(timeout_s, operation.timeout_s)
    return RunningCall(
        call_id=request.call_id,
        operation=operation,
        route=route,
        shard=shard,
        reservation=request.reservation,
        deadline_s=trio.current_time() + timeout_s,
        content_digest=request.content_digest,
    )
