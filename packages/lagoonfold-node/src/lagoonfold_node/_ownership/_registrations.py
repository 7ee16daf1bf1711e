"""Reads the registrations of live instances, again only if they have changed."""

from result import Err, Ok, Result

from lagoonfold import KeyValueStore, Listing, StoreError
from lagoonfold.membership import Member, decode_member
from lagoonfold_node._ownership._context import INSTANCES_PREFIX


class RegistrationReader:
    """Read which members are registered; an unchanged set costs one small call."""

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store
        self._last_listing: Listing | None = None
        self._members: tuple[Member, ...] = ()

    async def read(self) -> Result[tuple[Member, ...], StoreError]:
        """Return the registered members, without entries that cannot be decoded."""
        read = await self._list_if_changed()
        if isinstance(read, Err):
            return read
        if read.ok_value is not None:
            self._last_listing = read.ok_value
            decoded = (decode_member(entry.value) for entry in self._last_listing.entries)
            self._members = tuple(each.ok_value for each in decoded if isinstance(each, Ok))
        return Ok(self._members)

    async def _list_if_changed(self) -> Result[Listing | None, StoreError]:
        if self._last_listing is None:
            return await self._store.list(INSTANCES_PREFIX)
        return await self._store.list_if_changed(INSTANCES_PREFIX, self._last_listing)
