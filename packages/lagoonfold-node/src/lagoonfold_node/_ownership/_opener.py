"""Opens a shard: recovers its state, waits for the former owner, and fences the journal."""

import trio
from result import Err

from lagoonfold import ShardId, StoreError, StoreErrorKind
from lagoonfold.membership import ShardOwner
from lagoonfold.records import EpochStarted
from lagoonfold_node._ownership._blob_stores import BlobStore
from lagoonfold_node._ownership._checkpointer import Checkpointer
from lagoonfold_node._ownership._context import OwnershipContext
from lagoonfold_node._ownership._journal_appender import AppendResult, JournalAppender
from lagoonfold_node._ownership._journal_writer import JournalWriter, JournalWriters
from lagoonfold_node._ownership._open_shard import OpenShard
from lagoonfold_node._ownership._recovery import RecoveredShard, recover_shard

_POLL_S = 0.05
_RETRY_S = 0.2


class ShardOpener:
    """Open one shard for `owner`, its owner in the ownership table."""

    def __init__(
        self,
        context: OwnershipContext,
        blobs: BlobStore,
        writers: JournalWriters,
        shard_id: ShardId,
        owner: ShardOwner,
    ) -> None:
        self._context = context
        self._blobs = blobs
        self._writers = writers
        self._shard_id = shard_id
        self._owner = owner
        self._started_at_s = trio.current_time()

    async def open(self) -> OpenShard | None:
        """Return the open shard, or None if an owner of a later epoch has already written to it."""
        while True:
            recovered = await recover_shard(self._context.store, self._shard_id)
            if isinstance(recovered, Err):
                self._report(recovered.err_value)
                await trio.sleep(_RETRY_S)
                continue
            shard = recovered.ok_value
            if shard.epoch > self._owner.epoch:
                return None
            if not self._may_fence(shard):
                await trio.sleep(_POLL_S)
                continue
            opened = await self._fence(shard)
            if opened is not None:
                return opened

    def _may_fence(self, shard: RecoveredShard) -> bool:
        """Return whether the journal may be fenced now.

        It may, under a lease and a fresh table, if the shard was released, was never used or has no
        former owner, or if the wait for its former owner is over.
        """
        if not self._context.has_lease() or not self._context.is_table_fresh():
            return False
        settings = self._context.settings
        waited_s = trio.current_time() - self._started_at_s
        is_unused = shard.next_sequence == 1
        if shard.is_released or is_unused or not self._owner.previous_run_id:
            return True
        if self._owner.previous_run_id in self._live_run_ids():
            return waited_s >= settings.handover_wait_s
        return waited_s >= settings.takeover_wait_s

    async def _fence(self, shard: RecoveredShard) -> OpenShard | None:
        """Append the fence and open the shard; return None if another entry was written first."""
        fence_appender = self._new_appender(self._writers.fences, shard.next_sequence)
        record = EpochStarted(self._owner.epoch, self._context.run_id, self._live_run_ids())
        if await fence_appender.append((record,)) is AppendResult.FENCED:
            return None
        shard.state.apply(record)
        fence_sequences = (*shard.fence_sequences, shard.next_sequence)
        appender = self._new_appender(self._writers.entries, fence_appender.next_sequence)
        checkpointer = Checkpointer(
            self._context.store,
            self._blobs,
            self._shard_id,
            self._owner.epoch,
            shard,
            fence_sequences,
        )
        self._context.metrics.record("shard_open", trio.current_time() - self._started_at_s)
        return OpenShard(
            self._context, self._blobs, self._shard_id, shard.state, appender, checkpointer
        )

    def _new_appender(self, writer: JournalWriter, next_sequence: int) -> JournalAppender:
        return JournalAppender(
            self._context.store, writer, self._shard_id, self._owner.epoch, next_sequence
        )

    def _live_run_ids(self) -> tuple[str, ...]:
        view = self._context.table_view()
        live = frozenset() if view is None else view.table.live_run_ids()
        return tuple(sorted(live | {self._context.run_id}))

    def _report(self, error: StoreError) -> None:
        self._context.count_store_error(error)
        if error.kind is StoreErrorKind.CONFLICT:
            detail = error.detail
            self._context.log.warning("shard.unreadable", shard=self._shard_id, detail=detail)
