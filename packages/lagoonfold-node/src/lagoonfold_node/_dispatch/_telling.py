"""How a dispatcher tells all other instances what it has found out."""

from collections.abc import Callable, Iterable

from lagoonfold import InstanceId
from lagoonfold_node._peers import PeerBus, PeerMessage

Tell = Callable[[PeerMessage], None]


def teller(bus: PeerBus, peers: Callable[[], Iterable[InstanceId]]) -> Tell:
    """Return what sends a message to all peers."""

    def tell(message: PeerMessage) -> None:
        for peer in peers():
            bus.send(peer, message)

    return tell
