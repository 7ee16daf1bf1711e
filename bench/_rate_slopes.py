"""Measures the cost of rate loans by the number of accounts and open loans."""

from bench._quantities import allocated_bytes, mean_time_us, quantity
from lagoonfold.rates import Lender, LoanRequest, RateLimit


def _lender(loans: int) -> Lender:
    limit = RateLimit(rate_per_s=1e6, burst=10**6)
    lender = Lender(limit=limit, epoch=1, now_s=0.0, is_new=True)
    for number in range(loans):
        request = LoanRequest(number=number, needed=1, wanted=1, reports=())
        lender.lend(f"entry-{number}", request, now_s=0.0)
    return lender


@quantity("bytes", "account with 8 open loans", (50, 200, 570))
def lender_memory(accounts: int) -> float:
    """Memory of the lenders by the number of accounts."""
    return allocated_bytes(lambda: [_lender(8) for _ in range(accounts)])


@quantity("us", "open loan, for one loan", (8, 95, 380))
def lend_time(open_loans: int) -> float:
    """Time to grant a loan by the number of open loans of the account."""
    lender = _lender(open_loans)
    request = LoanRequest(number=1, needed=1, wanted=1, reports=())
    return mean_time_us(lambda: lender.lend("entry-0", request, now_s=0.0))
