"""Recovers a shard's state from its checkpoint and the journal entries after it."""

from dataclasses import dataclass

from result import Err, Ok, Result

from lagoonfold import Entry, KeyValueStore, ShardId, StoreError, StoreErrorKind
from lagoonfold.records import (
    CheckpointHead,
    JournalEntry,
    ProgramShard,
    ShardReleased,
    checkpoint_key,
    decode_checkpoint_head,
    decode_entry,
    journal_prefix,
    parse_sequence,
    restore_shard,
)
from lagoonfold_node._ownership._blob_stores import BlobStore, KvBlobStore


@dataclass(frozen=True, slots=True, kw_only=True)
class RecoveredShard:
    """A shard's state as recovered from its checkpoint and journal.

    `next_sequence` is the sequence number of the next journal entry, `epoch` the highest epoch
    that has written. `is_released` means that the last owner handed the shard over and appends
    nothing more.
    """

    state: ProgramShard
    head: CheckpointHead
    head_revision: int
    next_sequence: int
    fence_sequences: tuple[int, ...]
    epoch: int
    is_released: bool


async def recover_shard(
    store: KeyValueStore, shard_id: ShardId
) -> Result[RecoveredShard, StoreError]:
    """Return the shard's state; `CONFLICT` if it changed during the read or is damaged."""
    read = await store.get(checkpoint_key(shard_id))
    if isinstance(read, Err):
        return read
    head = decode_checkpoint_head(read.ok_value.value)
    if isinstance(head, Err):
        return _conflict(head.err_value)
    state = await _read_state(KvBlobStore(store), shard_id, head.ok_value)
    if isinstance(state, Err):
        return state
    listing = await store.list(journal_prefix(shard_id))
    if isinstance(listing, Err):
        return listing
    return _replay(state.ok_value, head.ok_value, read.ok_value.revision, listing.ok_value.entries)


async def _read_state(
    blobs: BlobStore, shard_id: ShardId, head: CheckpointHead
) -> Result[ProgramShard, StoreError]:
    parts = []
    for name in head.parts:
        part = await blobs.get(shard_id, name)
        if isinstance(part, Err):
            return part
        parts.append(part.ok_value)
    return restore_shard(tuple(parts)).map_err(_as_conflict)


def _replay(
    state: ProgramShard, head: CheckpointHead, head_revision: int, entries: tuple[Entry, ...]
) -> Result[RecoveredShard, StoreError]:
    sequence = head.next_sequence
    fence_sequences = list(head.fence_sequences)
    epoch = head.epoch
    last: JournalEntry | None = None
    for entry in entries:
        number = parse_sequence(entry.key)
        if number < head.next_sequence:
            continue
        if number != sequence:
            return _conflict(f"gap in the journal between {sequence - 1} and {number}")
        decoded = decode_entry(entry.value)
        if isinstance(decoded, Err):
            return _conflict(f"{entry.key}: {decoded.err_value}")
        last = decoded.ok_value
        if last.is_fence():
            fence_sequences.append(number)
        for record in last.records:
            state.apply(record)
        epoch = max(epoch, last.epoch)
        sequence += 1
    return Ok(
        RecoveredShard(
            state=state,
            head=head,
            head_revision=head_revision,
            next_sequence=sequence,
            fence_sequences=tuple(fence_sequences),
            epoch=epoch,
            is_released=last is not None and isinstance(last.records[-1], ShardReleased),
        )
    )


def _conflict(detail: str) -> Err[StoreError]:
    return Err(_as_conflict(detail))


def _as_conflict(detail: str) -> StoreError:
    return StoreError(kind=StoreErrorKind.CONFLICT, detail=detail)
