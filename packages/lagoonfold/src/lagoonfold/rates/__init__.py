"""Enforcement of an account's rate and burst across all instances, by short token loans.

The account's owner holds its token bucket in a `Lender` and lends tokens to the instances at which
calls arrive. Lent tokens count against the burst until they are reported spent, returned or
expired, so in any window of t seconds all instances together admit at most rate x t + burst calls.

    lender = Lender(limit=RateLimit(rate_per_s=50.0, burst=100), epoch=1, now_s=0.0)
    borrower = Borrower()
    request = borrower.new_request(now_s=0.0, needed=1)
    loan = lender.lend("i-1", request, now_s=0.001).unwrap()
    borrower.receive(request, loan, now_s=0.002)
    borrower.take(now_s=0.002)   # True

Where an account's calls arrive at many instances and seldom at each, loans are of no use: a
`TokenQueue` at the owner grants a token to each call instead, and counts the quota over a window.
"""

from lagoonfold.rates._borrower import Borrower
from lagoonfold.rates._commitments import Commitments
from lagoonfold.rates._lender import Lender
from lagoonfold.rates._loan_terms import LOAN_TTL_S, MAX_CLOCK_DRIFT, lender_ttl_s
from lagoonfold.rates._messages import (
    RANK_CALL,
    RANK_PREFETCH,
    RANK_TURN,
    RANK_UNCOMMITTED,
    Loan,
    LoanReport,
    LoanRequest,
    ProgramNeed,
    RateLimit,
    Shortage,
)
from lagoonfold.rates._program_tracker import CallPriority, ProgramCall, ProgramTracker
from lagoonfold.rates._quota import Quota, QuotaTerms
from lagoonfold.rates._rate_meter import RateMeter
from lagoonfold.rates._token_queue import TokenQueue, TokenRefusal, TokenShortage

__all__ = [
    "LOAN_TTL_S",
    "MAX_CLOCK_DRIFT",
    "RANK_CALL",
    "RANK_PREFETCH",
    "RANK_TURN",
    "RANK_UNCOMMITTED",
    "Borrower",
    "CallPriority",
    "Commitments",
    "Lender",
    "Loan",
    "LoanReport",
    "LoanRequest",
    "ProgramCall",
    "ProgramNeed",
    "ProgramTracker",
    "Quota",
    "QuotaTerms",
    "RateLimit",
    "RateMeter",
    "Shortage",
    "TokenQueue",
    "TokenRefusal",
    "TokenShortage",
    "lender_ttl_s",
]
