"""The types of record in a shard's journal.

A record states what happened; only `ProgramShard.apply` changes state by it. Times are wall-clock
seconds since the Unix epoch, the only clock that two instances share. They are used for wall-time
budgets and retention; no safety guarantee depends on them.
"""

from enum import Enum

import msgspec

from lagoonfold.records._costs import Cost, ProgramLimits
from lagoonfold.records._turns import CallOutcome


class EndReason(Enum):
    """Why a program accepts no more calls."""

    CANCELLED = "cancelled"
    ENDED = "ended"
    EXPIRED = "expired"


class ProgramCreated(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Record that a program was created; `parent_id` is empty if it is no child program."""

    program_id: str
    account_id: str
    profile: str
    parent_id: str
    limits: ProgramLimits
    created_at_s: float


class CallBegun(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Record that a call is to be sent upstream; `run_id` identifies the process that sends it."""

    program_id: str
    call_id: str
    turn: int
    route: str
    is_idempotent: bool
    idempotency_key: str
    content_digest: str
    body: bytes
    reservation: Cost
    run_id: str


class AnswerPart(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Hold a part of an answer that is too large for one record; `CallSettled` holds the last part.

    A part replaces earlier parts of the same or a higher index; the part of index zero, all.
    """

    program_id: str
    call_id: str
    index: int
    data: bytes


class CallSettled(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Record how a call ended; `used` replaces its reservation."""

    program_id: str
    call_id: str
    outcome: CallOutcome
    status: int
    content_type: str
    answer: bytes
    used: Cost


class CallInterrupted(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """Record that a call's process is gone: the outcome is unknown, the reservation is all used."""

    program_id: str
    call_id: str


class ProgramEnded(msgspec.Struct, frozen=True, array_like=True, tag="e"):
    """Record that a program accepts no more calls."""

    program_id: str
    reason: EndReason
    ended_at_s: float


class ProgramDeleted(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """Record that an ended program was deleted after its retention time."""

    program_id: str


class EpochStarted(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """Record that a new owner took over the shard.

    It is the first record of its epoch and the only one in its journal entry, which fences off the
    former owner. Applying it interrupts the calls of processes that are not in `live_run_ids`.
    """

    epoch: int
    run_id: str
    live_run_ids: tuple[str, ...]


class ShardReleased(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Record that the owner handed the shard over and appends nothing more."""

    epoch: int


Record = (
    ProgramCreated
    | CallBegun
    | AnswerPart
    | CallSettled
    | CallInterrupted
    | ProgramEnded
    | ProgramDeleted
    | EpochStarted
    | ShardReleased
)
