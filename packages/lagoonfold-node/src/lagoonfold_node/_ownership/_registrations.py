"""The registrations of live instances, read again only if they have changed."""

from result import Err, Ok, Result

from lagoonfold import KeyValueStore, Listing, StoreError
from lagoonfold.membership import Member, decode_member
from lagoonfold_node._ownership._context import INSTANCES_PREFIX


class RegistrationReader:
    """Reads who is registered; an unchanged set costs one short call."""

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store
        self._known: Listing | None = None
        self._members: tuple[Member, ...] = ()

    async def read(self) -> Result[tuple[Member, ...], StoreError]:
        """Return the registered members; an entry that can't be read is left out."""
        read = await self._read()
        if isinstance(read, Err):
            return read
        if read.ok_value is not None:
            self._known = read.ok_value
            decoded = (decode_member(entry.value) for entry in self._known.entries)
            self._members = tuple(each.ok_value for each in decoded if isinstance(each, Ok))
        return Ok(self._members)

    async def _read(self) -> Result[Listing | None, StoreError]:
        if self._known is None:
            return await self._store.list(INSTANCES_PREFIX)
        return await self._store.list_if_changed(INSTANCES_PREFIX, self._known)
