"""Messages between instances over pynng: requests, and streams with credit-based flow control."""

from lagoonfold_node._peers._bus import PeerBus, peer_unavailable_refusal
from lagoonfold_node._peers._calls import (
    InboundCall,
    OutboundStream,
    PeerLostError,
)
from lagoonfold_node._peers._messages import (
    MESSAGE_TYPES_BY_TAG,
    CallRefused,
    PeerMessage,
    StreamEnd,
    StreamHead,
    StreamPart,
    peer_message,
)
from lagoonfold_node._peers._part_relay import PartRelay, PartTarget
from lagoonfold_node._peers._registry import HANDLERS_BY_TYPE, handles

__all__ = [
    "HANDLERS_BY_TYPE",
    "MESSAGE_TYPES_BY_TAG",
    "CallRefused",
    "InboundCall",
    "OutboundStream",
    "PartRelay",
    "PartTarget",
    "PeerBus",
    "PeerLostError",
    "PeerMessage",
    "StreamEnd",
    "StreamHead",
    "StreamPart",
    "handles",
    "peer_message",
    "peer_unavailable_refusal",
]
