"""Operators' orders to engines: load a model or an adapter, set the version or the role.

The owner of the engine's id sends the order, with its shard's epoch as the fencing number, and
verifies its ownership immediately before. If an engine does not check the fencing number, this and
the wait before a takeover are the only protection against orders of a former owner.

    POST /v1/orders {"upstream": "engine-1", "kind": "load-model", "name": "small-2"}
"""

from typing import TYPE_CHECKING

import msgspec
from result import Err

from lagoonfold import ErrorKind, Ran, Refusal, UpstreamId, new_id
from lagoonfold_io import HttpResponse
from lagoonfold_node._peers import CallRefused, InboundCall, PeerMessage, handles, peer_message
from lagoonfold_node._problems import problem_response
from lagoonfold_node._upstreams import RequestIdentity

if TYPE_CHECKING:
    from lagoonfold_node._node import Node

ORDER_TIMEOUT_S = 5.0
ORDER_KINDS = ("load-model", "load-adapter", "set-version", "set-role")
STATUS_CONFLICT = 409


class OrderBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The body of an operator's order."""

    upstream: str
    kind: str
    name: str


@peer_message
class SendEngineOrder(PeerMessage, tag="give-order"):
    """Asks the owner of an upstream's id to send the upstream an order."""

    request_id: str
    upstream_id: str
    kind: str
    name: str


@peer_message
class EngineOrderResult(PeerMessage, tag="order-given"):
    """The HTTP status with which an upstream answered an order."""

    status: int
    fencing: str


class EngineOrders:
    """Accepts operators' orders and forwards them to the owners of the engines."""

    def __init__(self, node: "Node") -> None:
        self._node = node

    async def send(self, body: bytes) -> HttpResponse:
        """Send an order; the response contains the fencing number that was used."""
        request_id = new_id("req")
        try:
            order = msgspec.json.decode(body, type=OrderBody)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return _problem(ErrorKind.MALFORMED, str(error), request_id)
        if order.kind not in ORDER_KINDS:
            detail = f"kind: must be one of {', '.join(ORDER_KINDS)}"
            return _problem(ErrorKind.MALFORMED, detail, request_id)
        message = SendEngineOrder(
            request_id=request_id, upstream_id=order.upstream, kind=order.kind, name=order.name
        )
        result = await self._send_to_owner(message)
        if isinstance(result, Refusal):
            return problem_response(result, request_id)
        self._node.decisions.add(
            "order", request_id, upstream=order.upstream, order=order.kind, fencing=result.fencing
        )
        answer = msgspec.json.encode({"status": result.status, "fencing": result.fencing})
        return HttpResponse(
            status=200, headers=(("content-type", "application/json"),), body=answer
        )

    async def _send_to_owner(self, message: SendEngineOrder) -> EngineOrderResult | Refusal:
        owner = self._node.ownership.shards.owner_of(message.upstream_id)
        if owner is None:
            return Refusal(
                kind=ErrorKind.OWNER_UNAVAILABLE, detail="no owner is known", retry_after_s=1.0
            )
        if owner == self._node.instance_id:
            return await send_locally(self._node, message)
        answer = await self._node.bus.request(owner, message, ORDER_TIMEOUT_S)
        return answer.err_value if isinstance(answer, Err) else answer.ok_value


async def send_locally(node: "Node", message: SendEngineOrder) -> EngineOrderResult | Refusal:
    """Send an order as the owner of the upstream's id."""
    listed = node.board.upstreams.read().get(UpstreamId(message.upstream_id))
    shard = node.ownership.shards.find_open_for(message.upstream_id)
    if listed is None:
        return Refusal(kind=ErrorKind.NOT_FOUND, detail=f"no upstream {message.upstream_id}")
    if shard is None or not shard.holds_ownership():
        return Refusal(
            kind=ErrorKind.OWNER_UNAVAILABLE,
            detail="this instance is not the owner",
            retry_after_s=1.0,
        )
    fencing = f"{shard.shard_id}:{shard.epoch}"
    identity = RequestIdentity(request_id=message.request_id, fencing=fencing)
    order = {"kind": message.kind, "name": message.name}
    result = await node.executor.upstream_clients.engine.order(listed.address, order, identity)
    if isinstance(result, Err):
        failure = result.err_value
        return Refusal(kind=ErrorKind.UPSTREAM_FAILED, detail=failure.detail, ran=failure.ran)
    if result.ok_value == STATUS_CONFLICT:
        detail = f"{message.upstream_id} has seen a newer fencing number than {fencing}"
        return Refusal(kind=ErrorKind.VERSION_CONFLICT, detail=detail, ran=Ran.NO)
    return EngineOrderResult(status=result.ok_value, fencing=fencing)


@handles(SendEngineOrder)
async def _send_for_peer(node: "Node", call: InboundCall, message: SendEngineOrder) -> None:
    result = await send_locally(node, message)
    call.reply(CallRefused.from_refusal(result) if isinstance(result, Refusal) else result)


def _problem(kind: ErrorKind, detail: str, request_id: str) -> HttpResponse:
    return problem_response(Refusal(kind=kind, detail=detail), request_id)
