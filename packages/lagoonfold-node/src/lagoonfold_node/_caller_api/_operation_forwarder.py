"""The arrival's side of the path: an operation finds its program's owner and brings the answer.

An owner that is lost, or is changing, is asked again, or the new one is, until the caller's time
is over, or until this instance can no longer learn who the owner is. That is safe for every
operation: the records at the owner tell a repeat from a first time. A streamed answer goes on from
what the caller has.
"""

from dataclasses import dataclass

import msgspec
import trio

from lagoonfold import ErrorKind, InstanceId, Ran, Refusal
from lagoonfold_io.observe import Metrics
from lagoonfold_node._caller_api._caller_sink import CallerSink
from lagoonfold_node._execution import (
    OPERATION_HANDLERS_BY_TYPE,
    Executor,
    PeerSink,
    ProgramOperation,
    RunCall,
    ShardLookup,
    owner_changing_refusal,
)
from lagoonfold_node._peers import (
    CallRefused,
    InboundCall,
    PeerBus,
    PeerLostError,
    StreamEnd,
    StreamHead,
    StreamPart,
    handles,
)

OWNER_WAIT_S = 20.0
RETRY_INTERVAL_S = 0.05


@dataclass(slots=True, kw_only=True)
class OperationForwarder:
    """Brings operations to owners; `count` is told of each repeat by reason."""

    instance_id: InstanceId
    shards: ShardLookup
    bus: PeerBus
    executor: Executor
    metrics: Metrics

    async def perform(self, operation: ProgramOperation, sink: CallerSink) -> Refusal | None:
        """Perform an operation wherever its program is owned; return a refusal, or None."""
        deadline_s = trio.current_time() + operation.timeout_s
        give_up_s = min(deadline_s, trio.current_time() + OWNER_WAIT_S)
        ran = Ran.NO
        while True:
            operation = _left(operation, deadline_s, sink)
            refusal = await self._try(operation, sink)
            if refusal is None or refusal.kind is not ErrorKind.OWNER_UNAVAILABLE:
                return _with_ran(refusal, ran)
            ran = _worse(ran, refusal.ran)
            if sink.has_streamed and sink.delivered().is_done:
                await sink.finish()
                return None
            cut_off = self.shards.owner_lookup_refusal()
            if cut_off is not None:
                return _with_ran(cut_off, ran)
            if trio.current_time() + RETRY_INTERVAL_S >= give_up_s:
                return _with_ran(refusal, ran)
            self.metrics.count("retries", "owner-unavailable")
            await trio.sleep(RETRY_INTERVAL_S)

    async def _try(self, operation: ProgramOperation, sink: CallerSink) -> Refusal | None:
        owner = self.shards.owner_of(operation.program_id)
        if owner is None:
            return owner_changing_refusal(operation.program_id)
        if owner == self.instance_id:
            return await self.executor.perform(operation, sink)
        return await self._relay(owner, operation, sink)

    async def _relay(
        self, owner: InstanceId, operation: ProgramOperation, sink: CallerSink
    ) -> Refusal | None:
        """Give the owner's answer to the caller as it comes."""
        has_head = False
        async with self.bus.stream(owner, operation) as stream:
            while True:
                try:
                    message = await stream.receive()
                except PeerLostError as error:
                    return _lost(owner, str(error))
                match message:
                    case StreamPart() | StreamEnd() if not has_head:
                        return _lost(owner, "the head of the answer was lost")
                    case StreamPart(data=data):
                        await sink.send(data)
                    case StreamHead(status=status, content_type=content_type):
                        has_head = True
                        await sink.start(status, content_type)
                        stream.relay_parts_to(sink)
                    case StreamEnd():
                        await sink.finish()
                        return None
                    case CallRefused():
                        return message.to_refusal()


def _left(operation: ProgramOperation, deadline_s: float, sink: CallerSink) -> ProgramOperation:
    """Return the operation with the time that is left, and with what the caller has already."""
    changes: dict[str, object] = {"timeout_s": max(0.0, deadline_s - trio.current_time())}
    if isinstance(operation, RunCall) and sink.has_streamed:
        delivered = sink.delivered()
        changes["delivered_text"] = delivered.text()
        changes["delivered_tokens"] = delivered.tokens
    return msgspec.structs.replace(operation, **changes)


def _lost(owner: InstanceId, detail: str) -> Refusal:
    return Refusal(
        kind=ErrorKind.OWNER_UNAVAILABLE,
        detail=f"{owner} was lost: {detail}",
        ran=Ran.UNKNOWN,
        retry_after_s=1.0,
    )


def _worse(ran: Ran, other: Ran) -> Ran:
    return Ran.NO if ran is Ran.NO and other is Ran.NO else Ran.UNKNOWN


def _with_ran(refusal: Refusal | None, ran: Ran) -> Refusal | None:
    """Return a refusal that does not claim less than an earlier try left open."""
    if refusal is None or ran is Ran.NO or refusal.ran is not Ran.NO:
        return refusal
    return Refusal(
        kind=refusal.kind,
        detail=refusal.detail,
        ran=Ran.UNKNOWN,
        retry_after_s=refusal.retry_after_s,
    )


async def perform_for_peer(node, call: InboundCall, operation: ProgramOperation) -> None:
    """Perform an operation that arrived at another instance."""
    sink = PeerSink(call)
    refusal = await node.executor.perform(operation, sink)
    if refusal is not None:
        sink.refuse(refusal)


for _operation_type in OPERATION_HANDLERS_BY_TYPE:
    handles(_operation_type)(perform_for_peer)
