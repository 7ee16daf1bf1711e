"""A shard's checkpoint: its state after a prefix of the journal, with turns moved into segments.

`plan_checkpoint` packs the turns held in memory into segments and encodes the rest of the state in
parts; both are immutable blobs with unique names. The head lists the parts and is written last, by
compare-and-swap. `evict_checkpointed_turns` then drops the packed turns from memory.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from lagoonfold._frames import CHECKPOINT, CHECKPOINT_PART, frame, unframe
from lagoonfold._ids import AccountId, ProgramId, ShardId
from lagoonfold.records._costs import Cost, ProgramLimits
from lagoonfold.records._journal import shard_prefix
from lagoonfold.records._programs import Program, SegmentRef
from lagoonfold.records._record_types import CallBegun, EndReason
from lagoonfold.records._segments import Blob, PackedTurns, blob_name, pack_turns
from lagoonfold.records._shard import ProgramShard

MAX_PART_BYTES = 400_000
MAX_FENCES = 64  # older fence entries are deleted when the journal is trimmed


class CheckpointHead(msgspec.Struct, frozen=True, array_like=True):
    """The value stored under a shard's checkpoint key.

    The checkpoint covers all journal entries before `next_sequence`. `fence_sequences` holds the
    sequence numbers of the latest fence entries, which are kept when the journal is trimmed: a
    former owner's next append must find its key taken by one of them, and so fail.
    """

    epoch: int
    next_sequence: int
    fence_sequences: tuple[int, ...]
    parts: tuple[str, ...]


EMPTY_HEAD = CheckpointHead(0, 1, (), ())


class ProgramState(msgspec.Struct, frozen=True, array_like=True):
    """The stored state of a program; all of its turns are in segments."""

    program_id: str
    account_id: str
    profile: str
    parent_id: str
    limits: ProgramLimits
    created_at_s: float
    history_digest: bytes
    used: Cost
    next_turn: int
    running_call: CallBegun | None
    end_reason: EndReason | None
    ended_at_s: float
    segments: tuple[SegmentRef, ...]
    turns_by_key: dict[str, int]


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckpointPlan:
    """Hold what a checkpoint writes: all values first, then the head."""

    values: tuple[Blob, ...]
    head: CheckpointHead
    packed_by_program: Mapping[ProgramId, PackedTurns]


def checkpoint_key(shard_id: ShardId) -> str:
    """Return the key of a shard's checkpoint."""
    return f"{shard_prefix(shard_id)}checkpoint"


def plan_checkpoint(
    shard: ProgramShard, *, epoch: int, next_sequence: int, fence_sequences: tuple[int, ...]
) -> CheckpointPlan:
    """Return a checkpoint of the current state, which covers the entries before `next_sequence`."""
    values, packed = pack_turns(shard.programs_by_id.values(), next_sequence)
    states = tuple(
        _to_state(program, packed.get(program.program_id))
        for program in shard.programs_by_id.values()
    )
    parts = tuple(
        Blob(name=blob_name(next_sequence, data), data=data) for data in _encode_parts(states)
    )
    head = CheckpointHead(
        epoch, next_sequence, fence_sequences[-MAX_FENCES:], tuple(part.name for part in parts)
    )
    return CheckpointPlan(values=(*values, *parts), head=head, packed_by_program=packed)


def evict_checkpointed_turns(shard: ProgramShard, plan: CheckpointPlan) -> None:
    """Drop the turns that a stored checkpoint packed, and refer to its segments instead."""
    for program_id, packed in plan.packed_by_program.items():
        program = shard.programs_by_id.get(program_id)
        if program is None:
            continue
        program.segments = (*program.segments, *packed.refs)
        program.recent_turns = [
            turn for turn in program.recent_turns if turn.number > packed.last_turn
        ]


def restore_shard(parts: tuple[bytes, ...]) -> Result[ProgramShard, str]:
    """Rebuild a shard from the parts of its checkpoint."""
    shard = ProgramShard()
    for part in parts:
        content = unframe(CHECKPOINT_PART, part)
        if isinstance(content, Err):
            return Err(f"checkpoint part: {content.err_value}")
        try:
            states = _STATES_DECODER.decode(content.ok_value)
        except msgspec.DecodeError as error:
            return Err(f"checkpoint part: {error}")
        for state in states:
            shard.programs_by_id[ProgramId(state.program_id)] = _to_program(state)
    _restore_derived_fields(shard)
    return Ok(shard)


def encode_checkpoint_head(head: CheckpointHead) -> bytes:
    """Return a checkpoint's head as a framed value."""
    return frame(CHECKPOINT, _ENCODER.encode(head))


def decode_checkpoint_head(data: bytes) -> Result[CheckpointHead, str]:
    """Decode a checkpoint's head; an empty value gives `EMPTY_HEAD`, as before any checkpoint."""
    if not data:
        return Ok(EMPTY_HEAD)
    content = unframe(CHECKPOINT, data)
    if isinstance(content, Err):
        return Err(f"checkpoint: {content.err_value}")
    try:
        return Ok(_HEAD_DECODER.decode(content.ok_value))
    except msgspec.DecodeError as error:
        return Err(f"checkpoint: {error}")


def segment_names(shard: ProgramShard) -> frozenset[str]:
    """Return the names of all segments that the shard's programs refer to."""
    return frozenset(
        ref.name for program in shard.programs_by_id.values() for ref in program.segments
    )


_ENCODER = msgspec.msgpack.Encoder()
_HEAD_DECODER = msgspec.msgpack.Decoder(CheckpointHead)
_STATES_DECODER = msgspec.msgpack.Decoder(tuple[ProgramState, ...])


def _encode_parts(states: tuple[ProgramState, ...]) -> list[bytes]:
    """Encode the states in parts of about `MAX_PART_BYTES`; a larger state gets its own part."""
    parts: list[bytes] = []
    batch: list[msgspec.Raw] = []
    size = 0
    for state in states:
        data = _ENCODER.encode(state)
        if batch and size + len(data) > MAX_PART_BYTES:
            parts.append(frame(CHECKPOINT_PART, _ENCODER.encode(batch)))
            batch, size = [], 0
        batch.append(msgspec.Raw(data))
        size += len(data)
    if batch:
        parts.append(frame(CHECKPOINT_PART, _ENCODER.encode(batch)))
    return parts


def _to_state(program: Program, packed: PackedTurns | None) -> ProgramState:
    segments = program.segments if packed is None else (*program.segments, *packed.refs)
    return ProgramState(
        program.program_id,
        program.account_id,
        program.profile,
        program.parent_id or "",
        program.limits,
        program.created_at_s,
        program.history_digest,
        program.used,
        program.next_turn,
        program.running_call,
        program.end_reason,
        program.ended_at_s,
        segments,
        dict(program.turns_by_key),
    )


def _to_program(state: ProgramState) -> Program:
    return Program(
        program_id=ProgramId(state.program_id),
        account_id=AccountId(state.account_id),
        profile=state.profile,
        parent_id=ProgramId(state.parent_id) if state.parent_id else None,
        limits=state.limits,
        created_at_s=state.created_at_s,
        history_digest=state.history_digest,
        used=state.used,
        next_turn=state.next_turn,
        running_call=state.running_call,
        end_reason=state.end_reason,
        ended_at_s=state.ended_at_s,
        segments=state.segments,
        turns_by_key=dict(state.turns_by_key),
    )


def _restore_derived_fields(shard: ProgramShard) -> None:
    """Rebuild what is not stored: child ids, and the reservations of running calls."""
    for program in shard.programs_by_id.values():
        parent = shard.programs_by_id.get(program.parent_id) if program.parent_id else None
        if parent is not None:
            parent.child_ids.append(program.program_id)
        if program.running_call is not None:
            for affected in shard.with_ancestors(program):
                affected.reserved = affected.reserved + program.running_call.reservation
