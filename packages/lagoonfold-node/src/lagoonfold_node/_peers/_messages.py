"""Wire messages between instances, as tagged msgpack structs.

A message type is declared where it is used and entered by a decorator; the codec knows every type
that was declared before the bus was made.

    @peer_message
    class RequestLoan(PeerMessage, tag="borrow-allowance"):
        account_id: str
        wanted: float
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
    """Enter a message type; its tag must be unique."""
    tag = str(message_type.__struct_config__.tag)
    if tag in MESSAGE_TYPES_BY_TAG:
        raise ValueError(f"message tag {tag} is taken")
    MESSAGE_TYPES_BY_TAG[tag] = message_type
    return message_type


class Frame(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One message in transit.

    `incarnation` tells a restarted sender from the former one of the same id. `call_id` joins
    the messages of one call and is made by the instance that calls. `is_answer` tells the
    answers of the called instance from the messages of the calling one.
    """

    version: int
    sender: str
    incarnation: str
    call_id: str
    is_answer: bool
    body: msgspec.Raw


@peer_message
class StreamHead(PeerMessage, tag="stream-head"):
    """The status and the content type of a streamed answer."""

    status: int
    content_type: str


@peer_message
class StreamPart(PeerMessage, tag="stream-part"):
    """A run of bytes of a streamed answer; `offset` is the number of bytes sent before it."""

    offset: int
    data: bytes


@peer_message
class StreamEnd(PeerMessage, tag="stream-end"):
    """The whole answer has been sent; `size` is its length in bytes."""

    size: int


@peer_message
class StreamCredit(PeerMessage, tag="stream-credit"):
    """The receiver of a stream takes bytes up to the offset `limit`."""

    limit: int


@peer_message
class CallCancelled(PeerMessage, tag="call-cancelled"):
    """The caller no longer wants the answer."""


@peer_message
class CallRefused(PeerMessage, tag="call-refused"):
    """The call was refused or failed; the fields are those of `lagoonfold.Refusal`."""

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
    """Asks whether the calls that have made no progress are still known to the receiver.

    `unanswered` is how many probes before this one got no answer, in a row.
    """

    call_ids: tuple[str, ...]
    unanswered: int = 0


@peer_message
class ProbeAnswer(PeerMessage, tag="probe-answer"):
    """Names the probed calls that the sender does not know."""

    unknown_call_ids: tuple[str, ...]


class Codec:
    """Encodes and decodes frames and their bodies."""

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
