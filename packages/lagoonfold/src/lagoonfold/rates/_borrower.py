"""The borrowing side of an account's rate, at each instance where its calls arrive."""

import math
from dataclasses import dataclass

from lagoonfold.rates._messages import Loan, LoanReport, LoanRequest, ProgramNeed, Shortage
from lagoonfold.rates._rate_meter import RateMeter

_AHEAD_S = 0.25
_RENEW_SHARE = 0.25
_IDLE_RETURN_S = 0.1
_MIN_PAUSE_S = 0.005
_MAX_PAUSE_S = 0.1


@dataclass(slots=True)
class _HeldLoan:
    loan_id: str
    size: int
    spent: int
    expires_s: float
    used_s: float
    reported: int = 0

    @property
    def left(self) -> int:
        return self.size - self.spent


class Borrower:
    """The tokens of one account that this instance may spend.

    A loan's life is counted on this instance's clock from before the ask was sent, so it never
    outlasts what the lender counts.
    """

    def __init__(self) -> None:
        self._demand = RateMeter()
        self._loans_by_id: dict[str, _HeldLoan] = {}
        self._sent_s_by_request: dict[int, float] = {}
        self._next_number = 1
        self._shortages = 0
        self._may_ask_s = float("-inf")

    def record_arrival(self, *, now_s: float) -> None:
        """Count an arriving call for the size of the next loans."""
        self._demand.add(now_s=now_s)

    def take(self, *, now_s: float) -> bool:
        """Spend one token for a call that runs now; the loan that expires first goes first."""
        usable = [loan for loan in self._loans_by_id.values() if self._is_usable(loan, now_s)]
        if not usable:
            return False
        loan = min(usable, key=lambda held: held.expires_s)
        loan.spent += 1
        loan.used_s = now_s
        return True

    def refund(self, *, now_s: float) -> None:
        """Take a token back whose call was not forwarded, if its loan can still be used."""
        usable = [
            loan
            for loan in self._loans_by_id.values()
            if loan.spent > loan.reported and now_s < loan.expires_s
        ]
        if usable:
            min(usable, key=lambda held: held.expires_s).spent -= 1

    def available(self, *, now_s: float) -> int:
        """Return the tokens that could be taken now."""
        loans = self._loans_by_id.values()
        return sum(loan.left for loan in loans if self._is_usable(loan, now_s))

    def should_renew(self, *, now_s: float) -> bool:
        """Tell whether to ask ahead of need: little is left of what the demand will take."""
        if now_s < self._may_ask_s:
            return False
        expected = self._demand.rate_per_s(now_s=now_s) * _AHEAD_S
        return expected >= 1 and self.available(now_s=now_s) < expected * _RENEW_SHARE

    def new_request(
        self,
        *,
        now_s: float,
        needed: int,
        rank: int = 0,
        programs: tuple[ProgramNeed, ...] = (),
    ) -> LoanRequest:
        """Return the ask to send now, with reports of all loans held."""
        expected = math.ceil(self._demand.rate_per_s(now_s=now_s) * _AHEAD_S)
        number = self._next_number
        self._next_number += 1
        self._sent_s_by_request[number] = now_s
        return LoanRequest(
            number=number,
            needed=needed,
            wanted=max(needed, expected),
            reports=self.report(now_s=now_s),
            rank=rank,
            programs=programs,
        )

    def report(self, *, now_s: float) -> tuple[LoanReport, ...]:
        """Report spending; loans that are spent, expired or idle are closed and dropped."""
        reports = tuple(self._report_one(loan, now_s) for loan in self._loans_by_id.values())
        for report in reports:
            if report.is_closed:
                del self._loans_by_id[report.loan_id]
        return reports

    def needs_report(self, *, now_s: float) -> bool:
        """Tell whether a report would close a loan or tell the lender of more spending."""
        return any(
            loan.reported < loan.spent or self._is_closing(loan, now_s)
            for loan in self._loans_by_id.values()
        )

    def receive(self, request: LoanRequest, loan: Loan, *, now_s: float) -> None:
        """Add the loan that came in answer to an ask.

        A repeated answer, or one to an ask that was given up, is ignored; a loan that came after
        its end is kept only to be reported back.
        """
        sent_s = self._sent_s_by_request.pop(request.number, None)
        if sent_s is None:
            return
        self._shortages = 0
        self._loans_by_id[loan.loan_id] = _HeldLoan(
            loan_id=loan.loan_id,
            size=loan.size,
            spent=0,
            expires_s=sent_s + loan.ttl_s,
            used_s=now_s,
        )

    def abandon(self, request: LoanRequest) -> None:
        """Forget an ask that got no loan; an answer that still comes will be ignored."""
        self._sent_s_by_request.pop(request.number, None)

    def back_off(self, request: LoanRequest, shortage: Shortage, *, now_s: float) -> None:
        """Take in the answer that nothing can be lent, and put the next ask off.

        The first one waits for as long as the lender says. Under lasting overload the pause
        doubles up to `_MAX_PAUSE_S`, so that refused calls don't each cost an ask.
        """
        self.abandon(request)
        self._shortages += 1
        least_s = min(_MAX_PAUSE_S, _MIN_PAUSE_S * 2 ** min(self._shortages - 1, 10))
        self._may_ask_s = now_s + max(least_s, min(shortage.retry_after_s, _MAX_PAUSE_S))

    def backoff_left_s(self, *, now_s: float) -> float:
        """Return the seconds until the next ask makes sense, zero if now."""
        return max(0.0, self._may_ask_s - now_s)

    def _report_one(self, loan: _HeldLoan, now_s: float) -> LoanReport:
        loan.reported = loan.spent
        is_closed = self._is_closing(loan, now_s)
        return LoanReport(loan_id=loan.loan_id, spent=loan.spent, is_closed=is_closed)

    @staticmethod
    def _is_usable(loan: _HeldLoan, now_s: float) -> bool:
        return loan.left > 0 and now_s < loan.expires_s

    @staticmethod
    def _is_closing(loan: _HeldLoan, now_s: float) -> bool:
        is_over = loan.left == 0 or now_s >= loan.expires_s
        return is_over or now_s - loan.used_s >= _IDLE_RETURN_S
