"""Forwards operations from the instance where they arrive to the owners of their programs.

While the owner is lost or changing, the operation is sent again to the current owner, until the
caller's deadline, or until this instance can't learn who the owner is. Retries are safe for every
operation, since the owner recognizes repeats by its records. A streamed answer is resumed after
the part that was delivered to the caller.
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

OWNER_WAIT_S = 20.0  # longest time of retries while no owner is available
RETRY_INTERVAL_S = 0.05


@dataclass(slots=True, kw_only=True)
class OperationForwarder:
    """Forwards operations to the owners of their programs and counts the retries."""

    instance_id: InstanceId
    shards: ShardLookup
    bus: PeerBus
    executor: Executor
    metrics: Metrics

    async def perform(self, operation: ProgramOperation, sink: CallerSink) -> Refusal | None:
        """Perform an operation at its program's owner; return a refusal, or None on success."""
        deadline_s = trio.current_time() + operation.timeout_s
        give_up_s = min(deadline_s, trio.current_time() + OWNER_WAIT_S)
        ran = Ran.NO
        while True:
            operation = _update_for_attempt(operation, deadline_s, sink)
            refusal = await self._perform_once(operation, sink)
            if refusal is None or refusal.kind is not ErrorKind.OWNER_UNAVAILABLE:
                return _with_earlier_ran(refusal, ran)
            ran = _combine_ran(ran, refusal.ran)
            if sink.has_streamed and sink.delivered().is_done:
                await sink.finish()
                return None
            lookup_refusal = self.shards.owner_lookup_refusal()
            if lookup_refusal is not None:
                return _with_earlier_ran(lookup_refusal, ran)
            if trio.current_time() + RETRY_INTERVAL_S >= give_up_s:
                return _with_earlier_ran(refusal, ran)
            self.metrics.count("retries", "owner-unavailable")
            await trio.sleep(RETRY_INTERVAL_S)

    async def _perform_once(self, operation: ProgramOperation, sink: CallerSink) -> Refusal | None:
        owner = self.shards.owner_of(operation.program_id)
        if owner is None:
            return owner_changing_refusal(operation.program_id)
        if owner == self.instance_id:
            return await self.executor.perform(operation, sink)
        return await self._relay(owner, operation, sink)

    async def _relay(
        self, owner: InstanceId, operation: ProgramOperation, sink: CallerSink
    ) -> Refusal | None:
        """Send an operation to its owner and relay the answer to the caller as it arrives."""
        has_head = False
        async with self.bus.stream(owner, operation) as stream:
            while True:
                try:
                    message = await stream.receive()
                except PeerLostError as error:
                    return _owner_lost(owner, str(error))
                match message:
                    case StreamPart() | StreamEnd() if not has_head:
                        return _owner_lost(owner, "the head of the answer was lost")
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


def _update_for_attempt(
    operation: ProgramOperation, deadline_s: float, sink: CallerSink
) -> ProgramOperation:
    """Return the operation with the remaining time and what was delivered to the caller."""
    changes: dict[str, object] = {"timeout_s": max(0.0, deadline_s - trio.current_time())}
    if isinstance(operation, RunCall) and sink.has_streamed:
        delivered = sink.delivered()
        changes["delivered_text"] = delivered.text()
        changes["delivered_tokens"] = delivered.tokens
    return msgspec.structs.replace(operation, **changes)


def _owner_lost(owner: InstanceId, detail: str) -> Refusal:
    return Refusal(
        kind=ErrorKind.OWNER_UNAVAILABLE,
        detail=f"{owner} was lost: {detail}",
        ran=Ran.UNKNOWN,
        retry_after_s=1.0,
    )


def _combine_ran(ran: Ran, other: Ran) -> Ran:
    """Return NO only if neither attempt ran."""
    return Ran.NO if ran is Ran.NO and other is Ran.NO else Ran.UNKNOWN


def _with_earlier_ran(refusal: Refusal | None, ran: Ran) -> Refusal | None:
    """Return the refusal, with `ran` unknown if an earlier attempt may have run."""
    if refusal is None or ran is Ran.NO or refusal.ran is not Ran.NO:
        return refusal
    return Refusal(
        kind=refusal.kind,
        detail=refusal.detail,
        ran=Ran.UNKNOWN,
        retry_after_s=refusal.retry_after_s,
    )


async def perform_for_peer(node, call: InboundCall, operation: ProgramOperation) -> None:
    """Perform an operation forwarded by another instance."""
    sink = PeerSink(call)
    refusal = await node.executor.perform(operation, sink)
    if refusal is not None:
        sink.refuse(refusal)


for _operation_type in OPERATION_HANDLERS_BY_TYPE:
    handles(_operation_type)(perform_for_peer)
