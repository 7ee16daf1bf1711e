"""The arrival side of the rate controller."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from result import Err, Ok, Result

from lagoonfold import AccountId, ErrorKind, InstanceId, Refusal
from lagoonfold.rates import Ask, Borrower, Loan, Shortage
from lagoonfold_node._peers import PeerBus
from lagoonfold_node._rates._lenders import AccountOwners, Lenders
from lagoonfold_node._rates._messages import (
    AllowanceGranted,
    AllowanceShort,
    BorrowAllowance,
    RecallAllowance,
    ReportAllowance,
)

ASK_TIMEOUT_S = 0.25
PATIENCE_S = 0.1
TAKEOVER_PATIENCE_S = 2.0
MIN_PAUSE_S = 0.005
REPORT_INTERVAL_S = 0.1


@dataclass(slots=True)
class _AccountGate:
    """One account's borrower here, and the ask that is under way."""

    borrower: Borrower = field(default_factory=Borrower)
    waiting: int = 0
    ask_done: trio.Event | None = None
    shortage: Shortage | None = None
    refusal: Refusal | None = None


class RateGate:
    """Admits calls at the instance where they arrive.

    A call takes a borrowed token if there is one; else the owner is asked at once, and the call
    waits for the answer for up to `PATIENCE_S`, or `TAKEOVER_PATIENCE_S` while the owner
    changes. Calls that wait share one ask.

        (await gate.admit(account_id)).is_ok()
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
        self._gates_by_account: dict[AccountId, _AccountGate] = {}
        self._nursery: trio.Nursery | None = None
        self.lenders = lenders

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Report and return loans, and renew them ahead of need, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                await trio.sleep(REPORT_INTERVAL_S)
                for account_id in tuple(self._gates_by_account):
                    self._report(account_id)

    async def admit(self, account_id: AccountId) -> Result[None, Refusal]:
        """Spend one token of the account, or say when to come back."""
        gate = self._gates_by_account.setdefault(account_id, _AccountGate())
        started_s = self._clock()
        gate.borrower.note_arrival(now_s=started_s)
        if gate.borrower.take(now_s=started_s):
            self._renew_ahead(account_id, gate)
            return Ok(None)
        return await self._wait(account_id, gate, started_s)

    def take_recall(self, account_id: AccountId) -> None:
        """Give back what is unspent of an account and not about to be used."""
        gate = self._gates_by_account.get(account_id)
        if gate is not None and gate.waiting == 0:
            self._report(account_id, close_all=True)

    async def _wait(
        self, account_id: AccountId, gate: _AccountGate, started_s: float
    ) -> Result[None, Refusal]:
        while True:
            gate.waiting += 1
            try:
                await self._ask_once(account_id, gate)
            finally:
                gate.waiting -= 1
            now_s = self._clock()
            if gate.borrower.take(now_s=now_s):
                return Ok(None)
            refusal = _refusal_of(gate)
            pause_s = min(max(MIN_PAUSE_S, refusal.retry_after_s), PATIENCE_S)
            if now_s + pause_s - started_s > _patience_s(gate, refusal):
                return Err(refusal)
            await trio.sleep(pause_s)
            if gate.borrower.take(now_s=self._clock()):
                return Ok(None)

    async def _ask_once(self, account_id: AccountId, gate: _AccountGate) -> None:
        """Ask the owner, or wait for the ask that is under way."""
        if gate.ask_done is not None:
            await gate.ask_done.wait()
            return
        gate.ask_done = trio.Event()
        try:
            await self._ask(account_id, gate)
        finally:
            gate.ask_done.set()
            gate.ask_done = None

    async def _ask(self, account_id: AccountId, gate: _AccountGate) -> None:
        gate.shortage, gate.refusal = None, None
        owner = self._owners.owner_of(account_id)
        if owner is None:
            gate.refusal = _owner_changing("no owner")
            return
        ask = gate.borrower.ask(now_s=self._clock(), needed=max(1, gate.waiting))
        answer = await self._ask_owner(owner, account_id, ask)
        if isinstance(answer, Err):
            gate.borrower.give_up(ask)
            gate.refusal = answer.err_value
        elif isinstance(answer.ok_value, Err):
            gate.borrower.give_up(ask)
            gate.shortage = answer.ok_value.err_value
        else:
            gate.borrower.receive(ask, answer.ok_value.ok_value, now_s=self._clock())

    async def _ask_owner(
        self, owner: InstanceId, account_id: AccountId, ask: Ask
    ) -> Result[Result[Loan, Shortage], Refusal]:
        if owner == self._instance_id:
            return self.lend(self._instance_id, account_id, ask)
        message = BorrowAllowance(account_id=account_id, ask=ask)
        answer = await self._bus.request(owner, message, ASK_TIMEOUT_S)
        if isinstance(answer, Err):
            return Err(_owner_changing(answer.err_value.detail))
        match answer.ok_value:
            case AllowanceGranted(loan=loan):
                return Ok(Ok(loan))
            case AllowanceShort(shortage=shortage):
                return Ok(Err(shortage))
        return Err(_owner_changing("unexpected answer"))

    def lend(
        self, borrower: InstanceId, account_id: AccountId, ask: Ask
    ) -> Result[Result[Loan, Shortage], Refusal]:
        """Lend as the account's owner; on a shortage ask the other holders to give back."""
        now_s = self._clock()
        answer = self.lenders.lend(borrower, account_id, ask, now_s=now_s)
        if isinstance(answer, Ok) and isinstance(answer.ok_value, Err):
            self._recall(account_id, borrower, answer.ok_value.err_value, now_s)
        return answer

    def _recall(
        self, account_id: AccountId, asker: InstanceId, shortage: Shortage, now_s: float
    ) -> None:
        holders = [holder for holder in shortage.holders if holder != asker]
        if not holders or not self.lenders.should_recall(account_id, now_s=now_s):
            return
        for holder in holders:
            if holder == self._instance_id:
                self.take_recall(account_id)
            else:
                self._bus.send(holder, RecallAllowance(account_id=account_id))

    def _renew_ahead(self, account_id: AccountId, gate: _AccountGate) -> None:
        is_due = gate.ask_done is None and gate.borrower.should_renew(now_s=self._clock())
        if is_due and self._nursery is not None:
            self._nursery.start_soon(self._ask_once, account_id, gate)

    def _report(self, account_id: AccountId, *, close_all: bool = False) -> None:
        gate = self._gates_by_account[account_id]
        now_s = self._clock()
        owner = self._owners.owner_of(account_id)
        if owner is None or not (close_all or gate.borrower.has_news(now_s=now_s)):
            return
        reports = gate.borrower.report(now_s=now_s, close_all=close_all)
        if owner == self._instance_id:
            self.lenders.report(self._instance_id, account_id, reports, now_s=now_s)
        elif reports:
            self._bus.send(owner, ReportAllowance(account_id=account_id, reports=reports))


def _patience_s(gate: _AccountGate, refusal: Refusal) -> float:
    """Return how long a call waits; one that only lost a granted loan to others waits longer."""
    is_short = gate.shortage is not None and refusal.kind is ErrorKind.RATE_EXCEEDED
    return PATIENCE_S if is_short else TAKEOVER_PATIENCE_S


def _refusal_of(gate: _AccountGate) -> Refusal:
    if gate.refusal is not None:
        return gate.refusal
    shortage = gate.shortage
    if shortage is None:
        return Refusal(kind=ErrorKind.RATE_EXCEEDED, detail="loan used up", retry_after_s=0.01)
    if shortage.is_takeover:
        return _owner_changing("loans of the former owner are running out", shortage.retry_after_s)
    return Refusal(
        kind=ErrorKind.RATE_EXCEEDED,
        detail="the account's rate and burst are used up",
        retry_after_s=shortage.retry_after_s,
    )


def _owner_changing(detail: str, retry_after_s: float = 0.05) -> Refusal:
    return Refusal(
        kind=ErrorKind.OWNER_UNAVAILABLE,
        detail=f"the account's rate can't be checked: {detail}",
        retry_after_s=retry_after_s,
    )
