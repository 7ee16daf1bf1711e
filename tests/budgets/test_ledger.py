"""The budget of a program whose owners crash, pause and lose answers of the store."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonfold.budgets import BudgetRecord, ProgramLedger, TurnCreditMeter
from lagoonfold.budgets._ledger import CREDIT_STEPS
from tests._suite import load_functions

BUDGET = 1_000
MAX_TURN_TOKENS = 200


class _Simulation:
    """Simulate one record in a store, and owners unaware of each other."""

    def __init__(self) -> None:
        self.record: BudgetRecord | None = None
        self.revision = 0
        self.delivered_tokens = 0
        self.turn_count = 0
        self.first = ProgramLedger(budget=BUDGET, uncharged_credit=MAX_TURN_TOKENS)
        self.owners = {"first": self.first}

    def charge(self, name: str, *, is_answer_lost: bool) -> None:
        ledger = self.owners[name]
        charged_total = ledger.required_charge(MAX_TURN_TOKENS)
        if (ledger.revision or 0) != self.revision:
            ledger.sync_with_record(self.record, self.revision, own_writer=name)
            return
        self.revision += 1
        self.record = BudgetRecord(writer=name, charged=charged_total, written_at_s=0)
        if not is_answer_lost:
            ledger.confirm_charge(charged_total, self.revision)

    def run_turn(self, name: str, tokens: int) -> None:
        """Admit a turn at an owner and deliver up to `tokens`, limited by its credit."""
        ledger = self.owners[name]
        if ledger.revision is None and not ledger.uncharged_credit:
            return
        turn_id = f"t{self.turn_count}"
        self.turn_count += 1
        if not ledger.admit(turn_id, max_tokens=MAX_TURN_TOKENS):
            return
        credit = max(ledger.raise_credit(turn_id) for _ in range(2))
        delivered_tokens = min(tokens, credit)
        self.delivered_tokens += delivered_tokens
        ledger.finish_turn(turn_id, delivered_tokens=delivered_tokens)


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["turn", "turn", "turn", "charge", "lost", "kill"]),
        st.integers(0, 3),
        st.integers(0, MAX_TURN_TOKENS),
    ),
    max_size=60,
)


@given(_STEPS)
@settings(max_examples=300, derandomize=True, deadline=None)
def test_at_most_the_budget_and_one_turn_is_delivered(
    steps: list[tuple[str, int, int]],
) -> None:
    """Owners that come and go, act concurrently and lose answers keep to the bound."""
    simulation = _Simulation()
    for number, (kind, which, tokens) in enumerate(steps):
        name = sorted(simulation.owners)[which % len(simulation.owners)]
        if kind == "turn":
            simulation.run_turn(name, tokens)
        elif kind == "kill":
            simulation.owners.pop(name)
            simulation.owners[f"o{number}"] = ProgramLedger(budget=BUDGET)
        else:
            simulation.charge(name, is_answer_lost=kind == "lost")
        assert simulation.delivered_tokens <= BUDGET + MAX_TURN_TOKENS
        assert simulation.record is None or simulation.record.charged <= BUDGET


def test_program_within_its_budget_is_never_refused() -> None:
    """One owner admits every turn of a program whose turns produce far less than `max_tokens`."""
    rng = random.Random(3)
    ledger = ProgramLedger(budget=8 * MAX_TURN_TOKENS, uncharged_credit=MAX_TURN_TOKENS)
    for number in range(8):
        turn_id = f"t{number}"
        assert ledger.admit(turn_id, max_tokens=MAX_TURN_TOKENS)
        if ledger.raise_credit(turn_id) < MAX_TURN_TOKENS:
            ledger.confirm_charge(ledger.required_charge(MAX_TURN_TOKENS), number + 1)
            ledger.raise_credit(turn_id)
        ledger.finish_turn(turn_id, delivered_tokens=rng.randint(1, MAX_TURN_TOKENS // 2))


def test_loss_of_an_owner_costs_a_program_little() -> None:
    """A lost owner has charged fewer unused tokens than two turns may produce."""
    ledger = ProgramLedger(budget=10 * MAX_TURN_TOKENS)
    ledger.confirm_charge(ledger.required_charge(MAX_TURN_TOKENS), 1)
    assert ledger.admit("t1", max_tokens=MAX_TURN_TOKENS)
    ledger.raise_credit("t1")
    ledger.finish_turn("t1", delivered_tokens=50)
    assert ledger.charged - 50 < 2 * MAX_TURN_TOKENS


def test_usual_program_needs_one_charge() -> None:
    """A program of six turns that use half of what they may needs no charge after its first."""
    ledger = ProgramLedger(budget=18 * MAX_TURN_TOKENS, uncharged_credit=MAX_TURN_TOKENS)
    charges = 0
    for number in range(6):
        turn_id = f"t{number}"
        assert ledger.admit(turn_id, max_tokens=MAX_TURN_TOKENS)
        if max(ledger.raise_credit(turn_id) for _ in range(CREDIT_STEPS)) < MAX_TURN_TOKENS:
            charges += 1
            ledger.confirm_charge(ledger.required_charge(MAX_TURN_TOKENS), charges)
            ledger.raise_credit(turn_id)
        ledger.finish_turn(turn_id, delivered_tokens=MAX_TURN_TOKENS // 2)
    assert charges == 1


def test_planned_stop_returns_unused_tokens() -> None:
    """At a planned stop the charge is lowered to the delivered tokens."""
    ledger = ProgramLedger(budget=10 * MAX_TURN_TOKENS)
    ledger.confirm_charge(ledger.required_charge(MAX_TURN_TOKENS), 1)
    assert ledger.admit("t1", max_tokens=MAX_TURN_TOKENS)
    ledger.raise_credit("t1")
    ledger.finish_turn("t1", delivered_tokens=50)
    assert ledger.minimum_charge() == 50


def test_turns_of_a_lost_instance_count_at_max_tokens() -> None:
    """The tokens that a lost instance delivered are unknown, so each turn counts in full."""
    ledger = ProgramLedger(budget=5 * MAX_TURN_TOKENS, uncharged_credit=MAX_TURN_TOKENS)
    assert ledger.admit("t1", max_tokens=MAX_TURN_TOKENS, instance_id="g1")
    ledger.finish_turns_of("g1")
    assert ledger.spent == MAX_TURN_TOKENS and not ledger.running_turns


def test_meter_stops_at_its_credit() -> None:
    """Events wait for credit, except in a turn that has credit for its `max_tokens`."""
    meter = TurnCreditMeter(max_tokens=100, credit=20, tokens_per_event=10)
    assert meter.needs_more_credit
    assert [meter.try_consume() for _ in range(3)] == [True, True, False]
    meter.credit = 100
    assert all(meter.try_consume() for _ in range(9))


def test_meter_tells_how_many_events_its_turn_may_have() -> None:
    """The last one may exceed the turn in part."""
    meter = TurnCreditMeter(max_tokens=25, credit=25, tokens_per_event=10)
    assert [meter.covers(events) for events in range(5)] == [True, True, True, True, False]
    assert all(meter.try_consume() for _ in range(3)) and meter.is_over
    assert meter.covers(0) and not meter.covers(1)


def test_charge_is_due_before_a_program_has_no_credit_left() -> None:
    """A usual turn leaves the next one enough; after a few, a charge is made ahead."""
    ledger = ProgramLedger(budget=2_000, uncharged_credit=300)
    low = []
    for number in range(5):
        assert ledger.admit(f"t{number}", max_tokens=300)
        assert ledger.raise_credit(f"t{number}") >= 60
        low.append(ledger.is_running_low(300))
        ledger.finish_turn(f"t{number}", delivered_tokens=60)
    assert low == [False, False, False, False, True]
    ledger.confirm_charge(ledger.required_charge(300), revision=1)
    assert not ledger.is_running_low(300)


load_tests = load_functions(globals())
