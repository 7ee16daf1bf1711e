"""Surveys the bulk values of the shards that are open here, so that each keeps two copies.

Reads the cells `shards` and `ownership`. A survey is due after a while, when the set of instances
with disks has changed, and when a shard was opened here: its former owner may have been lost with
its disk before anyone could survey the shard.
"""

import trio

from lagoonfold_node._ownership._context import OwnershipContext
from lagoonfold_node._ownership._disk_bulk import DiskBulkStore

SURVEY_INTERVAL_S = 600.0
_SETTLE_S = 1.0


class BulkKeeper:
    """Runs the surveys of one instance."""

    def __init__(self, context: OwnershipContext, bulk: DiskBulkStore) -> None:
        self._context = context
        self._bulk = bulk
        self._changed = trio.Event()
        self._known_disks: frozenset[str] = frozenset()
        self._known_shards: frozenset[tuple[int, int]] = frozenset()

    async def run(self) -> None:
        """Survey until cancelled."""
        board = self._context.board
        unsubscribe = board.ownership.subscribe(lambda _: self._note_disks())
        unsubscribe_shards = board.shards.subscribe(lambda _: self._note_shards())
        try:
            while True:
                with trio.move_on_after(SURVEY_INTERVAL_S):
                    await self._changed.wait()
                await trio.sleep(_SETTLE_S)
                self._changed = trio.Event()
                await self.survey()
        finally:
            unsubscribe()
            unsubscribe_shards()

    async def survey(self) -> None:
        """Survey every shard that this process may act for."""
        for shard in tuple(self._context.board.shards.read().values()):
            if shard.may_act() and shard.bulk_names():
                await self._bulk.survey(
                    shard.shard_id, shard.bulk_names(), shard.checkpointed_sequence
                )

    def _note_disks(self) -> None:
        view = self._context.table_view()
        members = () if view is None else view.table.members
        disks = frozenset(
            member.run_id for member in members if member.has_disk and not member.leaving
        )
        if disks != self._known_disks:
            self._known_disks = disks
            self._changed.set()

    def _note_shards(self) -> None:
        opened = self._context.board.shards.read().values()
        shards = frozenset((shard.shard_id, shard.epoch) for shard in opened)
        if not shards <= self._known_shards:
            self._changed.set()
        self._known_shards = shards
