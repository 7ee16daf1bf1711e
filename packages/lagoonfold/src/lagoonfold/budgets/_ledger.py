"""The budget of a program, kept by one owner at a time and charged in blocks to the store.

A program's record in the store holds the number of tokens charged to it. An owner charges a block
by compare-and-swap before it grants credit for tokens of that block. Tokens delivered under an
owner that is lost have therefore been charged, and two owners unaware of each other use different
blocks. The owner under which a program began may grant `uncharged_credit` tokens, the `max_tokens`
of one turn, before its first charge; no other owner may. So whatever is lost, all owners together
never deliver more than the budget and that one turn.

A turn is admitted if the budget holds its `max_tokens` besides the spent tokens and the
reservations of all running turns. It then gets a credit of tokens that it may deliver, and
requests more when little of it is left. Credit and charges grow in steps, because tokens that are
charged and not delivered are lost with the owner, and a turn usually produces far fewer than its
`max_tokens`. A charge covers the next turn and at least `CHARGE_SHARE` of the budget, so that most
programs need one charge and go on while the store is down. It is made ahead while a turn runs, when
the rest would not last for another one, so that turns do not wait for a slow store.

    ledger = ProgramLedger(budget=2_000, uncharged_credit=300)
    ledger.admit("t1", max_tokens=300)        # True
    ledger.raise_credit("t1")           # 150
    ledger.finish_turn("t1", delivered_tokens=80)
"""

import math
from dataclasses import dataclass

import msgspec

CHARGE_SHARE = 0.2  # of the budget; most programs use less, and four lost owners leave some
CHARGE_AHEAD_SHARE = 0.4  # of a turn's max_tokens; more than most turns produce
CREDIT_STEPS = 2  # parts in which a turn gets credit for its max_tokens; most turns need one


class BudgetRecord(msgspec.Struct, frozen=True, array_like=True):
    """A program's record in the store: last writer, tokens charged, write time (Unix seconds)."""

    writer: str
    charged: int
    written_at_s: int


@dataclass(slots=True)
class _RunningTurn:
    max_tokens: int
    credit: int
    instance_id: str


class ProgramLedger:
    """Keep one program's budget at its owner.

    `number` tells the ledgers apart that one owner has had of a program, so that the charges of an
    earlier one count as those of another owner.
    """

    def __init__(self, *, budget: int, uncharged_credit: int = 0, number: int = 0) -> None:
        self.budget = budget
        self.number = number
        self.charged = 0
        self.revision: int | None = None
        self.last_writer = ""  # as the record was last read, "" if this ledger wrote it since
        self.uncharged_credit = uncharged_credit
        self._own_charged = 0
        self._delivered_tokens = 0
        self._turns_by_id: dict[str, _RunningTurn] = {}

    @property
    def spent_by_others(self) -> int:
        """Tokens charged by other owners, all of which count as spent."""
        return self.charged - self._own_charged

    @property
    def spent(self) -> int:
        """Tokens that count as spent, excluding those of running turns."""
        return self.spent_by_others + self._delivered_tokens

    def is_running(self, turn_id: str) -> bool:
        """Return whether a turn is running."""
        return turn_id in self._turns_by_id

    @property
    def running_turns(self) -> int:
        """Number of running turns."""
        return len(self._turns_by_id)

    def admit(self, turn_id: str, *, max_tokens: int, instance_id: str = "") -> bool:
        """Admit a turn of at most `max_tokens`; return False if the budget can't hold it."""
        if turn_id in self._turns_by_id:
            return True
        reserved = sum(turn.max_tokens for turn in self._turns_by_id.values())
        if self.spent + reserved + max_tokens > self.budget:
            return False
        self._turns_by_id[turn_id] = _RunningTurn(max_tokens, 0, instance_id)
        return True

    def fits_without_running(self, max_tokens: int) -> bool:
        """Return whether a turn would be admitted if no turn were running."""
        return self.spent + max_tokens <= self.budget

    def credit(self, turn_id: str) -> int:
        """Return the turn's credit, zero if it is not running."""
        turn = self._turns_by_id.get(turn_id)
        return turn.credit if turn is not None else 0

    def raise_credit(self, turn_id: str) -> int:
        """Raise the turn's credit by up to a step, as the charge allows, and return it."""
        turn = self._turns_by_id.get(turn_id)
        if turn is None:
            return 0
        step = math.ceil(turn.max_tokens / CREDIT_STEPS)
        turn.credit += max(0, min(step, turn.max_tokens - turn.credit, self._available_credit()))
        return turn.credit

    @property
    def has_unspent_first_credit(self) -> bool:
        """Return whether some of the credit from before the first charge is left."""
        return self.uncharged_credit > self._delivered_tokens

    def is_running_low(self, max_tokens: int) -> bool:
        """Return whether the next turns may need a charge, so that it should be made ahead."""
        unspent = self._own_charged + self.uncharged_credit - self._delivered_tokens
        return unspent < CHARGE_AHEAD_SHARE * max_tokens * max(1, len(self._turns_by_id))

    def _available_credit(self) -> int:
        credited = sum(turn.credit for turn in self._turns_by_id.values())
        return self._own_charged + self.uncharged_credit - self._delivered_tokens - credited

    def finish_turn(self, turn_id: str, *, delivered_tokens: int) -> None:
        """Remove a turn that ended and count the tokens delivered to its caller."""
        if self._turns_by_id.pop(turn_id, None) is not None:
            self._delivered_tokens += delivered_tokens

    def finish_turns_of(self, instance_id: str) -> None:
        """End the turns of a lost instance, counting `max_tokens` as delivered for each."""
        for turn_id, turn in tuple(self._turns_by_id.items()):
            if turn.instance_id == instance_id:
                self.finish_turn(turn_id, delivered_tokens=turn.max_tokens)

    def required_charge(self, max_tokens: int) -> int:
        """Return the total to charge for a turn of `max_tokens` and the next step of running turns.

        The total is limited by the budget, but never below what is charged already. It reaches
        `CHARGE_SHARE` of the budget beyond the tokens in use.
        """
        credited = sum(turn.credit for turn in self._turns_by_id.values())
        uncredited = sum(turn.max_tokens - turn.credit for turn in self._turns_by_id.values())
        own = (
            self._delivered_tokens
            + credited
            + max(
                max_tokens,
                math.ceil(uncredited / CREDIT_STEPS),
                int(CHARGE_SHARE * self.budget),
            )
        )
        return self.spent_by_others + max(
            self._own_charged, min(own, self.budget - self.spent_by_others)
        )

    def minimum_charge(self) -> int:
        """Return the total charge without the tokens that this owner charged and will not use."""
        credited = sum(turn.credit for turn in self._turns_by_id.values())
        return self.spent_by_others + min(self._own_charged, self._delivered_tokens + credited)

    def confirm_charge(self, charged_total: int, revision: int) -> None:
        """Record that this owner's charge was written to the store, at `revision`."""
        self._own_charged += charged_total - self.charged
        self.charged = charged_total
        self.revision = revision
        self.last_writer = ""

    def sync_with_record(
        self, record: BudgetRecord | None, revision: int, *, own_writer: str
    ) -> None:
        """Update the ledger from the record in the store, None if there is no record.

        If the store's answer to a charge of this owner was lost, the record has `own_writer` as its
        writer, and the charge counts as this owner's.
        """
        self.revision = revision
        if record is None:
            return
        self.last_writer = "" if record.writer == own_writer else record.writer
        if record.writer == own_writer:
            self._own_charged += record.charged - self.charged
        self.charged = record.charged
