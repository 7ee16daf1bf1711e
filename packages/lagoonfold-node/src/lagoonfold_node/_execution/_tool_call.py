"""Run calls to tools and plain services."""

from functools import partial

import msgspec
import trio
from result import Err, Ok, Result

from lagoonfold import Refusal
from lagoonfold.config import RouteKind
from lagoonfold_node._dispatch import Placement
from lagoonfold_node._execution._answer_buffer import CallAnswer
from lagoonfold_node._execution._attempts import AttemptResult, RetryableCall, run_attempts
from lagoonfold_node._execution._costs import cost_of
from lagoonfold_node._execution._executor import Executor
from lagoonfold_node._execution._placement_requests import placement_request
from lagoonfold_node._execution._runners import RunResult, runner_for
from lagoonfold_node._execution._running import RunningCall
from lagoonfold_node._execution._sink import JSON_TYPE
from lagoonfold_node._upstreams import (
    RequestIdentity,
    ServiceAnswer,
    ServiceCall,
    UpstreamFailure,
)


class ServiceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An HTTP request to a tool or a plain service."""

    method: str
    path: str
    query: str = ""
    content_type: str = ""
    accept: str = ""
    body: bytes = b""


def encode_service_request(request: ServiceRequest) -> bytes:
    """Encode a request as the body of a recorded call."""
    return msgspec.msgpack.encode(request)


def make_service_call(
    request: ServiceRequest,
    *,
    address: str,
    identity: RequestIdentity,
    is_idempotent: bool,
    deadline_s: float,
) -> ServiceCall:
    """Return the call of a request to one upstream, with the time until the deadline as timeout."""
    headers = (("content-type", request.content_type), ("accept", request.accept))
    return ServiceCall(
        address=address,
        identity=identity,
        method=request.method,
        path=request.path,
        query=request.query,
        headers=tuple((name, value) for name, value in headers if value),
        body=request.body,
        is_idempotent=is_idempotent,
        timeout_s=max(0.0, deadline_s - trio.current_time()),
    )


@runner_for(RouteKind.TOOL)
async def run_tool(executor: Executor, running: RunningCall) -> Result[RunResult, Refusal]:
    """Send the call's body, which is JSON, to an upstream of the route's tool."""
    request = ServiceRequest(
        method="POST",
        path=f"/{running.route.target}",
        content_type=JSON_TYPE,
        body=running.operation.body,
    )
    return await _run(executor, running, request)


@runner_for(RouteKind.SERVICE)
async def run_service(executor: Executor, running: RunningCall) -> Result[RunResult, Refusal]:
    """Send the recorded request to an upstream of the route's service."""
    request = msgspec.msgpack.decode(running.operation.body, type=ServiceRequest)
    return await _run(executor, running, request)


async def _run(
    executor: Executor, running: RunningCall, request: ServiceRequest
) -> Result[RunResult, Refusal]:
    async def send(placement: Placement) -> Result[AttemptResult[ServiceAnswer], UpstreamFailure]:
        running.was_sent = True
        running.spent = cost_of(running.route, 0)
        call = make_service_call(
            request,
            address=placement.address,
            identity=running.identity(),
            is_idempotent=running.route.is_idempotent,
            deadline_s=running.deadline_s,
        )
        called = await executor.upstream_clients.services.call(call)
        return called.map(lambda answer: AttemptResult(value=answer))

    retryable_call = RetryableCall(
        request=placement_request(executor, running),
        send=send,
        is_idempotent=running.route.is_idempotent,
        holds_ownership=running.shard.holds_ownership,
        log_decision=partial(executor.log_decision, running),
    )
    called = await run_attempts(executor.upstream_clients.dispatcher, retryable_call)
    if isinstance(called, Err):
        return called
    answer = called.ok_value
    recorded = CallAnswer(status=answer.status, content_type=answer.content_type, body=answer.body)
    return Ok(RunResult(answer=recorded, used=cost_of(running.route, 0)))
