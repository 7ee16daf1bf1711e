"""What borrower and lender do in the usual cases."""

from result import Err, Ok

from lagoonfold.rates import Borrower, Lender, LoanReport, LoanRequest, RateLimit, lender_ttl_s
from tests._suite import load_functions

_LIMIT = RateLimit(rate_per_s=10.0, burst=20)


def _lender(*, is_new: bool = True) -> Lender:
    return Lender(limit=_LIMIT, epoch=1, now_s=0.0, is_new=is_new)


def _ask(
    needed: int, wanted: int | None = None, reports: tuple[LoanReport, ...] = ()
) -> LoanRequest:
    return LoanRequest(number=1, needed=needed, wanted=wanted or needed, reports=reports)


def test_lone_busy_instance_gets_the_whole_burst() -> None:
    """What is needed now is lent whole, whatever share others might take."""
    assert _lender().lend("i-1", _ask(20), now_s=0.0).unwrap().size == 20


def test_returned_tokens_are_lent_again_at_once() -> None:
    """A closed report gives the rest back to the level."""
    lender = _lender()
    loan = lender.lend("i-1", _ask(20), now_s=0.0).unwrap()
    assert isinstance(lender.lend("i-2", _ask(1), now_s=0.0), Err)
    lender.report("i-1", (LoanReport(loan_id=loan.loan_id, spent=5, is_closed=True),), now_s=0.0)
    assert lender.lend("i-2", _ask(20), now_s=0.0).unwrap().size == 15


def test_shortage_says_when_to_come_back() -> None:
    """A shortage says when the next token comes."""
    lender = _lender()
    lender.lend("i-1", _ask(20), now_s=0.0)
    shortage = lender.lend("i-2", _ask(1), now_s=0.0).unwrap_err()
    assert abs(shortage.retry_after_s - 0.1) < 1e-9


def test_successor_waits_for_all_former_loans() -> None:
    """After a takeover the first token comes one refill after the last loan's end."""
    lender = _lender(is_new=False)
    shortage = lender.lend("i-1", _ask(1), now_s=0.0).unwrap_err()
    assert shortage.retry_after_s >= lender_ttl_s(0.5)
    assert isinstance(lender.lend("i-1", _ask(1), now_s=shortage.retry_after_s), Ok)


def test_borrower_asks_ahead_of_demand() -> None:
    """A busy borrower renews before it runs out and asks for more than one token."""
    borrower = Borrower()
    for step in range(100):
        borrower.record_arrival(now_s=step / 50)
    assert borrower.should_renew(now_s=2.0)
    assert borrower.new_request(now_s=2.0, needed=1).wanted > 4


def test_idle_loan_is_returned() -> None:
    """A loan that is not used for a while is closed with what was spent."""
    borrower = Borrower()
    request = borrower.new_request(now_s=0.0, needed=1)
    loan = _lender().lend("i-1", request, now_s=0.0).unwrap()
    borrower.receive(request, loan, now_s=0.0)
    assert not borrower.needs_report(now_s=0.05)
    assert borrower.report(now_s=0.2) == (
        LoanReport(loan_id=loan.loan_id, spent=0, is_closed=True),
    )
    assert not borrower.take(now_s=0.2)


def test_raised_and_lowered_limits_count_at_once() -> None:
    """A lower burst cuts the level at once."""
    lender = _lender()
    lender.change_limit(RateLimit(rate_per_s=1.0, burst=3), now_s=0.0)
    assert lender.lend("i-1", _ask(20), now_s=0.0).unwrap().size == 3


load_tests = load_functions(globals())
