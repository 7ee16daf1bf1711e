"""The replicated state machine of one shard.

The `decide_...` methods return records and change nothing; `apply` changes the state by a record.

    decided = shard.decide_begin(request, now_s)
    if isinstance(decided, Ok) and isinstance(decided.ok_value, Execute):
        await journal.commit(decided.ok_value.records)   # which applies them

Every instance that applies the same records in the same order reaches the same state.
"""

from collections.abc import Iterable, Iterator

from result import Err, Ok, Result

from lagoonfold._errors import ErrorKind, Ran, Refusal
from lagoonfold._ids import AccountId, CallId, ProgramId
from lagoonfold.records._apply import APPLY_BY_TYPE
from lagoonfold.records._call_decisions import (
    CallDecision,
    CallRequest,
    CreateRequest,
    Execute,
    Replay,
    decide_join,
    idempotency_mismatch,
    match_replay,
    refusal_error,
    turn_out_of_order,
)
from lagoonfold.records._costs import NO_COST, Cost
from lagoonfold.records._programs import Program
from lagoonfold.records._record_types import (
    CallBegun,
    CallInterrupted,
    CallSettled,
    EndReason,
    ProgramCreated,
    ProgramDeleted,
    ProgramEnded,
    Record,
)

MAX_CONTENT_BYTES = 400_000


class ProgramShard:
    """Hold all programs of one shard, and decide requests about them."""

    def __init__(self) -> None:
        self.programs_by_id: dict[ProgramId, Program] = {}

    def find(self, program_id: ProgramId, account_id: AccountId) -> Result[Program, Refusal]:
        """Return a program of the account; a program of another account is `NOT_FOUND`."""
        program = self.programs_by_id.get(program_id)
        if program is None or program.account_id != account_id:
            return refusal_error(ErrorKind.NOT_FOUND, f"no program {program_id}")
        return Ok(program)

    def running_calls(self) -> tuple[CallBegun, ...]:
        """Return the calls that are running."""
        programs = self.programs_by_id.values()
        return tuple(
            program.running_call for program in programs if program.running_call is not None
        )

    def decide_create(
        self, request: CreateRequest, now_s: float
    ) -> Result[tuple[Record, ...], Refusal]:
        """Return the records that create a program, none if the account already has it."""
        existing = self.programs_by_id.get(request.program_id)
        if existing is not None:
            return self.find(request.program_id, request.account_id).map(lambda _: ())
        if request.parent_id is not None:
            parent = self.find(request.parent_id, request.account_id)
            if isinstance(parent, Err):
                return parent
            refusal = self._check_may_run(parent.ok_value, NO_COST, now_s)
            if refusal is not None:
                return Err(refusal)
        created = ProgramCreated(
            request.program_id,
            request.account_id,
            request.profile,
            request.parent_id or "",
            request.limits,
            now_s,
        )
        return Ok((created,))

    def decide_begin(
        self, request: CallRequest, now_s: float, *, run_id: str = ""
    ) -> Result[CallDecision, Refusal]:
        """Decide whether to replay a call's recorded answer, join it, execute it, or refuse it."""
        found = self.find(request.program_id, request.account_id)
        if isinstance(found, Err):
            return found
        program = found.ok_value
        turn_of_key = program.turns_by_key.get(request.idempotency_key, request.turn)
        if turn_of_key != request.turn:
            return idempotency_mismatch(f"the idempotency key belongs to turn {turn_of_key}")
        if 0 < request.turn < program.next_turn:
            return self._decide_replay(program, request)
        if program.running_call is not None:
            return decide_join(program.running_call, request)
        if request.turn != program.next_turn:
            return turn_out_of_order(f"the next turn is {program.next_turn}")
        return self._decide_execute(program, request, now_s, run_id)

    def decide_settle(self, settled: CallSettled) -> Result[tuple[Record, ...], Refusal]:
        """Return the records that settle a running call, none if it has settled in the same way."""
        program = self.programs_by_id.get(ProgramId(settled.program_id))
        if program is None:
            return refusal_error(ErrorKind.NOT_FOUND, f"no program {settled.program_id}")
        if program.is_running(CallId(settled.call_id)):
            return Ok((settled,))
        for turn in reversed(program.recent_turns):
            if turn.call_id == settled.call_id and turn.outcome is settled.outcome:
                return Ok(())
        detail = f"call {settled.call_id} is no longer under way"
        return refusal_error(ErrorKind.OUTCOME_UNKNOWN, detail, ran=Ran.UNKNOWN)

    def decide_end(
        self, program_id: ProgramId, account_id: AccountId, reason: EndReason, now_s: float
    ) -> Result[tuple[Record, ...], Refusal]:
        """Return the records that end a program and all its descendants."""
        found = self.find(program_id, account_id)
        if isinstance(found, Err):
            return found
        return Ok(tuple(self._end_records(found.ok_value, reason, now_s)))

    def decide_cancel(
        self, program_id: ProgramId, account_id: AccountId, now_s: float
    ) -> Result[tuple[Record, ...], Refusal]:
        """Return the records that cancel a program and all its descendants."""
        return self.decide_end(program_id, account_id, EndReason.CANCELLED, now_s)

    def decide_expire(self, now_s: float, ended_retention_s: float) -> tuple[Record, ...]:
        """Return the records that end programs past `wall_s`, and delete those past retention."""
        records: list[Record] = []
        for program in self.programs_by_id.values():
            if program.end_reason is None and now_s >= program.created_at_s + program.limits.wall_s:
                records.extend(self._end_records(program, EndReason.EXPIRED, now_s))
            elif self._is_deletable(program, now_s - ended_retention_s):
                records.append(ProgramDeleted(program.program_id))
        return tuple(records)

    def decide_interrupt(self, live_run_ids: Iterable[str]) -> tuple[Record, ...]:
        """Return the records that interrupt the calls of processes not in `live_run_ids`."""
        live = frozenset(live_run_ids)
        return tuple(
            CallInterrupted(call.program_id, call.call_id)
            for call in self.running_calls()
            if call.run_id not in live
        )

    def apply(self, record: Record) -> None:
        """Change the state by one record."""
        APPLY_BY_TYPE[type(record)](self, record)

    def with_ancestors(self, program: Program) -> Iterator[Program]:
        """Yield the program, then its ancestors from its parent upwards."""
        current: Program | None = program
        while current is not None:
            yield current
            current = self.programs_by_id.get(current.parent_id) if current.parent_id else None

    def _decide_replay(
        self, program: Program, request: CallRequest
    ) -> Result[CallDecision, Refusal]:
        recorded = program.recent_turn(request.turn)
        if recorded is not None:
            matched = match_replay(recorded, request)
            if isinstance(matched, Err):
                return matched
        return Ok(Replay(turn=request.turn))

    def _decide_execute(
        self, program: Program, request: CallRequest, now_s: float, run_id: str
    ) -> Result[CallDecision, Refusal]:
        if len(request.body) > MAX_CONTENT_BYTES:
            detail = f"a turn holds at most {MAX_CONTENT_BYTES} bytes"
            return refusal_error(ErrorKind.BODY_TOO_LARGE, detail)
        refusal = self._check_may_run(program, request.reservation, now_s)
        if refusal is not None:
            return Err(refusal)
        begun = CallBegun(
            request.program_id,
            request.call_id,
            request.turn,
            request.route,
            request.is_idempotent,
            request.idempotency_key,
            request.content_digest,
            request.body,
            request.reservation,
            run_id,
        )
        return Ok(
            Execute(
                call_id=request.call_id, records=(begun,), commit_first=not request.is_idempotent
            )
        )

    def _check_may_run(self, program: Program, reservation: Cost, now_s: float) -> Refusal | None:
        """Return a refusal if the program or an ancestor has ended or exhausts its budget."""
        for checked in self.with_ancestors(program):
            if checked.end_reason is not None:
                detail = f"program {checked.program_id} is {checked.end_reason.value}"
                return Refusal(kind=ErrorKind.PROGRAM_ENDED, detail=detail)
            exceeded = checked.limits.exceeded_by(checked.used + checked.reserved + reservation)
            if now_s >= checked.created_at_s + checked.limits.wall_s:
                exceeded = "wall_s"
            if exceeded is not None:
                detail = f"program {checked.program_id}: the limit of {exceeded} is reached"
                return Refusal(kind=ErrorKind.BUDGET_EXHAUSTED, detail=detail)
        return None

    def _end_records(self, program: Program, reason: EndReason, now_s: float) -> Iterator[Record]:
        for child_id in program.child_ids:
            child = self.programs_by_id.get(child_id)
            if child is not None:
                yield from self._end_records(child, reason, now_s)
        if program.end_reason is None:
            yield ProgramEnded(program.program_id, reason, now_s)

    def _is_deletable(self, program: Program, ended_before_s: float) -> bool:
        """Return whether a program ended by then and has no child program and no running call."""
        if program.end_reason is None or program.running_call is not None or program.child_ids:
            return False
        return program.ended_at_s <= ended_before_s
