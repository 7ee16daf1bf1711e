"""The state of one program, as its shard's owner keeps it in memory."""

from dataclasses import dataclass, field

import msgspec

from lagoonfold._ids import AccountId, CallId, ProgramId
from lagoonfold.records._costs import NO_COST, Cost, ProgramLimits
from lagoonfold.records._record_types import CallBegun, EndReason
from lagoonfold.records._turns import Turn


class SegmentRef(msgspec.Struct, frozen=True, array_like=True):
    """Where a run of a program's turns lies in a bulk segment; offset and length are in bytes."""

    name: str
    offset: int
    length: int
    first_turn: int
    count: int


@dataclass(slots=True, kw_only=True)
class Program:
    """A program's position, budget and history.

    `recent_turns` follow those that lie in `segments`. `turns_by_key` holds the turn of every
    idempotency key that the caller chose. `answer_parts` belong to the running call.
    `history_digest` is the digest chain's last link.
    """

    program_id: ProgramId
    account_id: AccountId
    profile: str
    parent_id: ProgramId | None
    limits: ProgramLimits
    created_at_s: float
    history_digest: bytes
    used: Cost = NO_COST
    reserved: Cost = NO_COST
    next_turn: int = 1
    running_call: CallBegun | None = None
    answer_parts: list[bytes] = field(default_factory=list)
    end_reason: EndReason | None = None
    ended_at_s: float = 0.0
    child_ids: list[ProgramId] = field(default_factory=list)
    segments: tuple[SegmentRef, ...] = ()
    recent_turns: list[Turn] = field(default_factory=list)
    turns_by_key: dict[str, int] = field(default_factory=dict)

    def recent_turn(self, turn: int) -> Turn | None:
        """Return a turn that is in memory, or None if it lies in a segment."""
        if not self.recent_turns:
            return None
        index = turn - self.recent_turns[0].number
        return self.recent_turns[index] if 0 <= index < len(self.recent_turns) else None

    def is_running(self, call_id: CallId) -> bool:
        """Tell whether the call is the one under way."""
        return self.running_call is not None and self.running_call.call_id == call_id
