"""The messages by which instances pass the configuration on."""

from lagoonfold.config import ChangeRecord, ConfigAnswer
from lagoonfold_node._peers import PeerMessage, peer_message


@peer_message
class VerifyConfig(PeerMessage, tag="verify-config"):
    """Ask the watcher for what it knows beyond a version."""

    known_version: int


@peer_message
class ConfigVerified(PeerMessage, tag="config-verified"):
    """The answer to `VerifyConfig`."""

    answer: ConfigAnswer


@peer_message
class ConfigChanged(PeerMessage, tag="config-changed"):
    """Changes that the watcher has just seen, for the instances of its group."""

    records: tuple[ChangeRecord, ...]
