"""Calls to tools and plain services as a turn of a program."""

from functools import partial

import msgspec
import trio
from result import Err, Ok, Result

from lagoonfold import Refusal
from lagoonfold.config import RouteKind
from lagoonfold_node._dispatch import Placement
from lagoonfold_node._execution._costs import cost_of
from lagoonfold_node._execution._executor import Executor
from lagoonfold_node._execution._feed import Answer
from lagoonfold_node._execution._placing import placement_request
from lagoonfold_node._execution._runners import Finished, runs
from lagoonfold_node._execution._running import RunningCall
from lagoonfold_node._execution._sink import JSON
from lagoonfold_node._execution._tries import Task, Tried, run_tries
from lagoonfold_node._upstreams import (
    ServiceAnswer,
    ServiceCall,
    UpstreamFailure,
    UpstreamIdentity,
)


class PlainRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What is sent to a tool or a plain service."""

    method: str
    path: str
    query: str = ""
    content_type: str = ""
    accept: str = ""
    body: bytes = b""


def encode_plain_request(request: PlainRequest) -> bytes:
    """Return a request as the body of a recorded call."""
    return msgspec.msgpack.encode(request)


def service_call(
    request: PlainRequest,
    *,
    address: str,
    identity: UpstreamIdentity,
    is_idempotent: bool,
    deadline_s: float,
) -> ServiceCall:
    """Return the call to one upstream, which may last until the deadline."""
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


@runs(RouteKind.TOOL)
async def run_tool(executor: Executor, running: RunningCall) -> Result[Finished, Refusal]:
    """Send the call's body, which is JSON, to an upstream of the route's tool."""
    request = PlainRequest(
        method="POST",
        path=f"/{running.route.target}",
        content_type=JSON,
        body=running.operation.body,
    )
    return await _run(executor, running, request)


@runs(RouteKind.SERVICE)
async def run_service(executor: Executor, running: RunningCall) -> Result[Finished, Refusal]:
    """Send the recorded request to an upstream of the route's service."""
    request = msgspec.msgpack.decode(running.operation.body, type=PlainRequest)
    return await _run(executor, running, request)


async def _run(
    executor: Executor, running: RunningCall, request: PlainRequest
) -> Result[Finished, Refusal]:
    async def send(placement: Placement) -> Result[Tried[ServiceAnswer], UpstreamFailure]:
        running.was_sent = True
        running.spent = cost_of(running.route, 0)
        call = service_call(
            request,
            address=placement.address,
            identity=running.identity(),
            is_idempotent=running.route.is_idempotent,
            deadline_s=running.deadline_s,
        )
        called = await executor.access.services.call(call)
        return called.map(lambda answer: Tried(value=answer))

    task = Task(
        request=placement_request(executor, running),
        send=send,
        is_idempotent=running.route.is_idempotent,
        holds_ownership=running.shard.holds_ownership,
        note=partial(executor.note, running),
    )
    called = await run_tries(executor.access.dispatcher, task)
    if isinstance(called, Err):
        return called
    answer = called.ok_value
    recorded = Answer(status=answer.status, content_type=answer.content_type, body=answer.body)
    return Ok(Finished(answer=recorded, used=cost_of(running.route, 0)))
