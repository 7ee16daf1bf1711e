"""The messages by which instances verify and distribute the configuration."""

from lagoonfold.config import ChangeRecord, ConfigAnswer
from lagoonfold_node._peers import PeerMessage, peer_message


@peer_message
class VerifyConfig(PeerMessage, tag="verify-config"):
    """Sent to the watcher by an instance of its group, with the version that is known there.

    The answer is `ConfigVerified`.
    """

    known_version: int


@peer_message
class ConfigVerified(PeerMessage, tag="config-verified"):
    """The watcher's answer to `VerifyConfig`: its version, when it was verified, and changes."""

    answer: ConfigAnswer


@peer_message
class ConfigChanged(PeerMessage, tag="config-changed"):
    """Sent by the watcher to its group: changes that it has just applied. There is no answer."""

    records: tuple[ChangeRecord, ...]
