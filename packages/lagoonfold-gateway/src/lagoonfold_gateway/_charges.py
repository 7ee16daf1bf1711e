"""Writes the charges of program budgets to the store, many in one transaction.

One transaction is in flight at a time; charges that arrive meanwhile go into the next one. If
another owner has changed a program's record, the ledger is updated from the record and the caller
may charge again. While the store does not answer, charges fail after a short wait, so that turns
are refused at once instead of being held; what is written later still counts.
"""

import time
from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec
import trio
from result import Err, Ok, Result

from lagoonfold import (
    ABSENT_REVISION,
    MAX_ENTRIES_PER_COMMIT,
    Check,
    CommitResult,
    Entry,
    Put,
    StoreError,
    StoreErrorKind,
    TransactionalStore,
    decode_json,
)
from lagoonfold.budgets import BudgetRecord, ProgramLedger
from lagoonfold_gateway._clock import now_s
from lagoonfold_io.observe import EventLog

FIRST_PAUSE_S = 0.05  # after two failed calls in a row; doubles with each further failure
MAX_PAUSE_S = 0.5  # bounds the time until the store's recovery is noticed
MAX_DOUBLINGS = 8  # bounds the exponent; FIRST_PAUSE_S * 2**8 is far above MAX_PAUSE_S
MAX_CHARGE_WAIT_S = 0.6  # twice the time of an answer of a slow store
MAX_CHARGE_WAIT_AFTER_FAILURE_S = 0.3  # the time of an answer of a slow store
MAX_RECORDS_PER_COMMIT = MAX_ENTRIES_PER_COMMIT // 2  # each record has a check and a write
LEDGER_SEPARATOR = "#"  # in a record's writer, between the process and the number of its ledger
BUDGET_PREFIX = "lagoonfold/budgets/"

_NOT_ANSWERED = StoreError(
    kind=StoreErrorKind.UNAVAILABLE, detail="the store has not answered a charge in time"
)

_log = EventLog("budgets")


@dataclass(slots=True)
class _Charge:
    """A charge up to a total that was computed from the record of `base_revision`."""

    program: str
    ledger: ProgramLedger
    charged_total: int
    base_revision: int | None
    done: trio.Event = field(default_factory=trio.Event)
    outcome: Result[bool, StoreError] = Ok(False)
    merged: list["_Charge"] = field(default_factory=list)

    def finish(self, outcome: Result[bool, StoreError]) -> None:
        """Set the outcome of this charge and of those merged into it."""
        self.outcome = outcome
        self.done.set()
        for charge in self.merged:
            charge.finish(outcome)

    @property
    def is_outdated(self) -> bool:
        """Return whether the ledger has changed since the total was computed."""
        return self.ledger.revision != self.base_revision


class ChargeWriter:
    """Queues charges of programs; `run` writes them to the store."""

    def __init__(self, store: TransactionalStore, writer_id: str) -> None:
        self._store = store
        self._writer_id = writer_id
        self._waiting_by_program: OrderedDict[str, _Charge] = OrderedDict()
        self._wake = trio.Event()
        self._failures = 0
        self._retry_s = 0.0
        self._last_error: StoreError | None = None
        self._asked_s: float | None = None

    async def charge(
        self, program: str, ledger: ProgramLedger, charged_total: int
    ) -> Result[bool, StoreError]:
        """Charge a program up to a total; return False if its record has changed meanwhile.

        Another owner may have changed it, or an earlier charge that its caller did not wait for.
        The ledger is updated in both cases, but not if the store fails or does not answer in time.
        A total that is charged already changes nothing.
        """
        if ledger.revision is not None and charged_total <= ledger.charged:
            return Ok(True)
        return await self._write(program, ledger, charged_total)

    async def release(
        self, program: str, ledger: ProgramLedger, charged_total: int
    ) -> Result[bool, StoreError]:
        """Lower the charge of a program to a total; its owner must grant no credit meanwhile."""
        return await self._write(program, ledger, charged_total)

    async def _write(
        self, program: str, ledger: ProgramLedger, charged_total: int
    ) -> Result[bool, StoreError]:
        """Queue the write of a total and wait for it, for as long as the store may take."""
        charge = self._waiting_by_program.get(program)
        if charge is not None and (charge.ledger is not ledger or charge.is_outdated):
            charge.finish(Ok(False))
            charge = None
        if charge is None:
            charge = _Charge(program, ledger, charged_total, ledger.revision)
            self._waiting_by_program[program] = charge
        charge.charged_total = max(charge.charged_total, charged_total)
        self._wake.set()
        with trio.move_on_after(self._max_wait_s()):
            await charge.done.wait()
        return charge.outcome if charge.done.is_set() else Err(_NOT_ANSWERED)

    @property
    def is_store_away(self) -> bool:
        """Return whether the store failed last, or has not answered for longer than a slow one."""
        return self._failures > 0 or self._unanswered_s() > MAX_CHARGE_WAIT_AFTER_FAILURE_S

    def _max_wait_s(self) -> float:
        """Return how long a charge may wait: less if the store already fails to answer."""
        limit_s = MAX_CHARGE_WAIT_AFTER_FAILURE_S if self._failures else MAX_CHARGE_WAIT_S
        return max(0.0, limit_s - self._unanswered_s())

    def _unanswered_s(self) -> float:
        return now_s() - self._asked_s if self._asked_s is not None else 0.0

    async def run(self) -> None:
        """Write queued charges until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._waiting_by_program:
                await self._write_next()

    async def _write_next(self) -> None:
        count = min(MAX_RECORDS_PER_COMMIT, len(self._waiting_by_program))
        taken = [self._waiting_by_program.popitem(last=False)[1] for _ in range(count)]
        self._finish([charge for charge in taken if charge.is_outdated], Ok(False))
        charges = [charge for charge in taken if not charge.is_outdated]
        if not charges:
            return
        checks = tuple(
            Check(key=BUDGET_PREFIX + charge.program, revision=charge.ledger.revision or 0)
            for charge in charges
        )
        puts = tuple(
            Put(key=BUDGET_PREFIX + charge.program, value=self._encode(charge))
            for charge in charges
        )
        written = await self._commit(checks, puts)
        if isinstance(written, Err):
            _log.warning(
                "budget.not_charged", programs=len(charges), reason=written.err_value.detail
            )
            self._finish(charges, written)
            return
        revision = written.ok_value.revision
        _log.debug("budget.charged", programs=len(charges), revision=revision)
        if revision is not None:
            for charge in charges:
                charge.ledger.confirm_charge(charge.charged_total, revision)
            self._finish(charges, Ok(True))
            return
        self._apply_conflict(charges, written.ok_value.conflicting)

    async def _commit(
        self, checks: tuple[Check, ...], puts: tuple[Put, ...]
    ) -> Result[CommitResult, StoreError]:
        """Commit, unless the store has just failed.

        In that case return the last error at once, so that requesters turn to other owners.
        """
        if now_s() < self._retry_s and self._last_error is not None:
            return Err(self._last_error)
        self._asked_s = now_s()
        written = await self._store.commit(checks=checks, puts=puts)
        self._asked_s = None
        if isinstance(written, Err):
            pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**self._failures) if self._failures else 0.0
            self._failures = min(self._failures + 1, MAX_DOUBLINGS)
            self._retry_s = now_s() + pause_s
            self._last_error = written.err_value
        else:
            self._failures = 0
        return written

    def _apply_conflict(self, charges: list[_Charge], entries: tuple[Entry, ...]) -> None:
        """Update the ledgers of changed records; requeue the charges that had no conflict."""
        entry_by_key = {entry.key: entry for entry in entries}
        for charge in charges:
            entry = entry_by_key.get(BUDGET_PREFIX + charge.program)
            revision = entry.revision if entry is not None else ABSENT_REVISION
            if revision == (charge.ledger.revision or 0):
                self._requeue(charge)
                continue
            self.sync(charge.program, charge.ledger, entry)
            charge.finish(Ok(False))

    def sync(self, program: str, ledger: ProgramLedger, entry: Entry | None) -> None:
        """Update a ledger from the program's entry in the store, None if there is none."""
        record = _decode(entry)
        revision = entry.revision if entry is not None else ABSENT_REVISION
        own_writer = self._writer_of(ledger)
        ledger.sync_with_record(record, revision, own_writer=own_writer)
        _log.info(
            "budget.record_changed",
            program=program,
            revision=revision,
            charged=ledger.charged,
            own=record is not None and record.writer == own_writer,
        )

    def keeper_of(self, entry: Entry) -> str:
        """Return the process that wrote a record last, "" if that was this one."""
        record = _decode(entry)
        process = record.writer.partition(LEDGER_SEPARATOR)[0] if record is not None else ""
        return "" if process == self._writer_id else process

    def _requeue(self, charge: _Charge) -> None:
        """Queue a charge again, merged into a newer one of its program if there is one."""
        newer = self._waiting_by_program.setdefault(charge.program, charge)
        if newer is not charge:
            newer.charged_total = max(newer.charged_total, charge.charged_total)
            newer.merged.append(charge)

    def _encode(self, charge: _Charge) -> bytes:
        record = BudgetRecord(
            writer=self._writer_of(charge.ledger),
            charged=charge.charged_total,
            written_at_s=int(time.time()),
        )
        return msgspec.json.encode(record)

    def _writer_of(self, ledger: ProgramLedger) -> str:
        return f"{self._writer_id}{LEDGER_SEPARATOR}{ledger.number}"

    @staticmethod
    def _finish(charges: list[_Charge], outcome: Result[bool, StoreError]) -> None:
        for charge in charges:
            charge.finish(outcome)


def _decode(entry: Entry | None) -> BudgetRecord | None:
    if entry is None or entry.revision == ABSENT_REVISION:
        return None
    decoded = decode_json(entry.value, BudgetRecord)
    if isinstance(decoded, Ok):
        return decoded.ok_value
    _log.error("budget.record_unreadable", key=entry.key, reason=decoded.err_value)
    return BudgetRecord(writer="", charged=2**62, written_at_s=0)
