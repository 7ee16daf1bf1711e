"""Rate and burst of an account over the whole fleet, by short loans from the account's owner.

The owner's `Lender` holds the account's token bucket and lends tokens to the instances at which
calls arrive. What is lent stays counted against the burst until it is reported spent, returned
or expired, so the sum of what all instances admit in any window of t seconds is at most
rate x t + burst.

    lender = Lender(limit=RateLimit(rate_per_s=50.0, burst=100), epoch=1, now_s=0.0)
    borrower = Borrower()
    ask = borrower.ask(now_s=0.0, needed=1)
    loan = lender.lend("i-1", ask, now_s=0.001).unwrap()
    borrower.receive(ask, loan, now_s=0.002)
    borrower.take(now_s=0.002)   # True
"""

from lagoonfold.rates._borrower import Borrower
from lagoonfold.rates._claims import ProgramBook, ProgramCall, RateClaim
from lagoonfold.rates._commitments import Commitments
from lagoonfold.rates._demand import DemandMeter
from lagoonfold.rates._lender import Lender
from lagoonfold.rates._messages import (
    RANK_AHEAD,
    RANK_CALL,
    RANK_TURN,
    RANK_UNCOMMITTED,
    Ask,
    Loan,
    LoanReport,
    ProgramNeed,
    RateLimit,
    Shortage,
)
from lagoonfold.rates._terms import LOAN_TTL_S, MAX_CLOCK_DRIFT, held_s

__all__ = [
    "LOAN_TTL_S",
    "MAX_CLOCK_DRIFT",
    "RANK_AHEAD",
    "RANK_CALL",
    "RANK_TURN",
    "RANK_UNCOMMITTED",
    "Ask",
    "Borrower",
    "Commitments",
    "DemandMeter",
    "Lender",
    "Loan",
    "LoanReport",
    "ProgramBook",
    "ProgramCall",
    "ProgramNeed",
    "RateClaim",
    "RateLimit",
    "Shortage",
    "held_s",
]
