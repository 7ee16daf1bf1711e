"""The bound over all instances: at most rate x t + burst calls in any window of t seconds."""

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonfold.rates import Borrower, Lender, LoanReport
from tests._suite import load_functions
from tests.rates._fleet import Fleet, run_random
from tests.rates._strategies import steps

_MUTANT_SEEDS = 60
_RANDOM_STEPS = 400


class _UncountedLoans(Lender):
    """Leaves lent tokens out when it caps its level."""

    def _cap_level(self) -> None:
        self._level = min(self._level, self._limit.burst)


class _FullAfterTakeover(Lender):
    """Starts full after a takeover."""

    def __init__(self, **options: object) -> None:
        super().__init__(**{**options, "is_new": True})


class _NoWaitAfterTakeover(Lender):
    """Starts empty after a takeover but refills at once."""

    def __init__(self, **options: object) -> None:
        super().__init__(**options)
        self._refill_start_s = options["now_s"]


class _HalvedLoanTtl(Lender):
    """Counts a loan as outstanding for half of its TTL."""

    def lend(self, borrower, request, *, now_s):
        result = super().lend(borrower, request, now_s=now_s)
        if result.is_ok():
            self._loans_by_id[result.ok_value.loan_id].counted_until_s = now_s + self._ttl_s / 2
        return result


class _TtlFromArrival(Borrower):
    """Counts a loan's TTL from its arrival."""

    def receive(self, request, loan, *, now_s):
        self._sent_s_by_request[request.number] = now_s
        super().receive(request, loan, now_s=now_s)


class _SpendsClosedLoans(Borrower):
    """Keeps spending a loan that it has reported closed."""

    def report(self, *, now_s: float) -> tuple[LoanReport, ...]:
        return tuple(
            LoanReport(loan_id=loan.loan_id, spent=loan.spent, is_closed=True)
            for loan in self._loans_by_id.values()
        )


def _excess_of(lender: type[Lender], borrower: type[Borrower]) -> float:
    fleet_type = type("_Mutant", (Fleet,), {"lender_type": lender, "borrower_type": borrower})
    return max(
        run_random(fleet_type, seed, _RANDOM_STEPS).excess() for seed in range(_MUTANT_SEEDS)
    )


def _apply(fleet: Fleet, step: tuple[str, int, int]) -> None:
    name, first, second = step
    if name == "wait":
        fleet.wait(first / 1000)
    elif name == "deliver":
        fleet.deliver(first, repeat=bool(second))
    elif name == "lose":
        fleet.lose(first)
    elif name == "take_over":
        fleet.take_over()
    else:
        getattr(fleet, name)(first, second)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 1000), steps)
def test_bound_over_any_interleaving(seed: int, trace: list[tuple[str, int, int]]) -> None:
    """No interleaving of loans, message loss, repeats, expiry and takeovers exceeds the bound."""
    fleet = Fleet(seed)
    for step in trace:
        _apply(fleet, step)
    assert fleet.excess() == 0.0


def test_bound_over_long_random_runs() -> None:
    """Long random runs stay within the bound, and spend enough tokens to test it."""
    fleets = [run_random(Fleet, seed, _RANDOM_STEPS) for seed in range(_MUTANT_SEEDS)]
    assert max(fleet.excess() for fleet in fleets) == 0.0
    assert sum(fleet.spent_count for fleet in fleets) > 1000


def test_each_fault_breaks_the_bound() -> None:
    """The same runs exceed the bound with any one mechanism disabled, so they detect its loss."""
    assert _excess_of(_UncountedLoans, Borrower) > 0
    assert _excess_of(_FullAfterTakeover, Borrower) > 0
    assert _excess_of(_NoWaitAfterTakeover, Borrower) > 0
    assert _excess_of(_HalvedLoanTtl, Borrower) > 0
    assert _excess_of(Lender, _TtlFromArrival) > 0
    assert _excess_of(Lender, _SpendsClosedLoans) > 0


load_tests = load_functions(globals())
