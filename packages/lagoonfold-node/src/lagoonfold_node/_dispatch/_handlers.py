"""Handlers of the dispatchers' messages; the node that they are called with has a dispatcher."""

from typing import Protocol

from lagoonfold_node._dispatch._dispatcher import Dispatcher
from lagoonfold_node._dispatch._messages import PaceSeen, PoisonSeen
from lagoonfold_node._peers import InboundCall, handles


class HasDispatch(Protocol):
    """What the handlers need of the node."""

    dispatcher: Dispatcher


@handles(PoisonSeen)
async def _take_notice(node: HasDispatch, call: InboundCall, message: PoisonSeen) -> None:
    node.dispatcher.poison.take(message.notice)


@handles(PaceSeen)
async def _take_pace(node: HasDispatch, call: InboundCall, message: PaceSeen) -> None:
    node.dispatcher.paces.take(message)
