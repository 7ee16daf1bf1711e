"""The records of which a shard's journal is made.

A record states what happened; `ProgramShard.apply` is the only code that acts on one. Times are
wall-clock seconds since the Unix epoch, the only clock that two instances share. They decide
about budgets in wall time and about retention, never about safety.
"""

from enum import Enum

import msgspec

from lagoonfold.records._costs import Cost, ProgramLimits
from lagoonfold.records._turns import CallOutcome


class EndReason(Enum):
    """Why a program takes no more calls."""

    CANCELLED = "cancelled"
    ENDED = "ended"
    EXPIRED = "expired"


class ProgramCreated(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """A program was created; `parent_id` is empty for a root."""

    program_id: str
    account_id: str
    profile: str
    parent_id: str
    limits: ProgramLimits
    created_at_s: float


class CallBegun(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """A call may go upstream; `run_id` names the process that sends it."""

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
    """A part of an answer that is too large for one journal entry; `CallSettled` holds the last.

    The part of index zero replaces any parts before it.
    """

    program_id: str
    call_id: str
    index: int
    data: bytes


class CallSettled(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """A call ended; `used` replaces what was reserved for it."""

    program_id: str
    call_id: str
    outcome: CallOutcome
    status: int
    content_type: str
    answer: bytes
    used: Cost


class CallInterrupted(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """A call's executor is gone: the outcome is unknown, and the whole reserve counts as used."""

    program_id: str
    call_id: str


class ProgramEnded(msgspec.Struct, frozen=True, array_like=True, tag="e"):
    """A program takes no more calls."""

    program_id: str
    reason: EndReason
    ended_at_s: float


class ProgramDeleted(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """An ended program's history has been kept long enough."""

    program_id: str


class EpochStarted(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """A new owner has taken over; calls of executors that are not `live_run_ids` were interrupted.

    The record stands alone in its journal entry and is the first of its epoch.
    """

    epoch: int
    run_id: str
    live_run_ids: tuple[str, ...]


class ShardReleased(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """The owner has handed the shard over and appends nothing more."""

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
