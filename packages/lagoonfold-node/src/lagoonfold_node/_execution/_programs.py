"""Handle the operations that make no call: create, end, cancel and read programs."""

import time

import msgspec
from result import Err

from lagoonfold import AccountId, ProgramId, Refusal
from lagoonfold.records import CreateRequest, EndReason, Program, ProgramLimits, Record, Turn
from lagoonfold_node._execution._operations import (
    CreateProgram,
    EndProgram,
    ReadHistory,
    ReadProgram,
    handles_operation,
)
from lagoonfold_node._execution._protocols import ExecutionShard
from lagoonfold_node._execution._sink import JSON_TYPE, Sink, send_complete

CREATED = 201
OK = 200


@handles_operation(CreateProgram)
async def create(
    executor, shard: ExecutionShard, operation: CreateProgram, sink: Sink
) -> Refusal | None:
    """Create a program; a repeat under the same id succeeds without creating another."""
    request = CreateRequest(
        program_id=ProgramId(operation.program_id),
        account_id=AccountId(operation.account_id),
        profile=operation.profile,
        limits=ProgramLimits(
            operation.tokens, operation.calls, operation.cost_micros, operation.wall_s
        ),
        parent_id=ProgramId(operation.parent_id) if operation.parent_id else None,
    )
    decided = shard.state.decide_create(request, time.time())
    if isinstance(decided, Err):
        return decided.err_value
    committed = await shard.commit(decided.ok_value)
    if isinstance(committed, Err):
        return committed.err_value
    body = msgspec.json.encode({"program_id": operation.program_id})
    await send_complete(sink, CREATED, JSON_TYPE, body)
    return None


@handles_operation(EndProgram)
async def end(executor, shard: ExecutionShard, operation: EndProgram, sink: Sink) -> Refusal | None:
    """End or cancel a program with its descendants; a repeat has no further effect."""
    program_id = ProgramId(operation.program_id)
    reason = EndReason.CANCELLED if operation.is_cancelled else EndReason.ENDED
    decided = shard.state.decide_end(
        program_id, AccountId(operation.account_id), reason, time.time()
    )
    if isinstance(decided, Err):
        return decided.err_value
    wait_durable = shard.submit(decided.ok_value)
    _release_ended_programs(executor, shard, operation, decided.ok_value)
    committed = await wait_durable()
    if isinstance(committed, Err):
        return committed.err_value
    program = shard.state.programs_by_id.get(program_id)
    await send_complete(sink, OK, JSON_TYPE, _describe(program, operation.program_id))
    return None


def _release_ended_programs(
    executor, shard: ExecutionShard, operation: EndProgram, records: tuple[Record, ...]
) -> None:
    """Release the resources of ended programs.

    This is done before the records are durable, since the commit may be refused while they may
    still become durable.
    """
    for record in records:
        program = shard.state.programs_by_id.get(ProgramId(record.program_id))
        if program is not None and program.end_reason is not None:
            executor.release_program(ProgramId(record.program_id), shard, operation.is_cancelled)


@handles_operation(ReadProgram)
async def read(
    executor, shard: ExecutionShard, operation: ReadProgram, sink: Sink
) -> Refusal | None:
    """Send a program's state and budget."""
    found = shard.state.find(ProgramId(operation.program_id), AccountId(operation.account_id))
    if isinstance(found, Err):
        return found.err_value
    await send_complete(sink, OK, JSON_TYPE, _describe(found.ok_value, operation.program_id))
    return None


@handles_operation(ReadHistory)
async def read_history(
    executor, shard: ExecutionShard, operation: ReadHistory, sink: Sink
) -> Refusal | None:
    """Send a program's turns."""
    program_id = ProgramId(operation.program_id)
    found = shard.state.find(program_id, AccountId(operation.account_id))
    if isinstance(found, Err):
        return found.err_value
    history = await shard.read_history(program_id)
    if isinstance(history, Err):
        return history.err_value
    turns = [_describe_turn(turn) for turn in history.ok_value]
    body = msgspec.json.encode({"program_id": program_id, "turns": turns})
    await send_complete(sink, OK, JSON_TYPE, body)
    return None


def _describe(program: Program | None, program_id: str) -> bytes:
    if program is None:
        return msgspec.json.encode({"program_id": program_id, "state": "forgotten"})
    limits, used = program.limits, program.used
    state = program.end_reason.value if program.end_reason is not None else "open"
    budget = {
        "tokens": {"limit": limits.tokens, "used": used.tokens},
        "calls": {"limit": limits.calls, "used": used.calls},
        "cost_micros": {"limit": limits.cost_micros, "used": used.cost_micros},
        "wall_s": {"limit": limits.wall_s, "used": max(0.0, time.time() - program.created_at_s)},
    }
    return msgspec.json.encode(
        {
            "program_id": program.program_id,
            "profile": program.profile,
            "parent": program.parent_id,
            "state": state,
            "next_turn": program.next_turn,
            "is_running": program.running_call is not None,
            "budget": budget,
        }
    )


def _describe_turn(turn: Turn) -> dict:
    return {
        "turn": turn.number,
        "route": turn.route,
        "outcome": turn.outcome.value,
        "status": turn.status,
        "request": _as_json(turn.body),
        "answer": _as_json(turn.answer),
        "tokens": turn.used.tokens,
    }


def _as_json(data: bytes) -> object:
    """Return JSON unparsed, and other content as text."""
    try:
        msgspec.json.decode(data)
        return msgspec.Raw(data)
    except msgspec.DecodeError:
        return data.decode("utf-8", "replace")
