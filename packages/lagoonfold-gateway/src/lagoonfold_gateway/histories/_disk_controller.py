"""Follows the list of the disks that hold kept turns.

Writes `disks`. A storage instance lists its disk before it takes the first turn, and removes the
entry when all its turns have copies elsewhere (`_storage`). An entry has no lease: an instance that
is down still holds what it holds.
"""

import msgspec
from result import Err, Ok, Result

from lagoonfold import (
    ABSENT_REVISION,
    Cell,
    Entry,
    Listing,
    StoreError,
    TransactionalStore,
    WatchEvent,
    decode_json,
)
from lagoonfold.histories import Disk
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_gateway._store_watch import PollTerms, ReadableStore, StoreWatch, key_suffix
from lagoonfold_io.observe import EventLog

DISK_PREFIX = "lagoonfold/disks/"
POLL_INTERVAL_S = 1.0  # disks come and go rarely, and a new one is not used at once

_log = EventLog("disks")


class DiskEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A disk's entry in the store; see `Disk`.

    `renewals` counts how often its instance has written the entry again to show that it lives.
    """

    disk_id: str
    address: str
    failure_domain: str
    region: str = ""
    is_leaving: bool = False
    renewals: int = 0


class DiskController:
    """Keeps the cell of disks, and links their instances on a bus of their own.

    `watched` is followed for changes; `store` is asked where an answer must be current.

    The cell is None until the list has been read for the first time. `revision_by_name` has the
    revision of each disk's entry, `ABSENT_REVISION` for one that was removed.
    """

    def __init__(
        self,
        cell: Cell[tuple[Disk, ...] | None],
        store: TransactionalStore,
        bus: PeerBus,
        watched: ReadableStore,
    ) -> None:
        self._cell = cell
        self._store = store
        self._bus = bus
        self._disk_by_name: dict[str, Disk] = {}
        self.revision_by_name: dict[str, int] = {}
        self.watch = StoreWatch(
            watched,
            DISK_PREFIX,
            on_listing=self._apply_listing,
            on_event=self._apply_event,
            terms=PollTerms(min_interval_s=POLL_INTERVAL_S),
        )

    async def read_now(self) -> Result[tuple[Disk, ...], StoreError]:
        """Read the list from the store and return it."""
        listed = await self._store.read_all(DISK_PREFIX)
        if isinstance(listed, Err):
            return listed
        self._apply_listing(listed.ok_value)
        return Ok(tuple(self._disk_by_name.values()))

    def _apply_listing(self, listing: Listing) -> None:
        self.revision_by_name = {
            key_suffix(entry, DISK_PREFIX): entry.revision for entry in listing.entries
        }
        disks = [_decode(entry) for entry in listing.entries]
        self._publish({disk.name: disk for disk in disks if disk is not None})

    def _apply_event(self, event: WatchEvent) -> None:
        disk_by_name = dict(self._disk_by_name)
        self.revision_by_name[key_suffix(event.entry, DISK_PREFIX)] = event.entry.revision
        disk = _decode(event.entry) if event.entry.revision != ABSENT_REVISION else None
        if disk is not None:
            disk_by_name[disk.name] = disk
        else:
            disk_by_name.pop(key_suffix(event.entry, DISK_PREFIX), None)
        self._publish(disk_by_name)

    def _publish(self, disk_by_name: dict[str, Disk]) -> None:
        for name in self._disk_by_name.keys() - disk_by_name.keys():
            self._bus.drop_peer(name)
        for disk in disk_by_name.values():
            self._bus.set_peer(disk.name, disk.address)
        if disk_by_name != self._disk_by_name or self._cell.read() is None:
            _log.info(
                "disks.listed",
                disks=sorted(disk_by_name),
                leaving=sorted(disk.name for disk in disk_by_name.values() if disk.is_leaving),
            )
        self._disk_by_name = disk_by_name
        self._cell.write(tuple(disk_by_name.values()))


def _decode(entry: Entry) -> Disk | None:
    name = key_suffix(entry, DISK_PREFIX)
    decoded = decode_json(entry.value, DiskEntry)
    if isinstance(decoded, Err):
        _log.warning("disk.entry_unreadable", disk=name, reason=decoded.err_value)
        return None
    listed = decoded.ok_value
    return Disk(
        name=name,
        disk_id=listed.disk_id,
        address=listed.address,
        failure_domain=listed.failure_domain,
        region=listed.region,
        is_leaving=listed.is_leaving,
    )
