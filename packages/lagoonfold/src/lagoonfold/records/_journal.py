"""A shard's journal: numbered entries, each of which holds the records of one group commit.

An entry is written only if its key is absent. Each append has a new `writer_id`, so that a writer
that lost the store's answer can read the entry back and see whether its own write succeeded.
"""

import re

import msgspec
from result import Err, Ok, Result

from lagoonfold._frames import JOURNAL, frame, unframe
from lagoonfold._ids import ShardId
from lagoonfold.records._record_types import AnswerPart, CallSettled, EpochStarted, Record

MAX_ENTRY_BYTES = 900_000
ANSWER_PART_BYTES = 400_000
_SEQUENCE_DIGITS = 12
_JOURNAL_KEY = re.compile(rf"shard/[0-9]{{4,}}/journal/[0-9]{{{_SEQUENCE_DIGITS}}}")


class JournalEntry(msgspec.Struct, frozen=True, array_like=True):
    """The records that an owner committed together in its epoch."""

    writer_id: str
    epoch: int
    records: tuple[Record, ...]

    def is_fence(self) -> bool:
        """Return whether the entry starts an epoch, and so fences the former owner."""
        return bool(self.records) and isinstance(self.records[0], EpochStarted)


_ENCODER = msgspec.msgpack.Encoder()
_ENTRY_DECODER = msgspec.msgpack.Decoder(JournalEntry)
_RECORD_DECODER = msgspec.msgpack.Decoder(tuple[Record, ...])


def shard_prefix(shard_id: ShardId) -> str:
    """Return the prefix of all keys of a shard."""
    return f"shard/{shard_id:04d}/"


def journal_prefix(shard_id: ShardId) -> str:
    """Return the prefix of the keys of a shard's journal entries."""
    return f"{shard_prefix(shard_id)}journal/"


def journal_key(shard_id: ShardId, sequence: int) -> str:
    """Return the key of a journal entry; keys sort in the order of their sequence numbers."""
    return f"{journal_prefix(shard_id)}{sequence:0{_SEQUENCE_DIGITS}d}"


def parse_sequence(key: str) -> int:
    """Return the sequence number in a journal entry's key."""
    return int(key.rpartition("/")[2])


def is_journal_key(key: str) -> bool:
    """Return whether a key is that of a journal entry."""
    return _JOURNAL_KEY.fullmatch(key) is not None


def encode_entry(entry: JournalEntry) -> bytes:
    """Return a journal entry as a framed value."""
    return frame(JOURNAL, _ENCODER.encode(entry))


def decode_entry(data: bytes) -> Result[JournalEntry, str]:
    """Decode a framed journal entry."""
    content = unframe(JOURNAL, data)
    if isinstance(content, Err):
        return Err(f"journal entry: {content.err_value}")
    try:
        return Ok(_ENTRY_DECODER.decode(content.ok_value))
    except msgspec.DecodeError as error:
        return Err(f"journal entry: {error}")


def encode_records(records: tuple[Record, ...]) -> bytes:
    """Encode records for sending to another instance."""
    return _ENCODER.encode(records)


def decode_records(data: bytes) -> Result[tuple[Record, ...], str]:
    """Decode records that another instance sent."""
    try:
        return Ok(_RECORD_DECODER.decode(data))
    except msgspec.DecodeError as error:
        return Err(f"records: {error}")


def split_record(record: Record) -> tuple[Record, ...]:
    """Return the record; an answer over `ANSWER_PART_BYTES` is split into several records."""
    if not isinstance(record, CallSettled) or len(record.answer) <= ANSWER_PART_BYTES:
        return (record,)
    *parts, rest = (
        record.answer[start : start + ANSWER_PART_BYTES]
        for start in range(0, len(record.answer), ANSWER_PART_BYTES)
    )
    answer_parts = (
        AnswerPart(record.program_id, record.call_id, index, data)
        for index, data in enumerate(parts)
    )
    return (*answer_parts, msgspec.structs.replace(record, answer=rest))


def encoded_size(record: Record) -> int:
    """Return a record's size in a journal entry, in bytes."""
    return len(_ENCODER.encode(record))
