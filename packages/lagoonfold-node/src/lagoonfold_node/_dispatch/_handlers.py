"""Handlers of the messages that dispatchers broadcast."""

from typing import Protocol

from lagoonfold_node._dispatch._dispatcher import Dispatcher
from lagoonfold_node._dispatch._messages import PoisonReport, SlowReplicaReport
from lagoonfold_node._peers import InboundCall, handles


class HasDispatch(Protocol):
    """The attributes of the node that the handlers use."""

    dispatcher: Dispatcher


@handles(PoisonReport)
async def _apply_poison_report(node: HasDispatch, call: InboundCall, message: PoisonReport) -> None:
    node.dispatcher.poison.record(message.notice)


@handles(SlowReplicaReport)
async def _apply_slow_replica_report(
    node: HasDispatch, call: InboundCall, message: SlowReplicaReport
) -> None:
    node.dispatcher.slow_replicas.apply_report(message)
