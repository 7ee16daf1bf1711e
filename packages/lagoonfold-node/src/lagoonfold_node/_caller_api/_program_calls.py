"""The endpoints that create, run, read, end and cancel programs."""

import msgspec
from result import Err, Ok, Result

from lagoonfold import ErrorKind, ProgramId, Refusal, RouteName, new_id
from lagoonfold.config import Budget, Profile, RouteKind
from lagoonfold.membership import child_program_id
from lagoonfold_node._caller_api._caller_api import CallerApi, CallerRequest
from lagoonfold_node._caller_api._endpoints import endpoint
from lagoonfold_node._caller_api._requests import (
    BudgetBody,
    ChatBody,
    ProgramBody,
    decode_body,
    read_identifier,
    read_turn,
)
from lagoonfold_node._execution import (
    CreateProgram,
    EndProgram,
    ReadHistory,
    ReadProgram,
    RunCall,
)


@endpoint("POST", "/v1/programs", is_rate_limited=True)
async def create_program(caller_api: CallerApi, call: CallerRequest) -> Refusal | None:
    """Create a program under one of the caller's profiles."""
    decoded = decode_body(call.request.body, ProgramBody)
    if isinstance(decoded, Err):
        return decoded.err_value
    body = decoded.ok_value
    allowed = _find_profile(caller_api, call, body.profile)
    if isinstance(allowed, Err):
        return allowed.err_value
    limits = _cap_budget(allowed.ok_value.budget, body.budget or BudgetBody())
    parent_id = body.parent or ""
    program_id = child_program_id(ProgramId(parent_id)) if parent_id else new_id("prg")
    operation = CreateProgram(
        **_common_fields(call, program_id),
        profile=body.profile,
        parent_id=parent_id,
        tokens=limits.tokens,
        calls=limits.calls,
        cost_micros=limits.cost_micros,
        wall_s=limits.wall_s,
    )
    return await caller_api.forwarder.perform(operation, call.sink)


@endpoint("POST", "/v1/chat/completions", is_rate_limited=True)
async def chat(caller_api: CallerApi, call: CallerRequest) -> Refusal | None:
    """Make a program's next model call."""
    decoded = decode_body(call.request.body, ChatBody)
    program_id = read_identifier(call.request, "lagoonfold-program")
    if isinstance(decoded, Err):
        return decoded.err_value
    if isinstance(program_id, Err):
        return program_id.err_value
    body = decoded.ok_value
    canonical = msgspec.structs.replace(body, stream=False)
    return await _run_call(
        caller_api,
        call,
        program_id.ok_value,
        RouteKind.MODEL,
        route=body.model,
        body=msgspec.json.encode(canonical),
        max_tokens=body.max_tokens,
        is_streamed=body.stream,
    )


@endpoint("POST", "/v1/programs/{program_id}/tools/{route}", is_rate_limited=True)
async def call_tool(caller_api: CallerApi, call: CallerRequest) -> Refusal | None:
    """Make a program's next tool call."""
    checked = decode_body(call.request.body or b"null", msgspec.Raw)
    if isinstance(checked, Err):
        return checked.err_value
    return await _run_call(
        caller_api,
        call,
        call.values_by_name["program_id"],
        RouteKind.TOOL,
        route=call.values_by_name["route"],
        body=call.request.body,
    )


@endpoint("GET", "/v1/programs/{program_id}")
async def read_program(caller_api: CallerApi, call: CallerRequest) -> Refusal | None:
    """Answer with a program's state and budget."""
    operation = ReadProgram(**_common_fields(call, call.values_by_name["program_id"]))
    return await caller_api.forwarder.perform(operation, call.sink)


@endpoint("GET", "/v1/programs/{program_id}/history")
async def read_history(caller_api: CallerApi, call: CallerRequest) -> Refusal | None:
    """Answer with a program's turns."""
    operation = ReadHistory(**_common_fields(call, call.values_by_name["program_id"]))
    return await caller_api.forwarder.perform(operation, call.sink)


@endpoint("POST", "/v1/programs/{program_id}/end")
async def end_program(caller_api: CallerApi, call: CallerRequest) -> Refusal | None:
    """End a program; its running call is completed."""
    common = _common_fields(call, call.values_by_name["program_id"])
    return await caller_api.forwarder.perform(EndProgram(**common, is_cancelled=False), call.sink)


@endpoint("DELETE", "/v1/programs/{program_id}")
async def cancel_program(caller_api: CallerApi, call: CallerRequest) -> Refusal | None:
    """Cancel a program and its running call."""
    common = _common_fields(call, call.values_by_name["program_id"])
    return await caller_api.forwarder.perform(EndProgram(**common, is_cancelled=True), call.sink)


async def _run_call(
    caller_api: CallerApi,
    call: CallerRequest,
    program_id: str,
    kind: RouteKind,
    *,
    route: str,
    **fields: object,
) -> Refusal | None:
    configuration = caller_api.board.config.read().configuration
    configured = configuration.routes_by_name.get(RouteName(route))
    turn = read_turn(call.request)
    key = read_identifier(call.request, "idempotency-key", default="-")
    if configured is None or configured.kind is not kind:
        return Refusal(kind=ErrorKind.NOT_FOUND, detail=f"no {kind.value} route {route}")
    if isinstance(turn, Err):
        return turn.err_value
    if isinstance(key, Err):
        return key.err_value
    operation = RunCall(
        **_common_fields(call, program_id),
        turn=turn.ok_value,
        route=route,
        idempotency_key=key.ok_value.removeprefix("-"),
        profile_names=call.caller.key.profile_names,
        **fields,
    )
    return await caller_api.forwarder.perform(operation, call.sink)


def _common_fields(call: CallerRequest, program_id: str) -> dict[str, object]:
    return {
        "request_id": call.request_id,
        "account_id": call.caller.account_id,
        "program_id": program_id,
        "timeout_s": call.timeout_s,
    }


def _find_profile(
    caller_api: CallerApi, call: CallerRequest, name: str
) -> Result[Profile, Refusal]:
    """Return a profile if the caller's account and key may use it."""
    profile = caller_api.board.config.read().configuration.profiles_by_name.get(name)
    caller = call.caller
    allowed_names = caller.key.profile_names
    if profile is None or caller.account_id not in profile.account_ids:
        detail = f"no profile {name} for this account"
        return Err(Refusal(kind=ErrorKind.FORBIDDEN, detail=detail))
    if allowed_names and name not in allowed_names:
        detail = f"the key does not allow profile {name}"
        return Err(Refusal(kind=ErrorKind.FORBIDDEN, detail=detail))
    return Ok(profile)


def _cap_budget(budget: Budget, requested: BudgetBody) -> Budget:
    """Return the requested limits, each capped by the profile's."""
    return Budget(
        tokens=_cap_limit(budget.tokens, requested.tokens),
        calls=_cap_limit(budget.calls, requested.calls),
        cost_micros=_cap_limit(budget.cost_micros, requested.cost_micros),
        wall_s=_cap_limit(budget.wall_s, requested.wall_s),
    )


def _cap_limit(limit, requested):
    return limit if requested is None else min(limit, requested)
