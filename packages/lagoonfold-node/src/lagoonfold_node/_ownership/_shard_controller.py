"""Opens shards that the ownership table assigns to this process, hands over reassigned ones.

Reads the cells `ownership`, `lease` and `shards`; writes the cell `shards`.
"""

import time
from collections.abc import Mapping

import trio
from result import Err

from lagoonfold import ProgramId, ShardId
from lagoonfold.membership import ShardOwner
from lagoonfold.records import ProgramEnded, Record
from lagoonfold_node._ownership._blob_stores import BlobStore
from lagoonfold_node._ownership._context import OwnershipContext
from lagoonfold_node._ownership._journal_writer import JournalWriters
from lagoonfold_node._ownership._open_shard import OpenShard, ShardStatus
from lagoonfold_node._ownership._opener import ShardOpener

_EXPIRY_INTERVAL_S = 5.0
_MAX_CONCURRENT_OPENS = 8


class ShardController:
    """Keep the set of open shards in line with the ownership table."""

    def __init__(
        self, context: OwnershipContext, blobs: BlobStore, writers: JournalWriters
    ) -> None:
        self._context = context
        self._blobs = blobs
        self._writers = writers
        self._opening_by_shard: dict[ShardId, tuple[int, trio.CancelScope]] = {}
        self._changed = trio.Event()
        self._open_limiter = trio.CapacityLimiter(_MAX_CONCURRENT_OPENS)

    async def run(self) -> None:
        """Reconcile the open shards with the table until cancelled."""
        unsubscribe = self._context.board.ownership.subscribe(lambda _: self._changed.set())
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._expire_programs)
                while True:
                    self._changed = trio.Event()
                    self._reconcile(nursery)
                    await self._changed.wait()
        finally:
            unsubscribe()

    async def release_all(self) -> None:
        """Hand over every open shard, regardless of the table."""
        async with trio.open_nursery() as nursery:
            for shard in tuple(self._open_shards().values()):
                nursery.start_soon(self._release, shard)

    def _open_shards(self) -> Mapping[ShardId, OpenShard]:
        return self._context.board.shards.read()

    def _reconcile(self, nursery: trio.Nursery) -> None:
        """Start the opens and releases that bring the open shards in line with the table."""
        view = self._context.table_view()
        if view is None:
            return
        for index, owner in enumerate(view.table.owners):
            self._reconcile_shard(nursery, ShardId(index), owner)
        for shard in tuple(self._open_shards().values()):
            nursery.start_soon(self._interrupt_lost_calls, shard)

    def _reconcile_shard(self, nursery: trio.Nursery, shard_id: ShardId, owner: ShardOwner) -> None:
        wanted_epoch = owner.epoch if owner.run_id == self._context.run_id else None
        opening = self._opening_by_shard.get(shard_id)
        opened = self._open_shards().get(shard_id)
        if opening is not None and opening[0] != wanted_epoch:
            opening[1].cancel()
            del self._opening_by_shard[shard_id]
            opening = None
        if opened is not None and opened.epoch != wanted_epoch:
            nursery.start_soon(self._release, opened)
        elif wanted_epoch is not None and opening is None and opened is None:
            scope = trio.CancelScope()
            self._opening_by_shard[shard_id] = (owner.epoch, scope)
            nursery.start_soon(self._open, shard_id, owner, scope)

    async def _open(self, shard_id: ShardId, owner: ShardOwner, scope: trio.CancelScope) -> None:
        shard = None
        with scope:
            async with self._open_limiter:
                opener = ShardOpener(self._context, self._blobs, self._writers, shard_id, owner)
                shard = await opener.open()
        if self._opening_by_shard.get(shard_id) == (owner.epoch, scope):
            del self._opening_by_shard[shard_id]
        if shard is None:
            return
        self._context.metrics.count("shards_opened")
        self._context.board.shards.write({**self._open_shards(), shard_id: shard})
        self._changed.set()
        await shard.run()
        self._remove(shard)

    async def _release(self, shard: OpenShard) -> None:
        if shard.status is ShardStatus.OPEN:
            self._context.metrics.count("shards_released")
            await shard.release()
            self._remove(shard)

    def _remove(self, shard: OpenShard) -> None:
        opened = dict(self._open_shards())
        if opened.get(shard.shard_id) is shard:
            del opened[shard.shard_id]
            self._context.board.shards.write(opened)
            self._changed.set()

    async def _interrupt_lost_calls(self, shard: OpenShard) -> None:
        """Settle as interrupted the calls whose executors are no longer members."""
        view = self._context.table_view()
        if view is None or not shard.holds_ownership():
            return
        live = view.table.live_run_ids() | {self._context.run_id}
        records = shard.state.decide_interrupt(live)
        if records:
            await shard.commit(records)

    async def _expire_programs(self) -> None:
        while True:
            await trio.sleep(_EXPIRY_INTERVAL_S)
            for shard in tuple(self._open_shards().values()):
                records = shard.state.decide_expire(
                    time.time(), self._context.settings.ended_retention_s
                )
                if records and shard.holds_ownership():
                    await self._commit_expired(shard, records)

    async def _commit_expired(self, shard: OpenShard, records: tuple[Record, ...]) -> None:
        """Make the ends of expired programs durable, then call `on_expired` for each."""
        committed = await shard.commit(records)
        if isinstance(committed, Err):
            return
        for record in records:
            if isinstance(record, ProgramEnded):
                self._context.on_expired(ProgramId(record.program_id), shard)
