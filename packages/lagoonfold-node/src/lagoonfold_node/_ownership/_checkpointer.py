"""Stores a shard's checkpoints, trims its journal and drops bulk values that nothing refers to."""

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
    """The checkpoint of one shard, as one owner sees it.

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
        self._parts = KvBlobStore(store)
        self._shard_id = shard_id
        self._epoch = epoch
        self._head = recovered.head
        self._revision = recovered.head_revision
        self._fence_sequences = fence_sequences
        self._known_names = set(segment_names(recovered.state))
        self._has_swept = False

    @property
    def next_sequence(self) -> int:
        """Return the first journal entry that the stored checkpoint does not cover."""
        return self._head.next_sequence

    def plan(self, state: ProgramShard, next_sequence: int) -> CheckpointPlan:
        """Return the checkpoint of the state as it is."""
        return plan_checkpoint(
            state,
            epoch=self._epoch,
            next_sequence=next_sequence,
            fence_sequences=self._fence_sequences,
        )

    async def store(self, state: ProgramShard, plan: CheckpointPlan) -> Result[None, StoreError]:
        """Store a checkpoint; a failure leaves the former one, and the journal as it is."""
        for value in plan.values:
            keeper = self._parts if value.name in plan.head.parts else self._blobs
            kept = await keeper.put(self._shard_id, value)
            if isinstance(kept, Err):
                return kept
        written = await self._write_head(plan.head)
        if isinstance(written, Err):
            return written
        former, self._head = self._head, plan.head
        evict_checkpointed_turns(state, plan)
        self._known_names.update(
            ref.name for packed in plan.packed_by_program.values() for ref in packed.refs
        )
        await self._trim(former)
        await self._drop_unused(state, former)
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
        return self._refuse_newer(found.ok_value.value, written)

    def _refuse_newer(self, value: bytes, failed: Err[StoreError]) -> Result[None, StoreError]:
        """Return the failure; a checkpoint of a newer epoch is never replaced."""
        other = decode_checkpoint_head(value)
        if isinstance(other, Err) or other.ok_value.epoch > self._epoch:
            self._revision = -1
        return failed

    async def _trim(self, former: CheckpointHead) -> None:
        """Delete the journal entries that the checkpoint covers, but for the fences.

        The range begins at the last fence that the former checkpoint covers, since a copy of a
        write that was repeated may have come after its entry was deleted.
        """
        covered = (fence for fence in self._head.fence_sequences if fence < former.next_sequence)
        start = max(covered, default=former.next_sequence - 1) + 1
        for fence in (*self._head.fence_sequences, self._head.next_sequence):
            if start < fence <= self._head.next_sequence:
                await self._store.delete_range(
                    journal_key(self._shard_id, start), journal_key(self._shard_id, fence)
                )
            start = max(start, fence + 1)
        await self._drop_old_fences(former)

    async def _drop_old_fences(self, former: CheckpointHead) -> None:
        for fence in set(former.fence_sequences) - set(self._head.fence_sequences):
            key = journal_key(self._shard_id, fence)
            await self._store.delete_range(key, key + "\0")

    async def _drop_unused(self, state: ProgramShard, former: CheckpointHead) -> None:
        """Drop the former checkpoint's parts, segments of forgotten programs, and leftovers.

        Leftovers are values of a former owner's checkpoint that was never completed; they were
        made after the checkpoint that this owner started from and before its own first.
        """
        used = set(segment_names(state))
        for name in sorted(self._known_names - used):
            await self._blobs.delete(self._shard_id, name)
        for name in sorted(set(former.parts) - set(self._head.parts)):
            await self._parts.delete(self._shard_id, name)
        self._known_names = used
        if not self._has_swept:
            self._has_swept = True
            first = former.next_sequence + 1
            await self._blobs.delete_between(self._shard_id, first, self._head.next_sequence)
