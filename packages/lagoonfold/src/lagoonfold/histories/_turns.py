"""The turns that the system keeps for callers, and the prompts that follow from them.

On a route that keeps histories, a turn carries only its new input and the id of the turn that it
continues from. The upstream gets the whole chain: the input of each turn, oldest first, followed by
the text of its answer, and then the new input. Several turns may continue from one.
"""

from collections.abc import Iterable

import msgspec
from result import Err, Ok, Result

from lagoonfold._frames import TURN, frame, unframe

DATA_FIELD = b"data"
_ENCODER = msgspec.msgpack.Encoder()


class KeptTurn(msgspec.Struct, frozen=True, array_like=True):
    """An answered turn: written once, by the instance that answered it, and never changed.

    `previous` is the id of the turn that it continues from, None at the start of a chain. `program`
    is the program it ran for, which selects the disks that hold it. `request` is its input and
    `answer` the text of its events.
    """

    turn_id: str
    account: str
    previous: str | None
    program: str
    request: bytes
    answer: bytes

    @property
    def key(self) -> str:
        """Return the key that names this turn among those of all accounts."""
        return turn_key(self.account, self.turn_id)

    @property
    def size_bytes(self) -> int:
        """Return the size of the texts."""
        return len(self.request) + len(self.answer)


def turn_key(account: str, turn_id: str) -> str:
    """Return the key of an account's turn; the ids of two accounts may be equal."""
    return f"{account}\n{turn_id}"


_DECODER = msgspec.msgpack.Decoder(KeptTurn)


def encode_kept_turn(turn: KeptTurn) -> bytes:
    """Return a turn as it is written to a disk, with a checksum."""
    return frame(TURN, _ENCODER.encode(turn))


def decode_kept_turn(data: bytes) -> Result[KeptTurn, str]:
    """Return the turn of what was read from a disk, or what is wrong with it."""
    content = unframe(TURN, data)
    if isinstance(content, Err):
        return content
    try:
        return Ok(_DECODER.decode(content.ok_value))
    except msgspec.MsgspecError as error:
        return Err(str(error))


def text_of_event(event: bytes) -> bytes:
    """Return the data of a whole event of a stream, followed by a line feed.

    An event without data has no text.

        text_of_event(b"id: 4\\ndata: to be\\ndata: or not\\n\\n")    # b"to be\\nor not\\n"
    """
    values: list[bytes] = []
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == DATA_FIELD:
            values.append(value.removeprefix(b" "))
    return b"\n".join(values) + b"\n" if values else b""


def prompt_parts(chain: Iterable[KeptTurn]) -> tuple[bytes, ...]:
    """Return what an upstream gets before a new input: the turns of a chain, oldest first."""
    return tuple(part for turn in chain for part in (turn.request, turn.answer))


def make_prompt(chain: Iterable[KeptTurn], request: bytes) -> bytes:
    """Return the body for an upstream: the turns of a chain, oldest first, and the new input."""
    return b"".join((*prompt_parts(chain), request))
