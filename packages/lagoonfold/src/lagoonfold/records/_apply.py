"""The functions that apply each type of record to the state of a shard."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeVar

from lagoonfold._ids import AccountId, CallId, ProgramId
from lagoonfold.records._costs import NO_COST, Cost
from lagoonfold.records._programs import Program
from lagoonfold.records._record_types import (
    AnswerPart,
    CallBegun,
    CallInterrupted,
    CallSettled,
    EpochStarted,
    ProgramCreated,
    ProgramDeleted,
    ProgramEnded,
    ShardReleased,
)
from lagoonfold.records._turns import (
    CallOutcome,
    Turn,
    extend_history_digest,
    initial_history_digest,
)

if TYPE_CHECKING:
    from lagoonfold.records._shard import ProgramShard

F = TypeVar("F", bound=Callable[..., None])
APPLY_BY_TYPE: dict[type, Callable[["ProgramShard", Any], None]] = {}

_OUTCOMES_KEPT_AS_TURNS = (CallOutcome.ANSWERED, CallOutcome.UNKNOWN)


def applies(record_type: type) -> Callable[[F], F]:
    """Register a function as the one that applies records of a type."""

    def register(function: F) -> F:
        APPLY_BY_TYPE[record_type] = function
        return function

    return register


@applies(ProgramCreated)
def _create(shard: "ProgramShard", record: ProgramCreated) -> None:
    program_id = ProgramId(record.program_id)
    if program_id in shard.programs_by_id:
        return
    parent_id = ProgramId(record.parent_id) if record.parent_id else None
    shard.programs_by_id[program_id] = Program(
        program_id=program_id,
        account_id=AccountId(record.account_id),
        profile=record.profile,
        parent_id=parent_id,
        limits=record.limits,
        created_at_s=record.created_at_s,
        history_digest=initial_history_digest(program_id),
    )
    if parent_id is not None and parent_id in shard.programs_by_id:
        shard.programs_by_id[parent_id].child_ids.append(program_id)


@applies(CallBegun)
def _begin(shard: "ProgramShard", record: CallBegun) -> None:
    program = shard.programs_by_id[ProgramId(record.program_id)]
    program.running_call = record
    for affected in shard.with_ancestors(program):
        affected.reserved = affected.reserved + record.reservation


@applies(AnswerPart)
def _add_answer_part(shard: "ProgramShard", record: AnswerPart) -> None:
    program = shard.programs_by_id.get(ProgramId(record.program_id))
    if program is None or not program.is_running(CallId(record.call_id)):
        return
    del program.answer_parts[record.index :]
    program.answer_parts.append(record.data)


@applies(CallSettled)
def _settle(shard: "ProgramShard", record: CallSettled) -> None:
    program = shard.programs_by_id.get(ProgramId(record.program_id))
    if program is None or not program.is_running(CallId(record.call_id)):
        return
    begun = program.running_call
    answer = b"".join((*program.answer_parts, record.answer))
    _release_reservation(shard, program, record.used)
    if record.outcome in _OUTCOMES_KEPT_AS_TURNS:
        _append_turn(program, _build_turn(begun, record, answer))


@applies(CallInterrupted)
def _interrupt(shard: "ProgramShard", record: CallInterrupted) -> None:
    program = shard.programs_by_id.get(ProgramId(record.program_id))
    if program is None or not program.is_running(CallId(record.call_id)):
        return
    begun = program.running_call
    _release_reservation(shard, program, begun.reservation)
    if not begun.is_idempotent:
        lost = CallSettled(
            record.program_id, record.call_id, CallOutcome.UNKNOWN, 0, "", b"", begun.reservation
        )
        _append_turn(program, _build_turn(begun, lost, b""))


@applies(ProgramEnded)
def _end(shard: "ProgramShard", record: ProgramEnded) -> None:
    program = shard.programs_by_id.get(ProgramId(record.program_id))
    if program is not None and program.end_reason is None:
        program.end_reason = record.reason
        program.ended_at_s = record.ended_at_s


@applies(ProgramDeleted)
def _delete(shard: "ProgramShard", record: ProgramDeleted) -> None:
    program = shard.programs_by_id.pop(ProgramId(record.program_id), None)
    if program is None or program.parent_id is None:
        return
    parent = shard.programs_by_id.get(program.parent_id)
    if parent is not None:
        parent.child_ids.remove(program.program_id)


@applies(EpochStarted)
def _start_epoch(shard: "ProgramShard", record: EpochStarted) -> None:
    for interrupted in shard.decide_interrupt(record.live_run_ids):
        shard.apply(interrupted)


@applies(ShardReleased)
def _release_shard(shard: "ProgramShard", record: ShardReleased) -> None:
    """Change nothing: running calls continue, and settle at the next owner."""


def _release_reservation(shard: "ProgramShard", program: Program, used: Cost) -> None:
    """Replace the reservation of the running call with what it used, and clear the call."""
    reservation = program.running_call.reservation if program.running_call is not None else NO_COST
    for affected in shard.with_ancestors(program):
        affected.reserved = affected.reserved - reservation
        affected.used = affected.used + used
    program.running_call = None
    program.answer_parts.clear()


def _build_turn(begun: CallBegun, settled: CallSettled, answer: bytes) -> Turn:
    return Turn(
        begun.turn,
        begun.call_id,
        begun.route,
        begun.is_idempotent,
        begun.idempotency_key,
        begun.content_digest,
        begun.body,
        settled.outcome,
        settled.status,
        settled.content_type,
        answer,
        settled.used,
    )


def _append_turn(program: Program, turn: Turn) -> None:
    program.recent_turns.append(turn)
    program.history_digest = extend_history_digest(program.history_digest, turn)
    program.next_turn = turn.number + 1
    if turn.idempotency_key:
        program.turns_by_key[turn.idempotency_key] = turn.number
