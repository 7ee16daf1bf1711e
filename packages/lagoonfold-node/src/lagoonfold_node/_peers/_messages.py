"""Wire messages between instances, as tagged msgpack structs.

A message type is declared where it is used and registered by a decorator. A codec knows the types
that were registered before it was created, and each bus creates its own codec.

    @peer_message
    class StreamEnd(PeerMessage, tag="stream-end"):
        size: int
"""

from typing import TypeVar, Union

import msgspec

from lagoonfold import ErrorKind, Ran, Refusal

WIRE_VERSION = 1


class PeerMessage(msgspec.Struct, frozen=True, kw_only=True):
    """The base of every message that one instance sends to another."""


M = TypeVar("M", bound=type[PeerMessage])
MESSAGE_TYPES_BY_TAG: dict[str, type[PeerMessage]] = {}


def peer_message(message_type: M) -> M:
    """Register a message type; raise `ValueError` if its tag is already in use."""
    tag = str(message_type.__struct_config__.tag)
    if tag in MESSAGE_TYPES_BY_TAG:
        raise ValueError(f"message tag {tag} is already in use")
    MESSAGE_TYPES_BY_TAG[tag] = message_type
    return message_type


class Frame(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The envelope of one message.

    `incarnation` identifies the sender's process, and changes when the sender restarts with the
    same id. `call_id` is shared by the messages of one call and created by the calling instance.
    `is_answer` marks the messages of the called instance.
    """

    version: int
    sender: str
    incarnation: str
    call_id: str
    is_answer: bool
    body: msgspec.Raw


@peer_message
class StreamHead(PeerMessage, tag="stream-head"):
    """Sent by the called instance to start a streamed answer: its status and content type."""

    status: int
    content_type: str


@peer_message
class StreamPart(PeerMessage, tag="stream-part"):
    """Sent by the called instance: the bytes of a streamed answer from `offset` on."""

    offset: int
    data: bytes


@peer_message
class StreamEnd(PeerMessage, tag="stream-end"):
    """Sent by the called instance after the last part; `size` is the answer's length in bytes."""

    size: int


@peer_message
class StreamCredit(PeerMessage, tag="stream-credit"):
    """Sent by the calling instance: it accepts bytes of a stream up to the offset `limit`."""

    limit: int


@peer_message
class CallCancelled(PeerMessage, tag="call-cancelled"):
    """Sent by the calling instance: it no longer wants the answer."""


@peer_message
class CallRefused(PeerMessage, tag="call-refused"):
    """Sent by the called instance: the call was refused or failed.

    The fields are those of `lagoonfold.Refusal`.
    """

    kind: str
    detail: str
    ran: str
    retry_after_s: float

    @classmethod
    def from_refusal(cls, refusal: Refusal) -> "CallRefused":
        """Return the message for a refusal."""
        return cls(
            kind=refusal.kind.value,
            detail=refusal.detail,
            ran=refusal.ran.value,
            retry_after_s=refusal.retry_after_s,
        )

    def to_refusal(self) -> Refusal:
        """Return the refusal that the message carries."""
        return Refusal(
            kind=ErrorKind(self.kind),
            detail=self.detail,
            ran=Ran(self.ran),
            retry_after_s=self.retry_after_s,
        )


@peer_message
class ProbeCalls(PeerMessage, tag="probe-calls"):
    """Sent by a calling instance to a silent peer, with its calls that make no progress there.

    `unanswered` is how many consecutive probes before this one got no answer. The answer is
    `ProbeAnswer`.
    """

    call_ids: tuple[str, ...]
    unanswered: int = 0


@peer_message
class ProbeAnswer(PeerMessage, tag="probe-answer"):
    """The called instance's answer to `ProbeCalls`: the probed calls that it does not know."""

    unknown_call_ids: tuple[str, ...]


class Codec:
    """Encode and decode frames and their bodies."""

    def __init__(self) -> None:
        types = tuple(MESSAGE_TYPES_BY_TAG.values())
        self._encoder = msgspec.msgpack.Encoder()
        self._frame_decoder = msgspec.msgpack.Decoder(Frame)
        self._body_decoder = msgspec.msgpack.Decoder(Union[types])  # noqa: UP007

    def encode(self, frame: Frame) -> bytes:
        """Return the bytes of a frame."""
        return self._encoder.encode(frame)

    def encode_body(self, message: PeerMessage) -> msgspec.Raw:
        """Return the encoded body of a message."""
        return msgspec.Raw(self._encoder.encode(message))

    def decode(self, data: bytes) -> tuple[Frame, PeerMessage]:
        """Return a frame and its message; raise `msgspec.DecodeError` if either is invalid."""
        frame = self._frame_decoder.decode(data)
        if frame.version != WIRE_VERSION:
            raise msgspec.ValidationError(f"wire version {frame.version}")
        return frame, self._body_decoder.decode(frame.body)
