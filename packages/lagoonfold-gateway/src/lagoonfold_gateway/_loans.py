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
from lagoonfold_gateway._members import Members
from lagoonfold_gateway._messages import LoanAsk, LoanGiven, LoanRefused
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_io.observe import EventLog

ASK_TIMEOUT_S = 0.15  # some hundred times the way to a peer
PAUSE_S = 0.02  # between asks while there is nothing to lend
MAX_PAUSE_S = 0.1  # as above, for accounts of a low rate
MIN_RETRY_AFTER_S = 0.05  # less than a caller's way there and back makes no sense
REPORT_S = 0.2  # how often unused tokens are given back
MAX_PROGRAMS_ASKED = 32  # in one ask, some 40 bytes each; the rest go with the next

_log = EventLog("loans")


@dataclass(frozen=True, slots=True, eq=False)
class _Waiting:
    call: ProgramCall
    granted: trio.Event = field(default_factory=trio.Event)


@dataclass(slots=True)
class _Desk:
    """What an instance holds of an account; `asked_programs` are not committed to yet."""

    borrower: Borrower = field(default_factory=Borrower)
    line: WaitQueue[_Waiting] = field(default_factory=WaitQueue)
    asked_programs: dict[str, None] = field(default_factory=dict)
    is_asking: bool = False
    has_news: trio.Event = field(default_factory=trio.Event)
    is_unowned: bool = False
    retry_after_s: float = 0.05

    def hand_out(self, *, now_s: float) -> None:
        """Give the tokens that are there to the first in line."""
        while (head := self.line.head()) is not None and self.borrower.take(now_s=now_s):
            self.line.record_freed(now_s=now_s)
            self.line.remove(head)
            head.granted.set()


class Loans:
    """Borrows tokens for this instance's calls and hands them out in order."""

    def __init__(self, bus: PeerBus, members: Members) -> None:
        self._bus = bus
        self._members = members
        self._programs = ProgramTracker()
        self._desk_by_account: dict[str, _Desk] = {}

    async def take(
        self, account: ClientAccount, call: ProgramCall, nursery: trio.Nursery
    ) -> Result[None, Refusal]:
        """Take one token for a call that is about to be forwarded, waiting for it if need be."""
        if account.limit is None:
            return Ok(None)
        desk = self._desk_by_account.setdefault(account.name, _Desk())
        desk.borrower.record_arrival(now_s=now_s())
        priority = self._programs.prioritize(call, now_s=now_s())
        self._ask_for_program(desk, call.program_id)
        if not len(desk.line) and desk.borrower.take(now_s=now_s()):
            if desk.borrower.should_renew(now_s=now_s()):
                self._start_asking(account.name, desk, nursery)
            taken: Result[None, Refusal] = Ok(None)
        else:
            taken = await self._wait(account.name, desk, call, priority, nursery)
        if isinstance(taken, Ok):
            self._programs.record_call(call.program_id)
        return taken

    def refund(self, account: ClientAccount) -> None:
        """Return the token of a call that was refused before it was forwarded."""
        desk = self._desk_by_account.get(account.name)
        if desk is not None:
            desk.borrower.refund(now_s=now_s())

    def mark_budget_exhausted(self, program_id: str) -> None:
        """Take in that a program's budget did not hold one of its turns."""
        self._programs.mark_budget_exhausted(program_id)

    async def _wait(
        self,
        account: str,
        desk: _Desk,
        call: ProgramCall,
        priority: CallPriority,
        nursery: trio.Nursery,
    ) -> Result[None, Refusal]:
        """Wait in the account's line for a token."""
        waiting = _Waiting(call)
        is_in_line = desk.line.enqueue(
            waiting,
            rank=priority.rank,
            tie_break=priority.tie_break,
            wait_until_s=priority.wait_until_s,
            now_s=now_s(),
        )
        if not is_in_line:
            return Err(_over_rate(account, desk.retry_after_s))
        self._start_asking(account, desk, nursery)
        try:
            with trio.move_on_after(priority.wait_until_s - now_s()):
                await waiting.granted.wait()
        finally:
            desk.line.remove(waiting)
        if waiting.granted.is_set():
            return Ok(None)
        return Err(
            _no_owner(account) if desk.is_unowned else _over_rate(account, desk.retry_after_s)
        )

    def _start_asking(self, account: str, desk: _Desk, nursery: trio.Nursery) -> None:
        if not desk.is_asking:
            desk.is_asking = True
            nursery.start_soon(self._keep_asking, account, desk)

    async def _keep_asking(self, account: str, desk: _Desk) -> None:
        """Ask for loans until nobody waits, and hand the tokens out in the order of the line."""
        try:
            while True:
                shortage = await self._ask(account, desk)
                desk.hand_out(now_s=now_s())
                if not len(desk.line):
                    return
                if shortage is not None:
                    desk.is_unowned = shortage.is_takeover
                    desk.retry_after_s = max(MIN_RETRY_AFTER_S, shortage.retry_after_s)
                    pause_s = min(MAX_PAUSE_S, max(PAUSE_S, shortage.retry_after_s))
                    with trio.move_on_after(pause_s):
                        await desk.has_news.wait()
        finally:
            desk.is_asking = False

    async def report(self) -> None:
        """Give unused tokens back, until cancelled."""
        while True:
            await trio.sleep(REPORT_S)
            for account, desk in tuple(self._desk_by_account.items()):
                if desk.borrower.needs_report(now_s=now_s()):
                    await self._report(account, desk)

    async def _report(self, account: str, desk: _Desk) -> None:
        reports = desk.borrower.report(now_s=now_s())
        request = LoanRequest(number=0, needed=0, wanted=0, reports=reports)
        message = LoanAsk(account=account, borrower=self._bus.own_id, request=request)
        owner = self._members.owners_of(account)[0]
        await self._bus.call(owner, message, timeout_s=ASK_TIMEOUT_S)

    async def _ask(self, account: str, desk: _Desk) -> Shortage | None:
        """Ask the owner for a loan; return why there is none, or None if there is one."""
        head_rank = desk.line.head_rank()
        rank = RANK_PREFETCH if head_rank is None else head_rank
        needed = max(1, desk.line.count_of_rank(rank))
        desk.has_news = trio.Event()
        programs = self._needs(desk)
        request = desk.borrower.new_request(
            now_s=now_s(), needed=needed, rank=rank, programs=programs
        )
        owner = self._members.owners_of(account)[0]
        message = LoanAsk(account=account, borrower=self._bus.own_id, request=request)
        answer = await self._bus.call(owner, message, timeout_s=ASK_TIMEOUT_S)
        if isinstance(answer, Ok) and isinstance(answer.ok_value, LoanGiven | LoanRefused):
            self._take_in_committed(desk, answer.ok_value.committed)
        if isinstance(answer, Ok) and isinstance(answer.ok_value, LoanGiven):
            desk.borrower.receive(request, answer.ok_value.loan, now_s=now_s())
            return None
        if isinstance(answer, Ok) and isinstance(answer.ok_value, LoanRefused):
            desk.borrower.back_off(request, answer.ok_value.shortage, now_s=now_s())
            return answer.ok_value.shortage
        desk.borrower.abandon(request)
        return Shortage(retry_after_s=PAUSE_S, is_takeover=True)

    def _ask_for_program(self, desk: _Desk, program_id: str) -> None:
        """Have rate asked for a program at once, if none is committed to it."""
        if program_id in desk.asked_programs:
            return
        if self._programs.need(program_id, now_s=now_s()) is not None:
            desk.asked_programs[program_id] = None
            desk.has_news.set()

    def _needs(self, desk: _Desk) -> tuple[ProgramNeed, ...]:
        """Return what the programs that no rate is committed to need; forget those without hope."""
        needs: list[ProgramNeed] = []
        for program_id in tuple(desk.asked_programs)[:MAX_PROGRAMS_ASKED]:
            need = self._programs.need(program_id, now_s=now_s())
            del desk.asked_programs[program_id]
            if need is not None:
                desk.asked_programs[program_id] = None  # behind those that were not asked this time
                needs.append(need)
        return tuple(needs)

    def _take_in_committed(self, desk: _Desk, committed: tuple[str, ...]) -> None:
        """Move the waiting calls of programs that rate is now committed to."""
        for program_id in committed:
            self._programs.mark_committed(program_id)
            desk.asked_programs.pop(program_id, None)
        if not committed:
            return
        for waiting in desk.line.items():
            if waiting.call.program_id in committed:
                priority = self._programs.prioritize(waiting.call, now_s=now_s())
                desk.line.change_rank(waiting, rank=priority.rank)


def _over_rate(account: str, retry_after_s: float) -> Refusal:
    return Refusal(
        kind=ErrorKind.RATE_EXCEEDED,
        detail=f"client account {account!r} is over its rate",
        retry_after_s=retry_after_s,
    )


def _no_owner(account: str) -> Refusal:
    return Refusal(
        kind=ErrorKind.OWNER_UNAVAILABLE,
        detail=f"no instance can lend of the rate of client account {account!r} now",
        retry_after_s=0.2,
    )
