"""Watches the ownership table, and also verifies it by a read once per lease renewal interval.

The read covers for a watch that has gone silent, and costs a few bytes while the table is
unchanged. Reads the cell `ownership`; writes the cells `ownership` and `members`.
"""

import trio
from result import Err

from lagoonfold import ABSENT_REVISION, Entry, InstanceId
from lagoonfold.membership import OwnershipTable, TableView, decode_table
from lagoonfold_node._board import MemberInfo
from lagoonfold_node._ownership._context import OWNERSHIP_KEY, OwnershipContext

_WATCH_RETRY_S = 0.5


class OwnershipTableController:
    """Keep the newest ownership table on the board."""

    def __init__(self, context: OwnershipContext) -> None:
        self._context = context

    async def run(self) -> None:
        """Watch and verify the table until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll)
            nursery.start_soon(self._watch)

    async def verify(self) -> None:
        """Read the table if it has changed, and record when it was known to be current."""
        view = self._context.table_view()
        known_revision = ABSENT_REVISION if view is None else view.revision
        requested_at_s = trio.current_time()
        read = await self._context.store.get_if_changed(OWNERSHIP_KEY, known_revision)
        if isinstance(read, Err):
            self._context.count_store_error(read.err_value)
        elif read.ok_value is not None:
            self.publish(read.ok_value, verified_at_s=requested_at_s)
        else:
            self._mark_verified(known_revision, requested_at_s)

    def publish(self, entry: Entry, *, verified_at_s: float | None) -> None:
        """Write a table to the board unless the board has the same or a newer one.

        Without `verified_at_s` the time of the last verification is kept.
        """
        view = self._context.table_view()
        if view is not None and entry.revision <= view.revision:
            return
        decoded = decode_table(entry.value)
        if isinstance(decoded, Err):
            self._context.log.warning("ownership.unreadable", detail=decoded.err_value)
            return
        if verified_at_s is None:
            verified_at_s = float("-inf") if view is None else view.verified_at_s
        self._write(decoded.ok_value, entry.revision, verified_at_s)

    def _mark_verified(self, revision: int, at_s: float) -> None:
        view = self._context.table_view()
        if view is not None and view.revision == revision and at_s > view.verified_at_s:
            self._write(view.table, revision, at_s)
        elif view is None:
            self._write(OwnershipTable(), ABSENT_REVISION, at_s)

    def _write(self, table: OwnershipTable, revision: int, verified_at_s: float) -> None:
        board = self._context.board
        before = board.ownership.read()
        if before is None or before.table.members != table.members:
            board.members.write(
                {
                    InstanceId(member.instance_id): MemberInfo(
                        instance_id=InstanceId(member.instance_id),
                        peer_address=member.address,
                        failure_domain=member.failure_domain,
                        is_leaving=member.leaving,
                    )
                    for member in table.members
                }
            )
        board.ownership.write(
            TableView(table=table, revision=revision, verified_at_s=verified_at_s)
        )

    async def _poll(self) -> None:
        while True:
            due_at_s = trio.current_time() + self._context.settings.renew_s
            await self.verify()
            await trio.sleep_until(due_at_s)

    async def _watch(self) -> None:
        while True:
            view = self._context.table_view()
            if view is not None:
                await self._follow(view.revision + 1)
            await trio.sleep(_WATCH_RETRY_S)

    async def _follow(self, revision: int) -> None:
        async with self._context.store.watch(OWNERSHIP_KEY, from_revision=revision) as events:
            async for event in events:
                if event.entry.key == OWNERSHIP_KEY and event.entry.value:
                    self.publish(event.entry, verified_at_s=None)
