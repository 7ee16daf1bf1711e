"""The state of one program, as its shard's owner keeps it in memory."""

from dataclasses import dataclass, field

import msgspec

from lagoonfold._ids import AccountId, CallId, ProgramId
from lagoonfold.records._costs import NO_COST, Cost, ProgramLimits
from lagoonfold.records._record_types import CallBegun, EndReason
from lagoonfold.records._turns import Turn


class SegmentRef(msgspec.Struct, frozen=True, array_like=True):
    """The place of consecutive turns of a program in a segment; offset and length are in bytes."""

    name: str
    offset: int
    length: int
    first_turn: int
    count: int


@dataclass(slots=True, kw_only=True)
class Program:
    """The next turn, budget and history of a program.

    `recent_turns` follow the turns stored in `segments`. `turns_by_key` maps each idempotency key
    that a caller gave to its turn. `answer_parts` belong to the running call. `history_digest` is
    the last digest of the hash chain over all turns.
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
        """Return a turn that is held in memory, or None if it is not."""
        if not self.recent_turns:
            return None
        index = turn - self.recent_turns[0].number
        return self.recent_turns[index] if 0 <= index < len(self.recent_turns) else None

    def is_running(self, call_id: CallId) -> bool:
        """Return whether the call is the one that is running."""
        return self.running_call is not None and self.running_call.call_id == call_id
