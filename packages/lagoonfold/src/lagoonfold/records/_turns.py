"""Turns of a program's history, and the hash chain over them.

    chain(0) = digest(program id)
    chain(n) = digest(chain(n - 1), digest(turn n))

The owner keeps the last digest of the chain. `check_history` recomputes the chain of a stored
history, which reveals turns that are missing, changed or of another program.
"""

import hashlib
from enum import Enum

import msgspec
from result import Err, Ok, Result

from lagoonfold._ids import ProgramId
from lagoonfold.records._costs import Cost

DIGEST_BYTES = 16


class CallOutcome(Enum):
    """How a call ended.

    A call that is `ANSWERED` or `UNKNOWN` becomes a turn of the history. One that `FAILED`, which
    is idempotent, or was `NOT_RUN`, as no byte of it was sent, leaves its turn free to be called
    again.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Turn(msgspec.Struct, frozen=True, array_like=True):
    """One call of a program: its request and its outcome.

    `body` holds the request as the caller sent it: the new messages of the turn. `status` is the
    HTTP status of the answer, or zero if there was no answer.
    """

    number: int
    call_id: str
    route: str
    is_idempotent: bool
    idempotency_key: str
    content_digest: str
    body: bytes
    outcome: CallOutcome
    status: int
    content_type: str
    answer: bytes
    used: Cost


def digest_of_content(*parts: bytes) -> str:
    """Return the digest of a request's parts, in hexadecimal; it depends on where parts end."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def initial_history_digest(program_id: ProgramId) -> bytes:
    """Return the first digest of a program's hash chain, before any turn."""
    return hashlib.blake2b(program_id.encode(), digest_size=DIGEST_BYTES).digest()


def extend_history_digest(digest: bytes, turn: Turn) -> bytes:
    """Return the digest of the hash chain after a turn that follows the digest `digest`."""
    turn_digest = hashlib.blake2b(encode_turn(turn), digest_size=DIGEST_BYTES).digest()
    return hashlib.blake2b(digest + turn_digest, digest_size=DIGEST_BYTES).digest()


def check_history(
    program_id: ProgramId, turns: tuple[Turn, ...], history_digest: bytes
) -> Result[tuple[Turn, ...], str]:
    """Return the turns if they are the program's whole history in order, else an error text."""
    link = initial_history_digest(program_id)
    for index, turn in enumerate(turns, start=1):
        if turn.number != index:
            return Err(f"{program_id}: found turn {turn.number} in place of turn {index}")
        link = extend_history_digest(link, turn)
    if link != history_digest:
        return Err(f"{program_id}: the digest chain of {len(turns)} turns does not match")
    return Ok(turns)


_ENCODER = msgspec.msgpack.Encoder()
_TURN_DECODER = msgspec.msgpack.Decoder(Turn)


def encode_turn(turn: Turn) -> bytes:
    """Encode a turn; equal turns give equal bytes."""
    return _ENCODER.encode(turn)


def decode_turn(data: bytes) -> Result[Turn, str]:
    """Decode a turn."""
    try:
        return Ok(_TURN_DECODER.decode(data))
    except msgspec.DecodeError as error:
        return Err(f"turn: {error}")
