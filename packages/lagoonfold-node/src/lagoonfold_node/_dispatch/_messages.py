"""What dispatchers say to each other."""

from lagoonfold.resilience import PoisonNotice
from lagoonfold_node._peers import PeerMessage, peer_message


@peer_message
class PoisonSeen(PeerMessage, tag="poison-seen"):
    """An upstream went down while it ran a request."""

    notice: PoisonNotice
