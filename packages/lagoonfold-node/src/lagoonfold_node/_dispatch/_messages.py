"""What dispatchers say to each other."""

from lagoonfold.resilience import PoisonNotice
from lagoonfold.scheduling import EjectionNotice
from lagoonfold_node._peers import PeerMessage, peer_message


@peer_message
class PoisonReport(PeerMessage, tag="poison-seen"):
    """An upstream went down, or broke off, while it ran a request."""

    notice: PoisonNotice


@peer_message
class SlowReplicaReport(PeerMessage, tag="pace-seen"):
    """A replica of a model was found to be slow, or well again."""

    model: str
    notice: EjectionNotice
