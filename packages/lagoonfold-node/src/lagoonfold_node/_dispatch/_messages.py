"""The messages between dispatchers."""

from lagoonfold.resilience import PoisonNotice
from lagoonfold.scheduling import EjectionNotice
from lagoonfold_node._peers import PeerMessage, peer_message


@peer_message
class PoisonReport(PeerMessage, tag="poison-seen"):
    """Reports that an upstream crashed or disconnected while it ran a request.

    The instance that sent the request broadcasts it to all peers; there is no answer.
    """

    notice: PoisonNotice


@peer_message
class SlowReplicaReport(PeerMessage, tag="pace-seen"):
    """Reports that a replica of a model was ejected as slow, or reinstated.

    The instance that decided so broadcasts it to all peers; there is no answer.
    """

    model: str
    notice: EjectionNotice
