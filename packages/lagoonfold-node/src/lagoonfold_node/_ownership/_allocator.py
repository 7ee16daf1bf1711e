"""Assigns shards to instances, on the one instance that holds the `allocator` key.

Reads the cells `lease` and `ownership`; writes no cell itself. Writes the table to the key
`ownership`, which `OwnershipTableController` reads on every instance. Every instance competes for
the key `allocator`, which is bound to its holder's lease and deleted when that lease ends.
"""

from dataclasses import dataclass

import trio
from msgspec.structs import replace
from result import Err, Ok, Result

from lagoonfold import ABSENT_REVISION, StoreError, new_id
from lagoonfold.membership import (
    Member,
    OwnershipTable,
    TableView,
    encode_table,
    next_table,
    place_shards,
)
from lagoonfold_node._ownership._context import (
    ALLOCATOR_KEY,
    INSTANCES_PREFIX,
    OWNERSHIP_KEY,
    OwnershipContext,
)
from lagoonfold_node._ownership._registrations import RegistrationReader
from lagoonfold_node._ownership._table_controller import OwnershipTableController

_MAX_FIRST_PLACEMENT_DELAY_S = 1.0
_BALANCE_INTERVAL_S = 1.0
_WATCH_RETRY_S = 0.5
_ENTRY_ROLE = "entry"


@dataclass(frozen=True, slots=True, kw_only=True)
class _PlacementInputs:
    """The inputs of a placement: the members, and the revision of the current table."""

    members: tuple[Member, ...]
    revision: int


class Allocator:
    """Compete for the `allocator` key, and place shards while holding it.

    A newly elected allocator waits for one renewal interval, at most
    `_MAX_FIRST_PLACEMENT_DELAY_S`, before its first placement, so that instances that lost their
    leases in the same outage can register again.
    """

    def __init__(
        self, context: OwnershipContext, table_controller: OwnershipTableController
    ) -> None:
        self._context = context
        self._table_controller = table_controller
        self._members_changed = trio.Event()
        self._leaving_ids: frozenset[str] = frozenset()
        self._registrations = RegistrationReader(context.store)
        self._unchanged_inputs: _PlacementInputs | None = None

    async def run(self) -> None:
        """Compete for the key and place shards until cancelled."""
        while True:
            if self._context.has_lease() and await self._campaign():
                await self._place_while_elected()
            await trio.sleep(self._context.settings.renew_s)

    async def _campaign(self) -> bool:
        """Create the key if it is absent; return whether this process holds it."""
        current = await self._context.store.get(ALLOCATOR_KEY)
        if isinstance(current, Err):
            return False
        entry = current.ok_value
        if entry.revision != ABSENT_REVISION:
            return entry.value.decode() == self._context.run_id
        lease = self._context.board.lease.read()
        if lease is None:
            return False
        value = self._context.run_id.encode()
        written = await self._context.store.put_if(
            ALLOCATOR_KEY, value, expected_revision=ABSENT_REVISION, lease_id=lease.lease_id
        )
        return isinstance(written, Ok)

    async def _place_while_elected(self) -> None:
        """Place shards until the key or the lease is lost."""
        self._context.log.info("allocator.elected", instance=self._context.instance_id)
        await trio.sleep(min(_MAX_FIRST_PLACEMENT_DELAY_S, self._context.settings.renew_s))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_members)
            while self._context.has_lease() and await self._campaign():
                self._members_changed = trio.Event()
                await self._read_leaving_ids()
                changed = await self._update_table()
                wait_s = _BALANCE_INTERVAL_S if changed else self._context.settings.renew_s
                with trio.move_on_after(wait_s):
                    await self._members_changed.wait()
            nursery.cancel_scope.cancel()

    async def _watch_members(self) -> None:
        while True:
            async with self._context.store.watch(INSTANCES_PREFIX, from_revision=0) as events:
                async for _ in events:
                    self._members_changed.set()
            await trio.sleep(_WATCH_RETRY_S)
            self._members_changed.set()

    async def _update_table(self) -> bool:
        """Write a new table if the placement changes.

        Return False only if the table is known to need no change.
        """
        await self._table_controller.verify()
        view = self._context.table_view()
        if view is None:
            return True
        placed = await self._write_placement(view)
        if isinstance(placed, Err):
            self._context.count_store_error(placed.err_value)
            return True
        return placed.ok_value

    async def _write_placement(self, view: TableView) -> Result[bool, StoreError]:
        """Compute the next table and write it; the write fails if the stored table is newer.

        Return whether a table was written.
        """
        registered = await self._registrations.read()
        if isinstance(registered, Err):
            return registered
        members = tuple(
            replace(member, leaving=member.leaving or member.instance_id in self._leaving_ids)
            for member in registered.ok_value
        )
        inputs = _PlacementInputs(members=members, revision=view.revision)
        if inputs == self._unchanged_inputs:
            return Ok(False)
        after = self._next_table(view.table, members)
        if after is None:
            self._unchanged_inputs = inputs
            return Ok(False)
        written = await self._context.store.put_if(
            OWNERSHIP_KEY, encode_table(after), expected_revision=view.revision
        )
        if isinstance(written, Err):
            return written
        self._context.metrics.count("ownership_writes")
        return Ok(True)

    async def _read_leaving_ids(self) -> None:
        """Read which instances the instance list marks as leaving.

        The list lags and may be unavailable, so it is used only in addition to the members' own
        `leaving` flags. Only a member's lease decides whether it is alive.
        """
        if self._context.instance_list is None:
            return
        listed = await self._context.instance_list.read()
        if isinstance(listed, Err):
            return
        self._leaving_ids = frozenset(
            each.instance_id
            for each in listed.ok_value
            if each.leaving and each.role == _ENTRY_ROLE
        )

    def _next_table(
        self, table: OwnershipTable, members: tuple[Member, ...]
    ) -> OwnershipTable | None:
        """Return the next table, or None if it equals the current one."""
        if not members:
            return None
        shard_count = max(self._context.settings.shard_count, table.shard_count)
        placed = place_shards(table, members, shard_count)
        after = next_table(table, members, placed, new_id("writer"))
        unchanged = after.owners == table.owners and after.members == table.members
        return None if unchanged else after
