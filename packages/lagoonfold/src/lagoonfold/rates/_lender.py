"""The lending side of an account's rate, at the account's owner.

The lender keeps `level + outstanding <= burst`, where `outstanding` counts every lent token that
may still be spent. A window of t seconds that starts at any moment can then see at most the
outstanding tokens, the level and rate x t of refill: rate x t + burst.
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

_MAX_SHARE_OF_LEVEL = 0.25
_ROUNDING_TOKENS = 1e-6
_KEPT_FOR_RANK_S = 0.1  # a borrower whose calls wait asks again within this time


@dataclass(slots=True)
class _OpenLoan:
    borrower: str
    size: int
    unspent: int
    counted_until_s: float


class Lender:
    """The token bucket of one account and the loans made from it under one epoch.

    After a takeover nothing is known of the former owner's loans, so the lender starts empty and
    neither refills nor lends until all of them have expired. A new account (`is_new`) starts full.
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
        self._next_number = 1
        self._level = limit.burst if is_new else 0.0
        self._counts_from_s = now_s if is_new else now_s + lender_ttl_s(ttl_s)
        self._counted_s = now_s
        self._kept_until_s_by_rank: dict[int, float] = {}

    @property
    def level(self) -> float:
        """Tokens that could be lent, as of the last call."""
        return self._level

    @property
    def outstanding(self) -> int:
        """Lent tokens that may still be spent, as of the last call."""
        return self._outstanding

    def change_limit(self, limit: RateLimit, *, now_s: float) -> None:
        """Put another rate and burst in force from now on."""
        self._advance(now_s)
        self._limit = limit
        self._cap_level()

    def lend(
        self, borrower: str, request: LoanRequest, *, now_s: float, reserved: float = 0.0
    ) -> Result[Loan, Shortage]:
        """Take in the borrower's reports, then lend what is there.

        `reserved` tokens are kept from calls of programs that no rate is committed to, and from
        asks ahead of need.
        """
        self.report(borrower, request.reports, now_s=now_s)
        kept = reserved if request.rank >= RANK_UNCOMMITTED else 0.0
        lendable = int(self._level - kept + _ROUNDING_TOKENS)
        if lendable < 1 or request.wanted < 1:
            self._kept_until_s_by_rank[request.rank] = now_s + _KEPT_FOR_RANK_S
            return Err(self._shortage(kept, now_s))
        if self._is_kept_for_others(request.rank, now_s):
            return Err(self._shortage(kept, now_s))
        self._kept_until_s_by_rank.pop(request.rank, None)
        size = self._size_of(request, lendable)
        loan = Loan(
            loan_id=f"{self._epoch}.{self._next_number}",
            size=size,
            ttl_s=self._ttl_s,
        )
        self._next_number += 1
        self._level -= size
        self._outstanding += size
        self._loans_by_id[loan.loan_id] = _OpenLoan(
            borrower, size, size, now_s + lender_ttl_s(self._ttl_s)
        )
        return Ok(loan)

    def report(self, borrower: str, reports: tuple[LoanReport, ...], *, now_s: float) -> None:
        """Take in what a borrower has spent and given back."""
        self._advance(now_s)
        for report in reports:
            self._take_in(borrower, report)

    def _take_in(self, borrower: str, report: LoanReport) -> None:
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

    def _is_kept_for_others(self, rank: int, now_s: float) -> bool:
        """Tell whether more urgent calls found nothing just now and will ask again."""
        kept = self._kept_until_s_by_rank.items()
        return any(other < rank and until_s > now_s for other, until_s in kept)

    def _size_of(self, request: LoanRequest, lendable: int) -> int:
        share = int(self._level * _MAX_SHARE_OF_LEVEL)
        size = max(request.needed, min(request.wanted, share))
        return max(1, min(size, lendable))

    def _shortage(self, kept: float, now_s: float) -> Shortage:
        missing = max(0.0, 1 + kept - self._level)
        refill_s = missing / self._limit.rate_per_s if self._limit.rate_per_s > 0 else 3600.0
        held_back_s = max(0.0, self._counts_from_s - now_s)
        return Shortage(
            retry_after_s=held_back_s + refill_s,
            is_takeover=held_back_s > 0,
        )

    def _advance(self, now_s: float) -> None:
        """Refill up to each loan's expiry in turn, so that no expiry is counted early."""
        due = sorted((loan.counted_until_s, loan_id) for loan_id, loan in self._loans_by_id.items())
        for expires_s, loan_id in due:
            if expires_s > now_s:
                break
            self._refill(expires_s)
            self._outstanding -= self._loans_by_id.pop(loan_id).unspent
        self._refill(now_s)

    def _refill(self, now_s: float) -> None:
        start_s = max(self._counted_s, self._counts_from_s)
        if now_s > start_s:
            self._level += (now_s - start_s) * self._limit.rate_per_s
        self._counted_s = max(self._counted_s, now_s)
        self._cap_level()

    def _cap_level(self) -> None:
        self._level = min(self._level, max(0.0, self._limit.burst - self._outstanding))
