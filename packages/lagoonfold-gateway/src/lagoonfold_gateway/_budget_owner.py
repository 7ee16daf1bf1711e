"""Owner side of program budgets: admits turns and grants their credit.

Reads `live`. Any instance that receives a turn request can own the program, because the program's
record in the store keeps owners unaware of each other from using the same tokens (see
`lagoonfold.budgets`). Only one instance may ever grant credit for a program before its first
charge: its first initial member (see `lagoonfold.liveness.InitialMembers`), as long as the process
of the system's first start runs there and the requesting instance knows the same initial members.
It does so once (see `lagoonfold.budgets.FirstGrants`).

An owner removes a record once the program's retention is over since its own last turn. Another one
may serve the program meanwhile from credit that it has left, without a charge. So each owner looks
the record of a program that it serves up within `CHECK_SHARE` of the retention, learns what others
have charged, and tells the one that wrote the record last that the program is in use.
"""

import itertools
from dataclasses import dataclass

import trio
from result import Err

from lagoonfold import ABSENT_REVISION, Check, Entry, StoreErrorKind, TransactionalStore
from lagoonfold.budgets import FirstGrants, ProgramLedger
from lagoonfold_gateway._background import TaskStarter
from lagoonfold_gateway._board import GatewayBoard, LiveView
from lagoonfold_gateway._charges import (
    BUDGET_PREFIX,
    LEDGER_SEPARATOR,
    MAX_RECORDS_PER_COMMIT,
    ChargeWriter,
)
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._member_controller import MemberController
from lagoonfold_gateway._messages import (
    Ack,
    BudgetExhausted,
    Message,
    OwnerRedirect,
    OwnerUnavailable,
    TurnCredit,
    TurnCreditRequest,
    TurnEnd,
    TurnRequest,
)
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_io.observe import EventLog

MIN_CREDIT_SHARE = 0.2  # of a turn's max_tokens; usual turns produce about as much
SETTLE_WAIT_S = 0.1  # a turn's end is reported to the owner some ms after its caller has it
SETTLE_POLL_S = 0.005  # a few polls within the usual delay of that report
MAX_CHARGES_PER_REQUEST = 3  # owners that change each other's record settle after one round
CHECK_SHARE = 0.5  # of the retention; with a sweep it is over before another owner removes
TELL_TIMEOUT_S = 0.5  # an owner answers from memory; one that does not is told again
SWEEP_INTERVAL_S = 5.0  # between searches for programs whose retention is over

_STOPPING = OwnerUnavailable(reason="the owner stops")

_log = EventLog("budgets")


@dataclass(slots=True)
class _OwnedProgram:
    ledger: ProgramLedger
    lock: trio.Lock
    retention_s: float
    used_s: float
    checked_s: float
    looked_up_revision: int | None = None

    def must_check(self, now_s: float) -> bool:
        """Return whether the program was used here since its record was last looked up."""
        is_due = now_s - self.checked_s >= CHECK_SHARE * self.retention_s
        return is_due and self.used_s >= self.checked_s


class BudgetOwner:
    """Holds the ledgers of this instance's programs and handles the messages about their turns."""

    def __init__(
        self,
        board: GatewayBoard,
        bus: PeerBus,
        store: TransactionalStore,
        members: MemberController,
        nursery: TaskStarter,
        *,
        is_first_start: bool,
    ) -> None:
        self._members = members
        self._nursery = nursery
        self._bus = bus
        self._store = store
        self._is_first_start = is_first_start
        self._owned_by_program: dict[str, _OwnedProgram] = {}
        self._first_grants = FirstGrants()
        self._live_ids: frozenset[str] = frozenset()
        self._ledger_numbers = itertools.count(1)
        self._is_released = False
        self.writer = ChargeWriter(store, members.writer_id)
        bus.register_handler(TurnRequest)(self._handle_turn_request)
        bus.register_handler(TurnCreditRequest)(self._handle_credit_request)
        bus.register_handler(TurnEnd)(self._handle_turn_end)
        board.live.subscribe(self._settle_turns_of_lost_instances)

    async def release_unused(self) -> None:
        """Lower the charge of each program to what it has used, at a planned stop."""
        self._is_released = True
        async with trio.open_nursery() as nursery:
            for program, owned in self._owned_by_program.items():
                charged_total = owned.ledger.minimum_charge()
                if charged_total < owned.ledger.charged:
                    nursery.start_soon(self.writer.release, program, owned.ledger, charged_total)

    async def sweep(self) -> None:
        """Remove the records of programs whose retention is over, until cancelled."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            now = now_s()
            due = [
                (program, owned)
                for program, owned in self._owned_by_program.items()
                if not owned.ledger.running_turns and now - owned.used_s > owned.retention_s
            ][:MAX_RECORDS_PER_COMMIT]
            await self._remove(due)
            await self._check_in_use()
            await self._forget_first_grants()

    async def _check_in_use(self) -> None:
        """Look up the records of programs that are in use here."""
        now = now_s()
        due = [
            program for program, owned in self._owned_by_program.items() if owned.must_check(now)
        ]
        for start in range(0, len(due), MAX_RECORDS_PER_COMMIT):
            await self._check_records(due[start : start + MAX_RECORDS_PER_COMMIT])

    async def _check_records(self, programs: list[str]) -> None:
        """Learn what other owners have charged, and tell them that the programs are in use."""
        owned_by_program = {
            program: owned
            for program in programs
            if (owned := self._owned_by_program.get(program)) and owned.must_check(now_s())
        }
        before_s_by_program = {each: owned.checked_s for each, owned in owned_by_program.items()}
        for owned in owned_by_program.values():
            owned.checked_s = now_s()
        entry_by_program = await self._find_records(list(owned_by_program))
        async with trio.open_nursery() as nursery:
            for program, owned in owned_by_program.items():
                entry = entry_by_program.get(program) if entry_by_program is not None else None
                if entry_by_program is None:
                    owned.checked_s = before_s_by_program[program]
                elif entry is not None:
                    nursery.start_soon(
                        self._share_use, program, owned, entry, before_s_by_program[program]
                    )

    async def _share_use(
        self, program: str, owned: _OwnedProgram, entry: Entry, before_s: float
    ) -> None:
        """Update a ledger from its record, and tell the owner that wrote it last of the use."""
        keeper = self.writer.keeper_of(entry)
        if not keeper:
            return
        async with owned.lock:
            if owned.ledger.revision is None or owned.ledger.revision < entry.revision:
                self.writer.sync(program, owned.ledger, entry)
                owned.looked_up_revision = entry.revision
        instance = self._members.live_instance_of_writer(keeper)
        if instance is None:
            return
        end = TurnEnd(program=program, turn_id="", delivered_tokens=0)
        told = await self._bus.call(instance, end, timeout_s=TELL_TIMEOUT_S)
        if isinstance(told, Err):
            owned.checked_s = before_s
            _log.warning("budget.use_not_told", program=program, owner=instance)

    async def _forget_first_grants(self) -> None:
        """Forget the first credit of programs that no other owner uses: they have no record."""
        due = self._first_grants.due(
            now_s=now_s(), at_most=MAX_RECORDS_PER_COMMIT, in_use=self._owned_by_program
        )
        entry_by_program = await self._find_records(due)
        if entry_by_program is None:
            return
        for program in due:
            if program in entry_by_program:
                self._first_grants.keep(program, now_s=now_s())
            else:
                self._first_grants.forget(program)

    async def _find_records(self, programs: list[str]) -> dict[str, Entry] | None:
        """Return the records that programs have, None if the store does not answer."""
        if not programs:
            return {}
        checks = tuple(
            Check(key=BUDGET_PREFIX + each, revision=ABSENT_REVISION) for each in programs
        )
        checked = await self._store.commit(checks=checks)
        if isinstance(checked, Err):
            _log.warning("budget.not_checked", count=len(checks), reason=checked.err_value.detail)
            return None
        entries = checked.ok_value.conflicting if checked.ok_value.revision is None else ()
        entry_by_key = {each.key: each for each in entries if each.revision != ABSENT_REVISION}
        return {
            program: entry_by_key[BUDGET_PREFIX + program]
            for program in programs
            if BUDGET_PREFIX + program in entry_by_key
        }

    async def _remove(self, due: list[tuple[str, _OwnedProgram]]) -> None:
        """Remove the programs' records, but those of other owners are only forgotten."""
        recorded = [
            (program, owned.ledger.revision) for program, owned in due if self._may_remove(owned)
        ]
        checks = tuple(
            Check(key=BUDGET_PREFIX + program, revision=revision)
            for program, revision in recorded
            if revision
        )
        if checks:
            keys = tuple(check.key for check in checks)
            removed = await self._store.commit(checks=checks, deletes=keys)
            if isinstance(removed, Err):
                _log.warning("budget.not_removed", count=len(keys), reason=removed.err_value.detail)
                return
            if removed.ok_value.revision is None:
                self._forget_changed(checks, removed.ok_value.conflicting)
                unchanged = [each for each in due if each[0] in self._owned_by_program]
                if len(unchanged) < len(due):
                    await self._remove(unchanged)
                return
        for program, _ in due:
            self._owned_by_program.pop(program, None)

    def _may_remove(self, owned: _OwnedProgram) -> bool:
        """Return whether the record is this owner's: others remove the one that they wrote last.

        That of a lost owner is the one's that has taken the program over.
        """
        process = owned.ledger.last_writer.partition(LEDGER_SEPARATOR)[0]
        is_own = not process or process == self._members.writer_id
        was_looked_up = owned.ledger.revision == owned.looked_up_revision
        is_lost = self._members.live_instance_of_writer(process) is None
        return is_own or (is_lost and not was_looked_up)

    def _forget_changed(self, checks: tuple[Check, ...], entries: tuple[Entry, ...]) -> None:
        """Forget the programs whose records another owner has changed."""
        revision_by_key = {entry.key: entry.revision for entry in entries}
        for check in checks:
            if revision_by_key.get(check.key) != check.revision:
                self._owned_by_program.pop(check.key[len(BUDGET_PREFIX) :], None)

    async def _handle_turn_request(self, request: Message) -> Message:
        assert isinstance(request, TurnRequest)
        if self._is_released:
            return _STOPPING
        owned = self._owned_by_program.get(request.program) or self._own(request)
        owned.used_s = now_s()
        ledger = owned.ledger
        if owned.must_check(now_s()):
            self._nursery.start_soon(self._check_records, [request.program])
        if ledger.revision is None and not ledger.has_unspent_first_credit:
            failed = await self._take_over(request, owned)
            if failed is not None:
                return failed
        was_running = ledger.is_running(request.turn_id)
        if not await self._admit(request, ledger):
            _log.info(
                "budget.spent",
                program=request.program,
                spent=ledger.spent,
                by_others=ledger.spent_by_others,
                running=ledger.running_turns,
                most=request.max_tokens,
                budget=ledger.budget,
            )
            return BudgetExhausted(spent=ledger.spent, budget=ledger.budget)
        if self._is_released:
            ledger.finish_turn(request.turn_id, delivered_tokens=0)
            return _STOPPING
        credit = ledger.raise_credit(request.turn_id)
        if ledger.is_running_low(request.max_tokens):
            self._nursery.start_soon(self._charge_ahead, request, owned)
        has_too_little = credit < MIN_CREDIT_SHARE * request.max_tokens
        if has_too_little and self.writer.is_store_away and not was_running:
            ledger.finish_turn(request.turn_id, delivered_tokens=0)
            return OwnerUnavailable(reason="no credit is left and the store does not answer")
        return TurnCredit(credit=credit)

    def _own(self, request: TurnRequest) -> _OwnedProgram:
        """Begin to own a program."""
        uncharged_credit = request.max_tokens if self._may_grant_first(request) else 0
        ledger = ProgramLedger(
            budget=request.budget,
            uncharged_credit=uncharged_credit,
            number=next(self._ledger_numbers),
        )
        owned = _OwnedProgram(
            ledger, trio.Lock(), request.retention_s, used_s=now_s(), checked_s=now_s()
        )
        self._owned_by_program[request.program] = owned
        if uncharged_credit:
            self._first_grants.record(
                request.program, retention_s=request.retention_s, now_s=now_s()
            )
        else:
            _log.info("budget.taken_over", program=request.program, budget=request.budget)
        return owned

    async def _charge_ahead(self, request: TurnRequest, owned: _OwnedProgram) -> None:
        """Charge a program for its next turn, unless a charge is being made already."""
        is_current = self._owned_by_program.get(request.program) is owned
        if not is_current or owned.lock.locked() or self._is_released:
            return
        async with owned.lock:
            charged_total = owned.ledger.required_charge(request.max_tokens)
            charged = await self.writer.charge(request.program, owned.ledger, charged_total)
        if isinstance(charged, Err):
            reason = charged.err_value.detail
            _log.info("budget.not_charged_ahead", program=request.program, reason=reason)

    async def _admit(self, request: TurnRequest, ledger: ProgramLedger) -> bool:
        """Admit a turn; wait up to `SETTLE_WAIT_S` if only running turns prevent it."""
        until_s = now_s() + SETTLE_WAIT_S
        while not ledger.admit(
            request.turn_id, max_tokens=request.max_tokens, instance_id=request.instance_id
        ):
            if not ledger.fits_without_running(request.max_tokens) or now_s() > until_s:
                return False
            await trio.sleep(SETTLE_POLL_S)
        return True

    async def _take_over(
        self, request: TurnRequest, owned: _OwnedProgram
    ) -> OwnerUnavailable | OwnerRedirect | None:
        """Charge a program as its new owner; return the answer to send if that is not possible."""
        ledger = owned.ledger
        reason = "record keeps changing"
        async with owned.lock:
            if ledger.revision is not None:
                return None
            for _ in range(MAX_CHARGES_PER_REQUEST):
                charged_total = ledger.required_charge(request.max_tokens)
                charged = await self.writer.charge(request.program, ledger, charged_total)
                if isinstance(charged, Err):
                    reason = charged.err_value.detail
                    if charged.err_value.kind is StoreErrorKind.LOST_ANSWER:
                        # The next charge shows whether this one was written.
                        continue
                    return OwnerUnavailable(reason=reason)
                if charged.ok_value:
                    return None
                process = ledger.last_writer.partition(LEDGER_SEPARATOR)[0]
                owner = self._members.live_instance_of_writer(process)
                if owner is not None and owner not in request.unavailable_owners:
                    self._owned_by_program.pop(request.program, None)
                    return OwnerRedirect(instance=owner)
                if ledger.required_charge(request.max_tokens) <= ledger.charged:
                    return None
        return OwnerUnavailable(reason=reason)

    async def _handle_credit_request(self, request: Message) -> Message:
        assert isinstance(request, TurnCreditRequest)
        if self._is_released:
            return _STOPPING
        owned = self._owned_by_program.get(request.program)
        if owned is None or not owned.ledger.is_running(request.turn_id):
            return OwnerUnavailable(reason="turn is not known here")
        ledger = owned.ledger
        before = ledger.credit(request.turn_id)
        async with owned.lock:
            for _ in range(MAX_CHARGES_PER_REQUEST):
                if not ledger.is_running(request.turn_id):
                    return OwnerUnavailable(reason="turn has ended")
                if self._is_released:
                    return _STOPPING
                credit = ledger.raise_credit(request.turn_id)
                charged_total = ledger.required_charge(request.max_tokens)
                if credit > before or (
                    ledger.revision is not None and charged_total <= ledger.charged
                ):
                    break
                charged = await self.writer.charge(request.program, ledger, charged_total)
                if isinstance(charged, Err):
                    return OwnerUnavailable(reason=charged.err_value.detail)
        return TurnCredit(
            credit=ledger.raise_credit(request.turn_id) if credit <= before else credit
        )

    def _handle_turn_end(self, end: Message) -> Message:
        assert isinstance(end, TurnEnd)
        owned = self._owned_by_program.get(end.program)
        if owned is not None:
            owned.used_s = now_s()
            owned.ledger.finish_turn(end.turn_id, delivered_tokens=end.delivered_tokens)
        return Ack()

    def _may_grant_first(self, request: TurnRequest) -> bool:
        """Return whether this instance alone may grant credit before a charge, and has not yet."""
        digest = self._members.initial_members.digest
        return (
            self._is_first_start
            and request.program not in self._first_grants
            and digest != ""
            and request.initial_members == (digest,)
            and self._members.initial_owner(request.program) == self._members.instance_id
        )

    def _settle_turns_of_lost_instances(self, view: LiveView) -> None:
        """End the turns of lost instances, counting `max_tokens` as delivered for each."""
        for instance_id in self._live_ids - set(view.ids):
            for owned in self._owned_by_program.values():
                owned.ledger.finish_turns_of(instance_id)
        self._live_ids = frozenset(view.ids)
