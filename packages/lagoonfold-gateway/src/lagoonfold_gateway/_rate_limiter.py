"""Keeps the calls that arrive at this instance to their client account's rate.

The account's owner (`_rate_owner`) lends its tokens; each instance takes them for its calls. With
its asks an instance names the programs of its calls; the owner says which of them the rate holds in
their time, and those go first.
"""

from dataclasses import dataclass, field

import trio
from result import Err, Ok, Result

from lagoonfold import ErrorKind, Refusal
from lagoonfold.forwarding import ClientAccount, WaitQueue
from lagoonfold.rates import (
    RANK_PREFETCH,
    Borrower,
    CallPriority,
    LoanRequest,
    ProgramCall,
    ProgramNeed,
    ProgramTracker,
    Shortage,
)
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._member_controller import MemberController
from lagoonfold_gateway._messages import AccountLoanRequest, LoanGranted, LoanRefused
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_io.observe import EventLog

REQUEST_TIMEOUT_S = 0.15  # some hundred times the way to a peer
RETRY_PAUSE_S = 0.02  # between asks while there is nothing to lend
MAX_RETRY_PAUSE_S = 0.1  # as above, for accounts of a low rate
MIN_RETRY_AFTER_S = 0.05  # less than a caller's way there and back makes no sense
REPORT_INTERVAL_S = 0.2  # how often unused tokens are given back
MAX_PROGRAMS_PER_REQUEST = 32  # in one ask, some 40 bytes each; the rest go with the next

_log = EventLog("loans")


@dataclass(frozen=True, slots=True, eq=False)
class _WaitingCall:
    call: ProgramCall
    granted: trio.Event = field(default_factory=trio.Event)


@dataclass(slots=True)
class _BorrowedAccount:
    """What an instance holds of an account; `asked_programs` are not committed to yet."""

    borrower: Borrower = field(default_factory=Borrower)
    queue: WaitQueue[_WaitingCall] = field(default_factory=WaitQueue)
    uncommitted_programs: dict[str, None] = field(default_factory=dict)
    is_requesting: bool = False
    has_new_program: trio.Event = field(default_factory=trio.Event)
    is_owner_unavailable: bool = False
    retry_after_s: float = 0.05

    def grant_tokens(self, *, now_s: float) -> None:
        """Give the tokens that are there to the first in line."""
        while (head := self.queue.head()) is not None and self.borrower.take(now_s=now_s):
            self.queue.record_freed(now_s=now_s)
            self.queue.remove(head)
            head.granted.set()


class RateLimiter:
    """Borrows tokens for this instance's calls and hands them out in order."""

    def __init__(self, bus: PeerBus, members: MemberController) -> None:
        self._bus = bus
        self._members = members
        self._programs = ProgramTracker()
        self._borrowed_by_account: dict[str, _BorrowedAccount] = {}

    async def acquire_token(
        self, account: ClientAccount, call: ProgramCall, nursery: trio.Nursery
    ) -> Result[None, Refusal]:
        """Take one token for a call that is about to be forwarded, waiting for it if need be."""
        if account.limit is None:
            return Ok(None)
        borrowed = self._borrowed_by_account.setdefault(account.name, _BorrowedAccount())
        borrowed.borrower.record_arrival(now_s=now_s())
        priority = self._programs.prioritize(call, now_s=now_s())
        self._request_commitment(borrowed, call.program_id)
        if not len(borrowed.queue) and borrowed.borrower.take(now_s=now_s()):
            if borrowed.borrower.should_renew(now_s=now_s()):
                self._start_requesting(account.name, borrowed, nursery)
            taken: Result[None, Refusal] = Ok(None)
        else:
            taken = await self._wait(account.name, borrowed, call, priority, nursery)
        if isinstance(taken, Ok):
            self._programs.record_call(call.program_id)
        return taken

    def refund(self, account: ClientAccount) -> None:
        """Return the token of a call that was refused before it was forwarded."""
        borrowed = self._borrowed_by_account.get(account.name)
        if borrowed is not None:
            borrowed.borrower.refund(now_s=now_s())

    def mark_budget_exhausted(self, program_id: str) -> None:
        """Take in that a program's budget did not hold one of its turns."""
        self._programs.mark_budget_exhausted(program_id)

    async def _wait(
        self,
        account: str,
        borrowed: _BorrowedAccount,
        call: ProgramCall,
        priority: CallPriority,
        nursery: trio.Nursery,
    ) -> Result[None, Refusal]:
        """Wait in the account's line for a token."""
        waiting = _WaitingCall(call)
        is_queued = borrowed.queue.enqueue(
            waiting,
            rank=priority.rank,
            tie_break=priority.tie_break,
            wait_until_s=priority.wait_until_s,
            now_s=now_s(),
        )
        if not is_queued:
            return Err(_rate_exceeded(account, borrowed.retry_after_s))
        self._start_requesting(account, borrowed, nursery)
        try:
            with trio.move_on_after(priority.wait_until_s - now_s()):
                await waiting.granted.wait()
        finally:
            borrowed.queue.remove(waiting)
        if waiting.granted.is_set():
            return Ok(None)
        return Err(
            _owner_unavailable(account)
            if borrowed.is_owner_unavailable
            else _rate_exceeded(account, borrowed.retry_after_s)
        )

    def _start_requesting(
        self, account: str, borrowed: _BorrowedAccount, nursery: trio.Nursery
    ) -> None:
        if not borrowed.is_requesting:
            borrowed.is_requesting = True
            nursery.start_soon(self._request_loans, account, borrowed)

    async def _request_loans(self, account: str, borrowed: _BorrowedAccount) -> None:
        """Ask for loans until nobody waits, and hand the tokens out in the order of the line."""
        try:
            while True:
                shortage = await self._request_loan(account, borrowed)
                borrowed.grant_tokens(now_s=now_s())
                if not len(borrowed.queue):
                    return
                if shortage is not None:
                    borrowed.is_owner_unavailable = shortage.is_takeover
                    borrowed.retry_after_s = max(MIN_RETRY_AFTER_S, shortage.retry_after_s)
                    pause_s = min(MAX_RETRY_PAUSE_S, max(RETRY_PAUSE_S, shortage.retry_after_s))
                    with trio.move_on_after(pause_s):
                        await borrowed.has_new_program.wait()
        finally:
            borrowed.is_requesting = False

    async def run_reports(self) -> None:
        """Give unused tokens back, until cancelled."""
        while True:
            await trio.sleep(REPORT_INTERVAL_S)
            for account, borrowed in tuple(self._borrowed_by_account.items()):
                if borrowed.borrower.needs_report(now_s=now_s()):
                    await self._send_report(account, borrowed)

    async def _send_report(self, account: str, borrowed: _BorrowedAccount) -> None:
        reports = borrowed.borrower.report(now_s=now_s())
        request = LoanRequest(number=0, needed=0, wanted=0, reports=reports)
        message = AccountLoanRequest(account=account, borrower=self._bus.own_id, request=request)
        owner = self._members.ranked_owners(account)[0]
        await self._bus.call(owner, message, timeout_s=REQUEST_TIMEOUT_S)

    async def _request_loan(self, account: str, borrowed: _BorrowedAccount) -> Shortage | None:
        """Ask the owner for a loan; return why there is none, or None if there is one."""
        head_rank = borrowed.queue.head_rank()
        rank = RANK_PREFETCH if head_rank is None else head_rank
        needed = max(1, borrowed.queue.count_of_rank(rank))
        borrowed.has_new_program = trio.Event()
        programs = self._collect_needs(borrowed)
        request = borrowed.borrower.new_request(
            now_s=now_s(), needed=needed, rank=rank, programs=programs
        )
        owner = self._members.ranked_owners(account)[0]
        message = AccountLoanRequest(account=account, borrower=self._bus.own_id, request=request)
        answer = await self._bus.call(owner, message, timeout_s=REQUEST_TIMEOUT_S)
        if isinstance(answer, Ok) and isinstance(answer.ok_value, LoanGranted | LoanRefused):
            self._apply_commitments(borrowed, answer.ok_value.committed)
        if isinstance(answer, Ok) and isinstance(answer.ok_value, LoanGranted):
            borrowed.borrower.receive(request, answer.ok_value.loan, now_s=now_s())
            return None
        if isinstance(answer, Ok) and isinstance(answer.ok_value, LoanRefused):
            borrowed.borrower.back_off(request, answer.ok_value.shortage, now_s=now_s())
            return answer.ok_value.shortage
        borrowed.borrower.abandon(request)
        return Shortage(retry_after_s=RETRY_PAUSE_S, is_takeover=True)

    def _request_commitment(self, borrowed: _BorrowedAccount, program_id: str) -> None:
        """Have rate asked for a program at once, if none is committed to it."""
        if program_id in borrowed.uncommitted_programs:
            return
        if self._programs.need(program_id, now_s=now_s()) is not None:
            borrowed.uncommitted_programs[program_id] = None
            borrowed.has_new_program.set()

    def _collect_needs(self, borrowed: _BorrowedAccount) -> tuple[ProgramNeed, ...]:
        """Return what the programs that no rate is committed to need; forget those without hope."""
        needs: list[ProgramNeed] = []
        for program_id in tuple(borrowed.uncommitted_programs)[:MAX_PROGRAMS_PER_REQUEST]:
            need = self._programs.need(program_id, now_s=now_s())
            del borrowed.uncommitted_programs[program_id]
            if need is not None:
                borrowed.uncommitted_programs[program_id] = (
                    None  # behind those that were not asked this time
                )
                needs.append(need)
        return tuple(needs)

    def _apply_commitments(self, borrowed: _BorrowedAccount, committed: tuple[str, ...]) -> None:
        """Move the waiting calls of programs that rate is now committed to."""
        for program_id in committed:
            self._programs.mark_committed(program_id)
            borrowed.uncommitted_programs.pop(program_id, None)
        if not committed:
            return
        for waiting in borrowed.queue.items():
            if waiting.call.program_id in committed:
                priority = self._programs.prioritize(waiting.call, now_s=now_s())
                borrowed.queue.change_rank(waiting, rank=priority.rank)


def _rate_exceeded(account: str, retry_after_s: float) -> Refusal:
    return Refusal(
        kind=ErrorKind.RATE_EXCEEDED,
        detail=f"client account {account!r} is over its rate",
        retry_after_s=retry_after_s,
    )


def _owner_unavailable(account: str) -> Refusal:
    return Refusal(
        kind=ErrorKind.OWNER_UNAVAILABLE,
        detail=f"no instance can lend of the rate of client account {account!r} now",
        retry_after_s=0.2,
    )
