"""EngineOrders to engines: load a model, an adapter or a version, or change role.

The owner of the engine's id gives the order, under its shard's epoch as the fencing number. Its
right to act is asked immediately before; for an engine that does not check the number, that and
the wait of a takeover are the only barrier.

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
CONFLICT = 409


class OrderBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An operator's order."""

    upstream: str
    kind: str
    name: str


@peer_message
class SendEngineOrder(PeerMessage, tag="give-order"):
    """Asks the owner of an upstream's id to give it an order."""

    request_id: str
    upstream_id: str
    kind: str
    name: str


@peer_message
class EngineOrderResult(PeerMessage, tag="order-given"):
    """The upstream's answer to an order."""

    status: int
    fencing: str


class EngineOrders:
    """Takes orders from operators and brings them to their owners."""

    def __init__(self, node: "Node") -> None:
        self._node = node

    async def send(self, body: bytes) -> HttpResponse:
        """Give an order; the answer names the fencing number that it went out under."""
        request_id = new_id("req")
        try:
            order = msgspec.json.decode(body, type=OrderBody)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return _problem(ErrorKind.MALFORMED, str(error), request_id)
        if order.kind not in ORDER_KINDS:
            detail = f"kind: one of {', '.join(ORDER_KINDS)}"
            return _problem(ErrorKind.MALFORMED, detail, request_id)
        message = SendEngineOrder(
            request_id=request_id, upstream_id=order.upstream, kind=order.kind, name=order.name
        )
        given = await self._bring(message)
        if isinstance(given, Refusal):
            return problem_response(given, request_id)
        self._node.decisions.add(
            "order", request_id, upstream=order.upstream, order=order.kind, fencing=given.fencing
        )
        answer = msgspec.json.encode({"status": given.status, "fencing": given.fencing})
        return HttpResponse(
            status=200, headers=(("content-type", "application/json"),), body=answer
        )

    async def _bring(self, message: SendEngineOrder) -> EngineOrderResult | Refusal:
        owner = self._node.ownership.shards.owner_of(message.upstream_id)
        if owner is None:
            return Refusal(kind=ErrorKind.OWNER_UNAVAILABLE, detail="no owner", retry_after_s=1.0)
        if owner == self._node.instance_id:
            return await send_locally(self._node, message)
        answer = await self._node.bus.request(owner, message, ORDER_TIMEOUT_S)
        return answer.err_value if isinstance(answer, Err) else answer.ok_value


async def send_locally(node: "Node", message: SendEngineOrder) -> EngineOrderResult | Refusal:
    """Give an order as the owner of the upstream's id."""
    listed = node.board.upstreams.read().get(UpstreamId(message.upstream_id))
    shard = node.ownership.shards.find_open_for(message.upstream_id)
    if listed is None:
        return Refusal(kind=ErrorKind.NOT_FOUND, detail=f"no upstream {message.upstream_id}")
    if shard is None or not shard.holds_ownership():
        return Refusal(kind=ErrorKind.OWNER_UNAVAILABLE, detail="not owner", retry_after_s=1.0)
    fencing = f"{shard.shard_id}:{shard.epoch}"
    identity = RequestIdentity(request_id=message.request_id, fencing=fencing)
    order = {"kind": message.kind, "name": message.name}
    given = await node.executor.upstream_clients.engine.order(listed.address, order, identity)
    if isinstance(given, Err):
        failure = given.err_value
        return Refusal(kind=ErrorKind.UPSTREAM_FAILED, detail=failure.detail, ran=failure.ran)
    if given.ok_value == CONFLICT:
        detail = f"{message.upstream_id} has seen a newer fencing number than {fencing}"
        return Refusal(kind=ErrorKind.VERSION_CONFLICT, detail=detail, ran=Ran.NO)
    return EngineOrderResult(status=given.ok_value, fencing=fencing)


@handles(SendEngineOrder)
async def _send_for_peer(node: "Node", call: InboundCall, message: SendEngineOrder) -> None:
    given = await send_locally(node, message)
    call.reply(CallRefused.from_refusal(given) if isinstance(given, Refusal) else given)


def _problem(kind: ErrorKind, detail: str, request_id: str) -> HttpResponse:
    return problem_response(Refusal(kind=kind, detail=detail), request_id)
