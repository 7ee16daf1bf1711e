"""The ownership subsystem of an instance: membership, shards, and access to their state.

Reads the cells `ownership`, `shards` and `members`; its controllers write the cells.

ownership = Ownership(context)
nursery.start_soon(ownership.run)
shard = ownership.shards.find_open(ownership.shards.shard_of("prg-1f0c"))
await ownership.hand_over(timeout_s=20.0)
await ownership.leave()
"""

import trio

from lagoonfold import InstanceId, Refusal, ShardId
from lagoonfold.membership import shard_of
from lagoonfold_node._ownership._allocator import Allocator
from lagoonfold_node._ownership._blob_stores import BlobStore, CachedBlobStore, KvBlobStore
from lagoonfold_node._ownership._committer_transport import CommitterJournalTransport
from lagoonfold_node._ownership._context import OwnershipContext
from lagoonfold_node._ownership._direct_transport import DirectJournalTransport
from lagoonfold_node._ownership._journal_writer import JournalWriter, JournalWriters
from lagoonfold_node._ownership._lease_controller import LeaseController
from lagoonfold_node._ownership._open_shard import OpenShard
from lagoonfold_node._ownership._refusals import store_outage_refusal
from lagoonfold_node._ownership._shard_controller import ShardController
from lagoonfold_node._ownership._table_controller import OwnershipTableController

_POLL_S = 0.05


class ShardLocator:
    """Find owners and open shards."""

    def __init__(self, context: OwnershipContext) -> None:
        self._context = context

    def shard_of(self, entity_id: str) -> ShardId:
        """Return the shard of a program id or an account id."""
        view = self._context.table_view()
        count = 0 if view is None else view.table.shard_count
        return shard_of(entity_id, count or self._context.settings.shard_count)

    def owner_of(self, entity_id: str) -> InstanceId | None:
        """Return the owner of a program or an account, None if unknown."""
        owner = self._context.owner(self.shard_of(entity_id))
        if owner is None or not owner.instance_id:
            return None
        return InstanceId(owner.instance_id)

    def owner_lookup_refusal(self) -> Refusal | None:
        """Return the refusal for callers that wait for an owner, None if the table is fresh."""
        if self._context.is_table_fresh():
            return None
        return store_outage_refusal("the owners of programs and accounts cannot be verified")

    def find_open(self, shard_id: ShardId) -> OpenShard | None:
        """Return the shard if it is open here, else None."""
        return self._context.board.shards.read().get(shard_id)

    def find_open_for(self, entity_id: str) -> OpenShard | None:
        """Return the shard of a program or an account if it is open here, else None."""
        return self.find_open(self.shard_of(entity_id))


class Ownership:
    """Run the controllers of membership and shards."""

    def __init__(self, context: OwnershipContext, *, blobs: BlobStore | None = None) -> None:
        self.context = context
        self.shards = ShardLocator(context)
        self.blobs = CachedBlobStore(blobs or KvBlobStore(context.store))
        self._lease_controller = LeaseController(context)
        self._table_controller = OwnershipTableController(context)
        self._allocator = Allocator(context, self._table_controller)
        interval_s = context.settings.commit_interval_s
        self.journal_writer = JournalWriter(DirectJournalTransport(context), interval_s)
        self._shard_writer = self.journal_writer
        if context.settings.commits_through_committer:
            self._shard_writer = JournalWriter(
                CommitterJournalTransport(context, self.journal_writer), 0.0
            )
        writers = JournalWriters(fences=self.journal_writer, entries=self._shard_writer)
        self._shard_controller = ShardController(context, self.blobs, writers)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._lease_controller.run)
            nursery.start_soon(self._table_controller.run)
            nursery.start_soon(self._allocator.run)
            nursery.start_soon(self.journal_writer.run)
            if self._shard_writer is not self.journal_writer:
                nursery.start_soon(self._shard_writer.run)
            nursery.start_soon(self._shard_controller.run)
            task_status.started()

    async def hand_over(self, *, timeout_s: float) -> None:
        """Hand over every shard in a planned stop; the cell `stopping` must be set before.

        Running calls settle at the new owners, which treat calls of an instance that has left as
        interrupted: call `leave` only after the last call has settled.
        """
        with trio.move_on_after(timeout_s):
            while self.context.board.shards.read() and self._has_successors():
                await trio.sleep(_POLL_S)
            await self._shard_controller.release_all()

    async def leave(self) -> None:
        """Revoke the lease; to be called after the last call has settled."""
        await self._lease_controller.revoke()

    def _has_successors(self) -> bool:
        """Return whether a member stays to which the allocator can move the shards."""
        members = self.context.board.members.read().values()
        own_id = self.context.instance_id
        return any(not each.is_leaving and each.instance_id != own_id for each in members)
