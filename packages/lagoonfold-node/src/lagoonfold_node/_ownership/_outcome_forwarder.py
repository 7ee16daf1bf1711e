"""Forwards a call's outcome to the shard's new owner if the shard moved during the call.

The new owner keeps the call as running, with its executor's run id. It settles the call exactly
once even if messages are repeated, and refuses an outcome for a call that it has already settled as
interrupted.
"""

import trio
from result import Err, Ok, Result

from lagoonfold import ErrorKind, Refusal, ShardId
from lagoonfold.records import CallSettled, Record, decode_records, encode_records
from lagoonfold_node._ownership._context import OwnershipContext
from lagoonfold_node._peers import CallRefused, InboundCall, PeerMessage, handles, peer_message

_REQUEST_TIMEOUT_S = 2.0
_FIRST_RETRY_S = 0.1
_MAX_RETRY_S = 2.0
_FINAL_KINDS = (ErrorKind.OUTCOME_UNKNOWN, ErrorKind.NOT_FOUND)


@peer_message
class SettleCalls(PeerMessage, tag="settle-calls"):
    """Sent by the executor of calls to their shard's new owner, with the calls' outcomes.

    `records` are encoded `CallSettled` records. The answer is `CallsSettled` or `CallRefused`.
    """

    shard_id: int
    records: bytes


@peer_message
class CallsSettled(PeerMessage, tag="calls-settled"):
    """The owner's answer to `SettleCalls`: the outcomes are durable."""


class OutcomeForwarder:
    """Send outcomes to the shard's current owner until it accepts or finally refuses them."""

    def __init__(self, context: OwnershipContext, shard_id: ShardId) -> None:
        self._context = context
        self._shard_id = shard_id

    async def settle(self, records: tuple[Record, ...]) -> Result[None, Refusal]:
        """Make outcomes durable at the new owner; retry without a time limit.

        The new owner keeps the calls as running for as long as this process is a member.
        """
        message = SettleCalls(shard_id=self._shard_id, records=encode_records(records))
        retry_s = _FIRST_RETRY_S
        while True:
            answer = await self._send_once(message)
            if isinstance(answer, Ok) or answer.err_value.kind in _FINAL_KINDS:
                self._context.metrics.count("forwarded_outcomes")
                return answer
            await trio.sleep(retry_s)
            retry_s = min(_MAX_RETRY_S, retry_s * 2)

    async def _send_once(self, message: SettleCalls) -> Result[None, Refusal]:
        owner = self._context.owner(self._shard_id)
        bus = self._context.bus
        if owner is None or bus is None:
            return Err(Refusal(kind=ErrorKind.OWNER_UNAVAILABLE, detail="no owner is known"))
        if owner.instance_id == self._context.instance_id:
            return await settle_locally(self._context, self._shard_id, message.records)
        answer = await bus.request(owner.instance_id, message, _REQUEST_TIMEOUT_S)
        return answer.map(lambda _: None)


async def settle_locally(
    context: OwnershipContext, shard_id: ShardId, data: bytes
) -> Result[None, Refusal]:
    """Settle calls from encoded `CallSettled` records, on a shard that is open here."""
    shard = context.board.shards.read().get(shard_id)
    if shard is None or not shard.holds_ownership():
        return Err(Refusal(kind=ErrorKind.OWNER_UNAVAILABLE, detail="the shard is not open here"))
    records = decode_records(data)
    if isinstance(records, Err):
        return Err(Refusal(kind=ErrorKind.MALFORMED, detail=records.err_value))
    for record in records.ok_value:
        if not isinstance(record, CallSettled):
            return Err(Refusal(kind=ErrorKind.MALFORMED, detail="only outcomes are accepted"))
        decided = shard.state.decide_settle(record)
        if isinstance(decided, Err):
            return decided
        committed = await shard.commit(decided.ok_value)
        if isinstance(committed, Err):
            return committed
    return Ok(None)


@handles(SettleCalls)
async def _settle_for_peer(node, call: InboundCall, message: SettleCalls) -> None:
    context = node.ownership.context
    settled = await settle_locally(context, ShardId(message.shard_id), message.records)
    if isinstance(settled, Ok):
        call.reply(CallsSettled())
    else:
        call.reply(CallRefused.from_refusal(settled.err_value))
