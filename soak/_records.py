"""What a run records: the runs of replicas, and what callers got of each stream."""

import re
from dataclasses import dataclass, field

_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+) (\d+) (\d+)/\d+ *\Z")
_DATA = re.compile(rb"^data", re.MULTILINE)
_FIELD_OR_COMMENT = re.compile(rb"(?:data|event|id|retry)?:")


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a request at a replica; `after` is the number of the event it went on after."""

    run_id: int
    stream: str
    attempt: str
    after: int
    replica: str
    service: str
    version: str
    answer: str


@dataclass(frozen=True, slots=True)
class Piece:
    """An event as a caller got it."""

    number: int
    version: str
    stream: str
    run_id: int


@dataclass(slots=True)
class Try:
    """What a caller got of one request; `status` is 0 without an answer."""

    attempt: str
    gateway: str
    after: int
    sent_s: float
    account: str = ""
    status: int = 0
    is_sealed: bool = False
    is_complete: bool = False
    pieces: list[Piece] = field(default_factory=list)
    strange: list[bytes] = field(default_factory=list)
    error: str = ""
    ended_s: float = 0.0


@dataclass(slots=True)
class Stream:
    """All tries of one stream of `total` events."""

    name: str
    total: int
    route: str
    can_resume: bool
    tries: list[Try] = field(default_factory=list)

    @property
    def pieces(self) -> list[Piece]:
        """Return the events of all tries, in the order in which they came."""
        return [piece for each in self.tries if each.status == 200 for piece in each.pieces]

    @property
    def last_number(self) -> int:
        """Return the number of the last event, 0 without one."""
        pieces = self.pieces
        return pieces[-1].number if pieces else 0

    @property
    def is_whole(self) -> bool:
        """Return whether an answer has ended as complete."""
        return any(each.status == 200 and each.is_complete for each in self.tries)


def read_event(data: bytes) -> Piece | bytes | None:
    """Return an event, the bytes themselves if they are none, or None for one without data."""
    if match := _EVENT.fullmatch(data):
        number, version, stream, run_id, _ = match.groups()
        return Piece(int(number), version.decode(), stream.decode(), int(run_id))
    lines = data.splitlines()
    if _DATA.search(data) is None and all(_FIELD_OR_COMMENT.match(line) for line in lines):
        return None
    return data
