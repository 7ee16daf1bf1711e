"""Stores a shard's checkpoints, trims its journal and deletes unreferenced blobs."""

from result import Err, Ok, Result

from lagoonfold import KeyValueStore, ShardId, StoreError, StoreErrorKind
from lagoonfold.records import (
    CheckpointHead,
    CheckpointPlan,
    ProgramShard,
    checkpoint_key,
    decode_checkpoint_head,
    encode_checkpoint_head,
    evict_checkpointed_turns,
    journal_key,
    plan_checkpoint,
    segment_names,
)
from lagoonfold_node._ownership._blob_stores import BlobStore, KvBlobStore
from lagoonfold_node._ownership._recovery import RecoveredShard

_MAY_HAVE_WRITTEN = (StoreErrorKind.CONFLICT, StoreErrorKind.LOST_ANSWER)


class Checkpointer:
    """Write the checkpoints of one shard for one owner.

    `fence_sequences` holds the sequence numbers of the journal's fence entries, this owner's
    included.
    """

    def __init__(
        self,
        store: KeyValueStore,
        blobs: BlobStore,
        shard_id: ShardId,
        epoch: int,
        recovered: RecoveredShard,
        fence_sequences: tuple[int, ...],
    ) -> None:
        self._store = store
        self._blobs = blobs
        self._part_store = KvBlobStore(store)
        self._shard_id = shard_id
        self._epoch = epoch
        self._head = recovered.head
        self._revision = recovered.head_revision
        self._fence_sequences = fence_sequences
        self._known_names = set(segment_names(recovered.state))
        self._has_deleted_leftovers = False

    @property
    def next_sequence(self) -> int:
        """Return the first journal entry that the stored checkpoint does not cover."""
        return self._head.next_sequence

    def plan(self, state: ProgramShard, next_sequence: int) -> CheckpointPlan:
        """Return a checkpoint of the current state that covers entries before `next_sequence`."""
        return plan_checkpoint(
            state,
            epoch=self._epoch,
            next_sequence=next_sequence,
            fence_sequences=self._fence_sequences,
        )

    async def store(self, state: ProgramShard, plan: CheckpointPlan) -> Result[None, StoreError]:
        """Store a checkpoint; on failure the previous checkpoint and the journal stay unchanged."""
        for value in plan.values:
            target = self._part_store if value.name in plan.head.parts else self._blobs
            stored = await target.put(self._shard_id, value)
            if isinstance(stored, Err):
                return stored
        written = await self._write_head(plan.head)
        if isinstance(written, Err):
            return written
        previous, self._head = self._head, plan.head
        evict_checkpointed_turns(state, plan)
        self._known_names.update(
            ref.name for packed in plan.packed_by_program.values() for ref in packed.refs
        )
        await self._trim(previous)
        await self._delete_unused(state, previous)
        return Ok(None)

    async def _write_head(self, head: CheckpointHead) -> Result[None, StoreError]:
        data = encode_checkpoint_head(head)
        key = checkpoint_key(self._shard_id)
        written = await self._store.put_if(key, data, expected_revision=self._revision)
        if isinstance(written, Ok):
            self._revision = written.ok_value
            return Ok(None)
        if written.err_value.kind not in _MAY_HAVE_WRITTEN:
            return written
        found = await self._store.get(key)
        if isinstance(found, Err):
            return found
        self._revision = found.ok_value.revision
        if found.ok_value.value == data:
            return Ok(None)
        return self._stop_if_superseded(found.ok_value.value, written)

    def _stop_if_superseded(
        self, value: bytes, failed: Err[StoreError]
    ) -> Result[None, StoreError]:
        """Return the failure, and prevent all later writes if the stored head is of a newer epoch.

        No key has the revision -1, so each later write fails its comparison. A head that cannot be
        decoded is never replaced either.
        """
        other = decode_checkpoint_head(value)
        if isinstance(other, Err) or other.ok_value.epoch > self._epoch:
            self._revision = -1
        return failed

    async def _trim(self, previous: CheckpointHead) -> None:
        """Delete the journal entries that the checkpoint covers, except the fences.

        The range begins after the last fence that the previous checkpoint covers: a delayed copy of
        a repeated write may have created an entry again after its deletion.
        """
        covered = (fence for fence in self._head.fence_sequences if fence < previous.next_sequence)
        start = max(covered, default=previous.next_sequence - 1) + 1
        for fence in (*self._head.fence_sequences, self._head.next_sequence):
            if start < fence <= self._head.next_sequence:
                await self._store.delete_range(
                    journal_key(self._shard_id, start), journal_key(self._shard_id, fence)
                )
            start = max(start, fence + 1)
        await self._delete_old_fences(previous)

    async def _delete_old_fences(self, previous: CheckpointHead) -> None:
        for fence in set(previous.fence_sequences) - set(self._head.fence_sequences):
            key = journal_key(self._shard_id, fence)
            await self._store.delete_range(key, key + "\0")

    async def _delete_unused(self, state: ProgramShard, previous: CheckpointHead) -> None:
        """Delete the previous checkpoint's parts, segments of removed programs, and leftovers.

        Leftovers are blobs of a former owner's checkpoint that was never completed. They were
        created after the checkpoint that this owner started from and before its own first one.
        """
        used = set(segment_names(state))
        for name in sorted(self._known_names - used):
            await self._blobs.delete(self._shard_id, name)
        for name in sorted(set(previous.parts) - set(self._head.parts)):
            await self._part_store.delete(self._shard_id, name)
        self._known_names = used
        if not self._has_deleted_leftovers:
            self._has_deleted_leftovers = True
            first = previous.next_sequence + 1
            await self._blobs.delete_between(self._shard_id, first, self._head.next_sequence)
