"""Borrower and lender in the usual cases."""

from result import Err, Ok

from lagoonfold.rates import Borrower, Lender, LoanReport, LoanRequest, RateLimit, lender_ttl_s
from tests._suite import load_functions

_LIMIT = RateLimit(rate_per_s=10.0, burst=20)


def _lender(*, is_new: bool = True) -> Lender:
    return Lender(limit=_LIMIT, epoch=1, now_s=0.0, is_new=is_new)


def _request(
    needed: int, wanted: int | None = None, reports: tuple[LoanReport, ...] = ()
) -> LoanRequest:
    return LoanRequest(number=1, needed=needed, wanted=wanted or needed, reports=reports)


def test_single_busy_instance_gets_the_whole_burst() -> None:
    """Tokens needed now are lent in full, not just a share of the level."""
    assert _lender().lend("i-1", _request(20), now_s=0.0).unwrap().size == 20


def test_returned_tokens_are_lent_again_at_once() -> None:
    """Closing a loan returns its unspent tokens to the level."""
    lender = _lender()
    loan = lender.lend("i-1", _request(20), now_s=0.0).unwrap()
    assert isinstance(lender.lend("i-2", _request(1), now_s=0.0), Err)
    lender.report("i-1", (LoanReport(loan_id=loan.loan_id, spent=5, is_closed=True),), now_s=0.0)
    assert lender.lend("i-2", _request(20), now_s=0.0).unwrap().size == 15


def test_shortage_reports_the_time_to_the_next_token() -> None:
    """A shortage carries the time until the next token is available."""
    lender = _lender()
    lender.lend("i-1", _request(20), now_s=0.0)
    shortage = lender.lend("i-2", _request(1), now_s=0.0).unwrap_err()
    assert abs(shortage.retry_after_s - 0.1) < 1e-9


def test_new_owner_waits_for_all_former_loans() -> None:
    """After a takeover the first token is available one refill after the last loan expired."""
    lender = _lender(is_new=False)
    shortage = lender.lend("i-1", _request(1), now_s=0.0).unwrap_err()
    assert shortage.retry_after_s >= lender_ttl_s(0.5)
    assert isinstance(lender.lend("i-1", _request(1), now_s=shortage.retry_after_s), Ok)


def test_borrower_requests_loans_ahead_of_demand() -> None:
    """A busy borrower requests a loan before its tokens run out, and for more than one token."""
    borrower = Borrower()
    for step in range(100):
        borrower.record_arrival(now_s=step / 50)
    assert borrower.should_renew(now_s=2.0)
    assert borrower.new_request(now_s=2.0, needed=1).wanted > 4


def test_idle_loan_is_returned() -> None:
    """An idle loan is closed with the tokens spent of it, so that the rest can be lent again."""
    borrower = Borrower()
    request = borrower.new_request(now_s=0.0, needed=1)
    loan = _lender().lend("i-1", request, now_s=0.0).unwrap()
    borrower.receive(request, loan, now_s=0.0)
    assert not borrower.needs_report(now_s=0.05)
    assert borrower.report(now_s=0.2) == (
        LoanReport(loan_id=loan.loan_id, spent=0, is_closed=True),
    )
    assert not borrower.take(now_s=0.2)


def test_lowered_limit_applies_at_once() -> None:
    """A lowered burst lowers the level at once."""
    lender = _lender()
    lender.change_limit(RateLimit(rate_per_s=1.0, burst=3), now_s=0.0)
    assert lender.lend("i-1", _request(20), now_s=0.0).unwrap().size == 3


load_tests = load_functions(globals())
