"""The borrowing side of an account's rate limit, at each instance where its calls arrive."""

import math
from dataclasses import dataclass

from lagoonfold.rates._messages import Loan, LoanReport, LoanRequest, ProgramNeed, Shortage
from lagoonfold.rates._rate_meter import RateMeter

_LOOKAHEAD_S = 0.25  # a loan request covers the demand expected in this time
_RENEW_BELOW_SHARE = 0.25  # of the expected demand
_IDLE_CLOSE_S = 0.1
_MIN_BACKOFF_S = 0.005
_MAX_BACKOFF_S = 0.1


@dataclass(slots=True)
class _HeldLoan:
    """A loan from the lender, with the spending that was last reported."""

    loan_id: str
    size: int
    spent: int
    expires_s: float
    last_used_s: float
    reported: int = 0

    @property
    def remaining(self) -> int:
        return self.size - self.spent


class Borrower:
    """Hold the tokens of one account that this instance may spend.

    A loan's TTL runs on this instance's clock from before the loan request was sent, so the loan
    expires here no later than at the lender.
    """

    def __init__(self) -> None:
        self._demand_meter = RateMeter()
        self._loans_by_id: dict[str, _HeldLoan] = {}
        self._sent_s_by_request: dict[int, float] = {}
        self._next_request_number = 1
        self._consecutive_shortages = 0
        self._next_request_s = float("-inf")

    def record_arrival(self, *, now_s: float) -> None:
        """Count an arriving call, so that the next loan requests follow the demand."""
        self._demand_meter.add(now_s=now_s)

    def take(self, *, now_s: float) -> bool:
        """Spend one token of the loan that expires first; return False if none can be spent."""
        usable = [loan for loan in self._loans_by_id.values() if self._is_usable(loan, now_s)]
        if not usable:
            return False
        loan = min(usable, key=lambda held: held.expires_s)
        loan.spent += 1
        loan.last_used_s = now_s
        return True

    def refund(self, *, now_s: float) -> None:
        """Give back the token of a call that was not forwarded.

        Do nothing unless an unexpired loan has spending that was not reported yet.
        """
        usable = [
            loan
            for loan in self._loans_by_id.values()
            if loan.spent > loan.reported and now_s < loan.expires_s
        ]
        if usable:
            min(usable, key=lambda held: held.expires_s).spent -= 1

    def available(self, *, now_s: float) -> int:
        """Return how many tokens can be spent now."""
        loans = self._loans_by_id.values()
        return sum(loan.remaining for loan in loans if self._is_usable(loan, now_s))

    def should_renew(self, *, now_s: float) -> bool:
        """Return whether to request a loan early, as few tokens remain for the expected demand."""
        if now_s < self._next_request_s:
            return False
        expected = self._demand_meter.rate_per_s(now_s=now_s) * _LOOKAHEAD_S
        return expected >= 1 and self.available(now_s=now_s) < expected * _RENEW_BELOW_SHARE

    def new_request(
        self,
        *,
        now_s: float,
        needed: int,
        rank: int = 0,
        programs: tuple[ProgramNeed, ...] = (),
    ) -> LoanRequest:
        """Return a loan request to send now, with reports of all held loans."""
        expected = math.ceil(self._demand_meter.rate_per_s(now_s=now_s) * _LOOKAHEAD_S)
        number = self._next_request_number
        self._next_request_number += 1
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
        """Return reports of all held loans, and drop those that are used up, expired or idle."""
        reports = tuple(self._report_loan(loan, now_s) for loan in self._loans_by_id.values())
        for report in reports:
            if report.is_closed:
                del self._loans_by_id[report.loan_id]
        return reports

    def needs_report(self, *, now_s: float) -> bool:
        """Return whether a report would close a loan or carry spending not reported yet."""
        return any(
            loan.reported < loan.spent or self._should_close(loan, now_s)
            for loan in self._loans_by_id.values()
        )

    def receive(self, request: LoanRequest, loan: Loan, *, now_s: float) -> None:
        """Add the loan that answers a loan request.

        A repeated answer and an answer to an abandoned request are ignored. A loan that arrives
        after it has expired is kept only until it is reported back as closed.
        """
        sent_s = self._sent_s_by_request.pop(request.number, None)
        if sent_s is None:
            return
        self._consecutive_shortages = 0
        self._loans_by_id[loan.loan_id] = _HeldLoan(
            loan_id=loan.loan_id,
            size=loan.size,
            spent=0,
            expires_s=sent_s + loan.ttl_s,
            last_used_s=now_s,
        )

    def abandon(self, request: LoanRequest) -> None:
        """Forget a loan request that got no loan; a late answer to it will be ignored."""
        self._sent_s_by_request.pop(request.number, None)

    def back_off(self, request: LoanRequest, shortage: Shortage, *, now_s: float) -> None:
        """Abandon a loan request that met a shortage, and delay the next one.

        The delay is `shortage.retry_after_s`, limited to `_MAX_BACKOFF_S`, but no less than a
        minimum that doubles with each shortage in a row. Under lasting overload this keeps refused
        calls from each costing a loan request.
        """
        self.abandon(request)
        self._consecutive_shortages += 1
        min_backoff_s = min(
            _MAX_BACKOFF_S, _MIN_BACKOFF_S * 2 ** min(self._consecutive_shortages - 1, 10)
        )
        self._next_request_s = now_s + max(
            min_backoff_s, min(shortage.retry_after_s, _MAX_BACKOFF_S)
        )

    def backoff_left_s(self, *, now_s: float) -> float:
        """Return the seconds until the next loan request may be sent, zero if it may be now."""
        return max(0.0, self._next_request_s - now_s)

    def _report_loan(self, loan: _HeldLoan, now_s: float) -> LoanReport:
        loan.reported = loan.spent
        is_closed = self._should_close(loan, now_s)
        return LoanReport(loan_id=loan.loan_id, spent=loan.spent, is_closed=is_closed)

    @staticmethod
    def _is_usable(loan: _HeldLoan, now_s: float) -> bool:
        return loan.remaining > 0 and now_s < loan.expires_s

    @staticmethod
    def _should_close(loan: _HeldLoan, now_s: float) -> bool:
        has_ended = loan.remaining == 0 or now_s >= loan.expires_s
        return has_ended or now_s - loan.last_used_s >= _IDLE_CLOSE_S
