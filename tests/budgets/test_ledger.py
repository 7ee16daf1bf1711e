"""The budget of a program through owners that die, are paused and lose answers."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonfold.budgets import BudgetRecord, ProgramLedger, TurnCreditMeter
from tests._suite import load_functions

BUDGET = 1_000
MOST = 200


class _World:
    """One record in a store, and owners that don't know of each other."""

    def __init__(self) -> None:
        self.record: BudgetRecord | None = None
        self.revision = 0
        self.handed = 0
        self.turns = 0
        self.first = ProgramLedger(budget=BUDGET, uncharged_credit=MOST)
        self.owners = {"first": self.first}

    def charge(self, name: str, *, is_answer_lost: bool) -> None:
        ledger = self.owners[name]
        level = ledger.required_charge(MOST)
        if (ledger.revision or 0) != self.revision:
            ledger.sync_with_record(self.record, self.revision, own_writer=name)
            return
        self.revision += 1
        self.record = BudgetRecord(writer=name, charged=level, written_at_s=0)
        if not is_answer_lost:
            ledger.confirm_charge(level, self.revision)

    def run_turn(self, name: str, tokens: int) -> None:
        """Let an owner admit a turn, and hand out what its credit holds."""
        ledger = self.owners[name]
        if ledger.revision is None and not ledger.uncharged_credit:
            return
        turn_id = f"t{self.turns}"
        self.turns += 1
        if not ledger.admit(turn_id, max_tokens=MOST):
            return
        credit = max(ledger.raise_credit(turn_id) for _ in range(2))
        handed = min(tokens, credit)
        self.handed += handed
        ledger.finish_turn(turn_id, delivered_tokens=handed)


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["turn", "turn", "turn", "charge", "lost", "kill"]),
        st.integers(0, 3),
        st.integers(0, MOST),
    ),
    max_size=60,
)


@given(_STEPS)
@settings(max_examples=300)
def test_no_more_goes_out_than_the_budget_and_one_turn(
    steps: list[tuple[str, int, int]],
) -> None:
    """Owners come and go, act beside each other and lose answers; the bound holds."""
    world = _World()
    for number, (kind, which, tokens) in enumerate(steps):
        name = sorted(world.owners)[which % len(world.owners)]
        if kind == "turn":
            world.run_turn(name, tokens)
        elif kind == "kill":
            world.owners.pop(name)
            world.owners[f"o{number}"] = ProgramLedger(budget=BUDGET)
        else:
            world.charge(name, is_answer_lost=kind == "lost")
        assert world.handed <= BUDGET + MOST
        assert world.record is None or world.record.charged <= BUDGET


def test_program_within_its_budget_is_never_refused() -> None:
    """Load: a program whose turns produce far less than their most, at one owner."""
    rng = random.Random(3)
    ledger = ProgramLedger(budget=8 * MOST, uncharged_credit=MOST)
    for number in range(8):
        turn_id = f"t{number}"
        assert ledger.admit(turn_id, max_tokens=MOST)
        if ledger.raise_credit(turn_id) < MOST:
            ledger.confirm_charge(ledger.required_charge(MOST), number + 1)
            ledger.raise_credit(turn_id)
        ledger.finish_turn(turn_id, delivered_tokens=rng.randint(1, MOST // 2))


def test_loss_of_an_owner_costs_a_program_little() -> None:
    """What an owner charged ahead and did not use is below two turns."""
    ledger = ProgramLedger(budget=10 * MOST)
    ledger.confirm_charge(ledger.required_charge(MOST), 1)
    assert ledger.admit("t1", max_tokens=MOST)
    ledger.raise_credit("t1")
    ledger.finish_turn("t1", delivered_tokens=50)
    assert ledger.charged - 50 < 2 * MOST


def test_planned_stop_gives_back_what_is_not_used() -> None:
    """After a stop the record holds what went out and no more."""
    ledger = ProgramLedger(budget=10 * MOST)
    ledger.confirm_charge(ledger.required_charge(MOST), 1)
    assert ledger.admit("t1", max_tokens=MOST)
    ledger.raise_credit("t1")
    ledger.finish_turn("t1", delivered_tokens=50)
    assert ledger.minimum_charge() == 50


def test_turns_of_a_lost_instance_count_at_their_most() -> None:
    """What an instance that is gone has handed out is not known."""
    ledger = ProgramLedger(budget=5 * MOST, uncharged_credit=MOST)
    assert ledger.admit("t1", max_tokens=MOST, instance_id="g1")
    ledger.finish_turns_of("g1")
    assert ledger.spent == MOST and not ledger.running_turns


def test_tally_stops_at_its_credit() -> None:
    """Events wait for credit; a turn whose most is covered is not held back."""
    tally = TurnCreditMeter(max_tokens=100, credit=20, tokens_per_event=10)
    assert tally.needs_more_credit
    assert [tally.try_consume() for _ in range(3)] == [True, True, False]
    tally.credit = 100
    assert all(tally.try_consume() for _ in range(9))


load_tests = load_functions(globals())
