"""Tests that damage to any byte or bit of journal entries, checkpoints and segments is detected."""

import random
from collections.abc import Callable, Iterator

from result import Err, Ok, Result

from lagoonfold import ProgramId
from lagoonfold.records import (
    CallOutcome,
    CallSettled,
    CheckpointHead,
    Cost,
    CreateRequest,
    JournalEntry,
    ProgramShard,
    check_history,
    decode_checkpoint_head,
    decode_entry,
    decode_records,
    encode_checkpoint_head,
    encode_entry,
    encode_records,
    plan_checkpoint,
    read_turns,
    restore_shard,
    verify_blob,
)
from tests._suite import load_functions
from tests.records._strategies import LIMITS, make_request

PROGRAM = ProgramId("prg-1")
SEED = 11
SETTLED = CallSettled(
    PROGRAM, "call-1", CallOutcome.ANSWERED, 200, "text/plain", b"answer", Cost(1, 1, 1)
)


def _damaged_copies(data: bytes) -> Iterator[bytes]:
    """Yield the data truncated at every byte, with each bit flipped, and with a byte appended."""
    for size in range(1, len(data)):
        yield data[:size]
    for position in range(len(data) * 8):
        changed = bytearray(data)
        changed[position // 8] ^= 1 << (position % 8)
        yield bytes(changed)
    yield data + b"\0"


def _check_damage_detected(data: bytes, decode: Callable[[bytes], Result]) -> None:
    assert isinstance(decode(data), Ok)
    for damaged in _damaged_copies(data):
        decoded = decode(damaged)
        assert isinstance(decoded, Err) and len(decoded.err_value) > 10


def _make_shard(count: int) -> ProgramShard:
    shard = ProgramShard()
    request = CreateRequest(program_id=PROGRAM, account_id="acme", profile="field", limits=LIMITS)
    records = list(shard.decide_create(request, 0.0).unwrap())
    for record in records:
        shard.apply(record)
    for turn in range(1, count + 1):
        call = make_request(PROGRAM, turn)
        for record in shard.decide_begin(call, 0.0).unwrap().records:
            shard.apply(record)
        shard.apply(
            CallSettled(
                PROGRAM, call.call_id, CallOutcome.ANSWERED, 200, "", b"answer", Cost(1, 1, 1)
            )
        )
    return shard


def test_damaged_journal_entry() -> None:
    """Every damage to a journal entry is a decoding error."""
    _check_damage_detected(encode_entry(JournalEntry("writer-1", 3, (SETTLED,))), decode_entry)


def test_damaged_checkpoint_head() -> None:
    """Every damage to a checkpoint's head is a decoding error."""
    _check_damage_detected(
        encode_checkpoint_head(CheckpointHead(1, 9, (1, 4), ("part-1",))), decode_checkpoint_head
    )


def test_damaged_segment_and_part() -> None:
    """Every damage to a blob is detected, both by the digest in its name and by its checksum."""
    shard = _make_shard(3)
    plan = plan_checkpoint(shard, epoch=1, next_sequence=7, fence_sequences=(1,))
    segment, part = plan.values
    ref = plan.packed_by_program[PROGRAM].refs[0]
    for value in plan.values:
        _check_damage_detected(value.data, lambda data, name=value.name: verify_blob(name, data))
    _check_damage_detected(segment.data, lambda data: read_turns(ref, data))
    _check_damage_detected(part.data, lambda data: restore_shard((data,)))


def test_changed_histories_break_the_chain() -> None:
    """A history with a missing, repeated, swapped or another program's turn is refused."""
    program = _make_shard(3).programs_by_id[PROGRAM]
    first, second, third = program.recent_turns
    link = program.history_digest
    assert isinstance(check_history(PROGRAM, (first, second, third), link), Ok)
    for wrong in ((first, second), (first, third), (first, third, second), (first, second, second)):
        assert isinstance(check_history(PROGRAM, wrong, link), Err)
    assert isinstance(check_history(ProgramId("prg-2"), (first, second, third), link), Err)


def test_random_bytes_are_errors() -> None:
    """No decoder raises on random bytes, and those of framed values return an error.

    Records sent between instances have no checksum, so only some damage to them is an error.
    """
    generator = random.Random(SEED)
    for _ in range(2_000):
        data = generator.randbytes(generator.randrange(1, 80))
        assert isinstance(decode_entry(data), Err) and isinstance(decode_checkpoint_head(data), Err)
        assert isinstance(restore_shard((data,)), Err)
        decode_records(data)
    damaged = 0
    for changed in _damaged_copies(encode_records((SETTLED,))):
        damaged += isinstance(decode_records(changed), Err)
    assert damaged > 0


load_tests = load_functions(globals())
