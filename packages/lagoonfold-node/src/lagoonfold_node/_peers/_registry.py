"""The registry from message type to the function that handles it.

@handles(SettleCalls)
async def settle(node: Node, call: InboundCall, message: SettleCalls) -> None:
    call.reply(CallsSettled())
"""

from collections.abc import Awaitable, Callable
from typing import Any

from lagoonfold_node._peers._messages import PeerMessage

Handler = Callable[[Any, Any, Any], Awaitable[None]]

HANDLERS_BY_TYPE: dict[type[PeerMessage], Handler] = {}


def handles(message_type: type[PeerMessage]) -> Callable[[Handler], Handler]:
    """Register the decorated coroutine function as the handler of a message type.

    It is called with the bus's context (the node), the `InboundCall` and the message.
    """

    def register(handler: Handler) -> Handler:
        if message_type in HANDLERS_BY_TYPE:
            raise ValueError(f"{message_type.__name__} already has a handler")
        HANDLERS_BY_TYPE[message_type] = handler
        return handler

    return register
