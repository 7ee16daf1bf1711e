"""The lending side of an account's rate limit, at the account's owner.

The lender keeps `level + outstanding <= burst`, where `outstanding` counts the lent tokens that may
still be spent. At most the level, the outstanding tokens and a refill of rate x t can be spent in
any window of t seconds, which is rate x t + burst in all.
"""

from dataclasses import dataclass

from result import Err, Ok, Result

from lagoonfold.rates._loan_terms import LOAN_TTL_S, lender_ttl_s
from lagoonfold.rates._messages import (
    RANK_UNCOMMITTED,
    Loan,
    LoanReport,
    LoanRequest,
    RateLimit,
    Shortage,
)

_MAX_LEVEL_SHARE = 0.25  # of the level, for tokens beyond those needed now
_ROUNDING_TOLERANCE = 1e-6  # tokens; keeps float rounding from losing a whole token
_RANK_HOLD_S = 0.1  # a borrower with waiting calls sends its next request within it


@dataclass(slots=True)
class _OpenLoan:
    borrower: str
    size: int
    unspent: int
    counted_until_s: float


class Lender:
    """Hold the token bucket of one account and the loans made from it in one epoch.

    After a takeover the former owner's loans are unknown, so the lender starts empty and neither
    refills nor lends until all of them have expired. A new account (`is_new`) starts full.
    """

    def __init__(
        self,
        *,
        limit: RateLimit,
        epoch: int,
        now_s: float,
        ttl_s: float = LOAN_TTL_S,
        is_new: bool = False,
    ) -> None:
        self._limit = limit
        self._epoch = epoch
        self._ttl_s = ttl_s
        self._loans_by_id: dict[str, _OpenLoan] = {}
        self._outstanding = 0
        self._next_loan_number = 1
        self._level = limit.burst if is_new else 0.0
        self._refill_start_s = now_s if is_new else now_s + lender_ttl_s(ttl_s)
        self._refilled_until_s = now_s
        self._hold_until_s_by_rank: dict[int, float] = {}

    @property
    def level(self) -> float:
        """Tokens that can be lent, as of the last call of a method."""
        return self._level

    @property
    def outstanding(self) -> int:
        """Lent tokens that may still be spent, as of the last call of a method."""
        return self._outstanding

    def change_limit(self, limit: RateLimit, *, now_s: float) -> None:
        """Apply a new rate and burst from now on."""
        self._advance(now_s)
        self._limit = limit
        self._cap_level()

    def lend(
        self, borrower: str, request: LoanRequest, *, now_s: float, reserved: float = 0.0
    ) -> Result[Loan, Shortage]:
        """Apply the borrower's reports, then lend what the level allows.

        `reserved` tokens are withheld from programs without a commitment and from prefetches.
        """
        self.report(borrower, request.reports, now_s=now_s)
        withheld = reserved if request.rank >= RANK_UNCOMMITTED else 0.0
        lendable = int(self._level - withheld + _ROUNDING_TOLERANCE)
        if lendable < 1 or request.wanted < 1:
            self._hold_until_s_by_rank[request.rank] = now_s + _RANK_HOLD_S
            return Err(self._shortage(withheld, now_s))
        if self._is_held_for_more_urgent(request.rank, now_s):
            return Err(self._shortage(withheld, now_s))
        self._hold_until_s_by_rank.pop(request.rank, None)
        size = self._loan_size(request, lendable)
        loan = Loan(
            loan_id=f"{self._epoch}.{self._next_loan_number}",
            size=size,
            ttl_s=self._ttl_s,
        )
        self._next_loan_number += 1
        self._level -= size
        self._outstanding += size
        self._loans_by_id[loan.loan_id] = _OpenLoan(
            borrower, size, size, now_s + lender_ttl_s(self._ttl_s)
        )
        return Ok(loan)

    def report(self, borrower: str, reports: tuple[LoanReport, ...], *, now_s: float) -> None:
        """Apply a borrower's reports of tokens spent and returned."""
        self._advance(now_s)
        for report in reports:
            self._apply_report(borrower, report)

    def _apply_report(self, borrower: str, report: LoanReport) -> None:
        loan = self._loans_by_id.get(report.loan_id)
        if loan is None or loan.borrower != borrower:
            return
        unspent = max(0, min(loan.unspent, loan.size - report.spent))
        self._outstanding -= loan.unspent - unspent
        loan.unspent = unspent
        if report.is_closed:
            del self._loans_by_id[report.loan_id]
            self._outstanding -= unspent
            self._level += unspent
        self._cap_level()

    def _is_held_for_more_urgent(self, rank: int, now_s: float) -> bool:
        """Return whether a more urgent loan request recently got nothing and will be repeated."""
        holds = self._hold_until_s_by_rank.items()
        return any(other < rank and until_s > now_s for other, until_s in holds)

    def _loan_size(self, request: LoanRequest, lendable: int) -> int:
        level_share = int(self._level * _MAX_LEVEL_SHARE)
        size = max(request.needed, min(request.wanted, level_share))
        return max(1, min(size, lendable))

    def _shortage(self, withheld: float, now_s: float) -> Shortage:
        missing = max(0.0, 1 + withheld - self._level)
        refill_s = missing / self._limit.rate_per_s if self._limit.rate_per_s > 0 else 3600.0
        takeover_wait_s = max(0.0, self._refill_start_s - now_s)
        return Shortage(
            retry_after_s=takeover_wait_s + refill_s,
            is_takeover=takeover_wait_s > 0,
        )

    def _advance(self, now_s: float) -> None:
        """Refill up to each loan's expiry in turn, so that no loan frees its tokens early."""
        expiries = sorted(
            (loan.counted_until_s, loan_id) for loan_id, loan in self._loans_by_id.items()
        )
        for expires_s, loan_id in expiries:
            if expires_s > now_s:
                break
            self._refill(expires_s)
            self._outstanding -= self._loans_by_id.pop(loan_id).unspent
        self._refill(now_s)

    def _refill(self, now_s: float) -> None:
        start_s = max(self._refilled_until_s, self._refill_start_s)
        if now_s > start_s:
            self._level += (now_s - start_s) * self._limit.rate_per_s
        self._refilled_until_s = max(self._refilled_until_s, now_s)
        self._cap_level()

    def _cap_level(self) -> None:
        self._level = min(self._level, max(0.0, self._limit.burst - self._outstanding))
