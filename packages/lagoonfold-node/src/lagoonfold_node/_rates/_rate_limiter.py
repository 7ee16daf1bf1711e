"""The borrowing side of the rate controller, at the instance where calls arrive."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from result import Err, Ok, Result

from lagoonfold import AccountId, ErrorKind, InstanceId, Refusal
from lagoonfold.rates import Borrower, Loan, LoanRequest, Shortage
from lagoonfold_node._peers import PeerBus
from lagoonfold_node._rates._lenders import AccountOwners, Lenders
from lagoonfold_node._rates._messages import (
    LoanGranted,
    LoanRefused,
    ReportLoans,
    RequestLoan,
)

LOAN_REQUEST_TIMEOUT_S = 0.25
MAX_TOKEN_WAIT_S = 0.1
MAX_OWNER_WAIT_S = 2.0
MAX_WAITING = 8  # calls of one account that wait while its rate and burst are used up
MIN_PAUSE_S = 0.005
REPORT_INTERVAL_S = 0.1


@dataclass(slots=True)
class _AccountLimiter:
    """One account's borrower, its waiting calls, and its loan request in flight.

    `shortage` and `refusal` hold how the last loan request failed, both None if it did not.
    """

    borrower: Borrower = field(default_factory=Borrower)
    waiting: int = 0
    request_done: trio.Event | None = None
    shortage: Shortage | None = None
    refusal: Refusal | None = None

    def record_answer(
        self, *, shortage: Shortage | None = None, refusal: Refusal | None = None
    ) -> None:
        """Record the result of a loan request; calls are refused for it until the next result."""
        self.shortage = shortage
        self.refusal = refusal


class RateLimiter:
    """Admit calls at the instance where they arrive.

    A call spends a borrowed token if there is one. Otherwise a loan request goes to the account's
    owner at once, and the call waits for up to `MAX_TOKEN_WAIT_S`, or for `MAX_OWNER_WAIT_S` while
    the owner changes. It does not wait while this instance cannot verify who owns the account.
    Waiting calls share one loan request.

        (await limiter.admit(account_id)).is_ok()
    """

    def __init__(
        self,
        instance_id: InstanceId,
        bus: PeerBus,
        owners: AccountOwners,
        lenders: Lenders,
        *,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._instance_id = instance_id
        self._bus = bus
        self._owners = owners
        self._clock = clock
        self._limiters_by_account: dict[AccountId, _AccountLimiter] = {}
        self._nursery: trio.Nursery | None = None
        self.lenders = lenders

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Report and return loans, and run early loan requests, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                await trio.sleep(REPORT_INTERVAL_S)
                for account_id in tuple(self._limiters_by_account):
                    self._report(account_id)

    async def admit(self, account_id: AccountId) -> Result[None, Refusal]:
        """Spend one token of the account, or return a refusal with the time to retry."""
        limiter = self._limiters_by_account.setdefault(account_id, _AccountLimiter())
        started_s = self._clock()
        limiter.borrower.record_arrival(now_s=started_s)
        if limiter.borrower.take(now_s=started_s):
            self._renew_ahead(account_id, limiter)
            return Ok(None)
        return await self._wait_for_token(account_id, limiter, started_s)

    async def _wait_for_token(
        self, account_id: AccountId, limiter: _AccountLimiter, started_s: float
    ) -> Result[None, Refusal]:
        if limiter.waiting >= MAX_WAITING and _is_used_up(limiter):
            return Err(_refusal_of(limiter))
        limiter.waiting += 1
        try:
            return await self._request_until_admitted(account_id, limiter, started_s)
        finally:
            limiter.waiting -= 1

    async def _request_until_admitted(
        self, account_id: AccountId, limiter: _AccountLimiter, started_s: float
    ) -> Result[None, Refusal]:
        wait_started_s = started_s
        was_used_up = False
        while True:
            pause_s = limiter.borrower.backoff_left_s(now_s=self._clock())
            if pause_s == 0.0:
                await self._request_or_join(account_id, limiter)
                if limiter.borrower.take(now_s=self._clock()):
                    return Ok(None)
                pause_s = max(MIN_PAUSE_S, limiter.borrower.backoff_left_s(now_s=self._clock()))
            refusal = _refusal_of(limiter)
            lookup_refusal = self._owners.owner_lookup_refusal()
            if limiter.refusal is not None and lookup_refusal is not None:
                return Err(lookup_refusal)
            if _is_used_up(limiter) and not was_used_up:
                # The time limit for a token starts once the owner has answered.
                was_used_up = True
                wait_started_s = self._clock()
            if self._clock() + pause_s - wait_started_s > _max_wait_s(limiter):
                return Err(refusal)
            await trio.sleep(pause_s)
            if limiter.borrower.take(now_s=self._clock()):
                return Ok(None)

    async def _request_or_join(self, account_id: AccountId, limiter: _AccountLimiter) -> None:
        """Send a loan request, or wait for the one in flight."""
        if limiter.request_done is not None:
            await limiter.request_done.wait()
            return
        limiter.request_done = trio.Event()
        try:
            await self._request_loan(account_id, limiter)
        finally:
            limiter.request_done.set()
            limiter.request_done = None

    async def _request_loan(self, account_id: AccountId, limiter: _AccountLimiter) -> None:
        owner = self._owners.owner_of(account_id)
        if owner is None:
            limiter.record_answer(refusal=_owner_unavailable("no owner"))
            return
        request = limiter.borrower.new_request(now_s=self._clock(), needed=max(1, limiter.waiting))
        answer = await self._send_request(owner, account_id, request)
        if isinstance(answer, Err):
            limiter.borrower.abandon(request)
            limiter.record_answer(refusal=answer.err_value)
        elif isinstance(answer.ok_value, Err):
            shortage = answer.ok_value.err_value
            limiter.record_answer(shortage=shortage)
            limiter.borrower.back_off(request, shortage, now_s=self._clock())
        else:
            limiter.record_answer()
            limiter.borrower.receive(request, answer.ok_value.ok_value, now_s=self._clock())

    async def _send_request(
        self, owner: InstanceId, account_id: AccountId, request: LoanRequest
    ) -> Result[Result[Loan, Shortage], Refusal]:
        if owner == self._instance_id:
            return self.lend(self._instance_id, account_id, request)
        message = RequestLoan(account_id=account_id, request=request)
        answer = await self._bus.request(owner, message, LOAN_REQUEST_TIMEOUT_S)
        if isinstance(answer, Err):
            return Err(_owner_unavailable(answer.err_value.detail))
        match answer.ok_value:
            case LoanGranted(loan=loan):
                return Ok(Ok(loan))
            case LoanRefused(shortage=shortage):
                return Ok(Err(shortage))
        return Err(_owner_unavailable("unexpected answer"))

    def lend(
        self, borrower: InstanceId, account_id: AccountId, request: LoanRequest
    ) -> Result[Result[Loan, Shortage], Refusal]:
        """Lend to a borrower, as the account's owner."""
        return self.lenders.lend(borrower, account_id, request, now_s=self._clock())

    def _renew_ahead(self, account_id: AccountId, limiter: _AccountLimiter) -> None:
        is_due = limiter.request_done is None and limiter.borrower.should_renew(now_s=self._clock())
        if is_due and self._nursery is not None:
            self._nursery.start_soon(self._request_or_join, account_id, limiter)

    def _report(self, account_id: AccountId) -> None:
        limiter = self._limiters_by_account[account_id]
        now_s = self._clock()
        owner = self._owners.owner_of(account_id)
        if owner is None or not limiter.borrower.needs_report(now_s=now_s):
            return
        reports = limiter.borrower.report(now_s=now_s)
        if owner == self._instance_id:
            self.lenders.report(self._instance_id, account_id, reports, now_s=now_s)
        elif reports:
            self._bus.send(owner, ReportLoans(account_id=account_id, reports=reports))


def _max_wait_s(limiter: _AccountLimiter) -> float:
    """Return how long a call waits; it waits longer if the owner reported no shortage."""
    return MAX_TOKEN_WAIT_S if _is_used_up(limiter) else MAX_OWNER_WAIT_S


def _is_used_up(limiter: _AccountLimiter) -> bool:
    """Return whether the owner last answered that rate and burst are used up."""
    return limiter.shortage is not None and not limiter.shortage.is_takeover


def _refusal_of(limiter: _AccountLimiter) -> Refusal:
    if limiter.refusal is not None:
        return limiter.refusal
    shortage = limiter.shortage
    if shortage is None:
        return _owner_unavailable("no loan arrived in time")
    if shortage.is_takeover:
        return _owner_unavailable(
            "loans of the former owner have not expired yet", shortage.retry_after_s
        )
    return Refusal(
        kind=ErrorKind.RATE_EXCEEDED,
        detail="the account's rate and burst are used up",
        retry_after_s=shortage.retry_after_s,
    )


def _owner_unavailable(detail: str, retry_after_s: float = 0.05) -> Refusal:
    return Refusal(
        kind=ErrorKind.OWNER_UNAVAILABLE,
        detail=f"the account's rate can't be checked: {detail}",
        retry_after_s=retry_after_s,
    )
