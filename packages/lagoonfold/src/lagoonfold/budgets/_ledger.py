"""The budget of a program, kept by one owner at a time and charged in blocks to the store.

A program's record in the store says how many tokens have been charged to it. An owner charges a
block by compare-and-swap before tokens of that block go out, so whatever is lost with an owner has
been charged already, and two owners that do not know of each other draw on different blocks. The
owner under which a program began may hand out `uncharged_credit` tokens, the most of one turn,
before its first charge; no other owner may. So all owners together never hand out more than the
budget and that one turn, through any losses.

A turn is admitted while what has been spent and what all running turns may still produce leave
room for its most. It then gets a credit of tokens that it may hand out; with little of it left it
asks for more. Credit and charges grow in steps, since what is charged and not used is lost with the
owner, and a turn usually produces far less than its most.

    ledger = ProgramLedger(budget=2_000, uncharged_credit=300)
    ledger.admit("t1", max_tokens=300)        # True
    ledger.raise_credit("t1")           # 150
    ledger.finish_turn("t1", delivered_tokens=80)
"""

import math
from dataclasses import dataclass

import msgspec

CREDIT_STEPS = 2  # a turn's most is lent in this many parts; most turns need one


class BudgetRecord(msgspec.Struct, frozen=True, array_like=True):
    """A program's record in the store: its last writer, the tokens charged, when (Unix seconds)."""

    writer: str
    charged: int
    written_at_s: int


@dataclass(slots=True)
class _RunningTurn:
    max_tokens: int
    credit: int
    instance_id: str


class ProgramLedger:
    """One program's budget at its owner."""

    def __init__(self, *, budget: int, uncharged_credit: int = 0) -> None:
        self.budget = budget
        self.charged = 0
        self.revision: int | None = None
        self.last_writer = ""
        self.uncharged_credit = uncharged_credit
        self._own_charged = 0
        self._delivered_tokens = 0
        self._turns_by_id: dict[str, _RunningTurn] = {}

    @property
    def spent_by_others(self) -> int:
        """Tokens charged by other owners, which count as spent."""
        return self.charged - self._own_charged

    @property
    def spent(self) -> int:
        """Tokens that count as spent, without those of running turns."""
        return self.spent_by_others + self._delivered_tokens

    def is_running(self, turn_id: str) -> bool:
        """Tell whether a turn is under way."""
        return turn_id in self._turns_by_id

    @property
    def running_turns(self) -> int:
        """How many turns are under way."""
        return len(self._turns_by_id)

    def admit(self, turn_id: str, *, max_tokens: int, instance_id: str = "") -> bool:
        """Admit a turn of at most `max_tokens`; False where the budget does not hold it."""
        if turn_id in self._turns_by_id:
            return True
        promised = sum(turn.max_tokens for turn in self._turns_by_id.values())
        if self.spent + promised + max_tokens > self.budget:
            return False
        self._turns_by_id[turn_id] = _RunningTurn(max_tokens, 0, instance_id)
        return True

    def fits_without_running(self, max_tokens: int) -> bool:
        """Tell whether a turn would be admitted if none were under way."""
        return self.spent + max_tokens <= self.budget

    def credit(self, turn_id: str) -> int:
        """Return the turn's credit, zero where it is not under way."""
        turn = self._turns_by_id.get(turn_id)
        return turn.credit if turn is not None else 0

    def raise_credit(self, turn_id: str) -> int:
        """Raise the turn's credit by a step, as far as what is charged allows, and return it."""
        turn = self._turns_by_id.get(turn_id)
        if turn is None:
            return 0
        step = math.ceil(turn.max_tokens / CREDIT_STEPS)
        turn.credit += max(0, min(step, turn.max_tokens - turn.credit, self._unlent()))
        return turn.credit

    def _unlent(self) -> int:
        lent = sum(turn.credit for turn in self._turns_by_id.values())
        return self._own_charged + self.uncharged_credit - self._delivered_tokens - lent

    def finish_turn(self, turn_id: str, *, delivered_tokens: int) -> None:
        """Take in the end of a turn and what of it went out to the caller."""
        if self._turns_by_id.pop(turn_id, None) is not None:
            self._delivered_tokens += delivered_tokens

    def finish_turns_of(self, instance_id: str) -> None:
        """Count the turns of an instance that is gone as having produced their most."""
        for turn_id, turn in tuple(self._turns_by_id.items()):
            if turn.instance_id == instance_id:
                self.finish_turn(turn_id, delivered_tokens=turn.max_tokens)

    def required_charge(self, max_tokens: int) -> int:
        """Return the level to charge so that a turn of this size and those that wait get credit."""
        lent = sum(turn.credit for turn in self._turns_by_id.values())
        waiting = sum(turn.max_tokens - turn.credit for turn in self._turns_by_id.values())
        own = self._delivered_tokens + lent + max(max_tokens, math.ceil(waiting / CREDIT_STEPS))
        return self.spent_by_others + max(
            self._own_charged, min(own, self.budget - self.spent_by_others)
        )

    def minimum_charge(self) -> int:
        """Return the level that gives back what this owner charged and will not use."""
        lent = sum(turn.credit for turn in self._turns_by_id.values())
        return self.spent_by_others + min(self._own_charged, self._delivered_tokens + lent)

    def confirm_charge(self, charged_total: int, revision: int) -> None:
        """Take in that this owner's charge is in the store."""
        self._own_charged += charged_total - self.charged
        self.charged = charged_total
        self.revision = revision

    def sync_with_record(
        self, record: BudgetRecord | None, revision: int, *, own_writer: str
    ) -> None:
        """Take in the record as it is in the store, None where there is none.

        A charge of this owner whose answer was lost shows as a record of its own writer id.
        """
        self.revision = revision
        if record is None:
            return
        self.last_writer = record.writer
        if record.writer == own_writer:
            self._own_charged += record.charged - self.charged
        self.charged = record.charged
