"""Broadcast a dispatcher's findings to all other instances."""

from collections.abc import Callable, Iterable

from lagoonfold import InstanceId
from lagoonfold_node._peers import PeerBus, PeerMessage

Broadcast = Callable[[PeerMessage], None]


def make_broadcast(bus: PeerBus, peers: Callable[[], Iterable[InstanceId]]) -> Broadcast:
    """Return a function that sends a message to all peers."""

    def broadcast(message: PeerMessage) -> None:
        for peer in peers():
            bus.send(peer, message)

    return broadcast
