"""Lists this instance's disk in the store, and removes it.

Reads `disks`. The entry is written before the first turn is taken, since an instance that looks a
turn up asks the listed disks only. The entry has no lease: a disk whose instance is down still
holds its turns. It is written again now and then; an entry that is not, and whose instance answers
nobody, is removed by the others after `forget_after_s` (`_disk_cleanup`). So a turn is taken only
if it expires before that.
"""

import msgspec
import trio
from result import Err, Ok

from lagoonfold import Cell, Put, TransactionalStore
from lagoonfold.histories import Disk
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._settings import HistoriesSection
from lagoonfold_gateway.histories._disk_controller import DISK_PREFIX, DiskEntry
from lagoonfold_gateway.storage._settings import StorageInstanceSection
from lagoonfold_gateway.storage._turn_store import TurnStore
from lagoonfold_io.observe import EventLog

CHECK_INTERVAL_S = 0.2  # between looks whether the entry is as it should be
RENEWALS_BEFORE_FORGOTTEN = 3  # two of them may fail
MISSING_S = 5.0  # after its acknowledgement an entry that is not listed has been removed

_log = EventLog("disks")


class DiskRegistration:
    """Keeps the entry of this instance's disk as it should be.

    It begins once `may_begin` is set: by then it is known whether the disk is to leave.
    """

    def __init__(
        self,
        instance: StorageInstanceSection,
        histories: HistoriesSection,
        store: TransactionalStore,
        disks: Cell[tuple[Disk, ...] | None],
        turn_store: TurnStore,
    ) -> None:
        self._instance = instance
        self._forget_after_s = histories.forget_after_s
        self._region = instance.region if histories.region_losses else ""
        self._store = store
        self._disks = disks
        self._turn_store = turn_store
        self._key = DISK_PREFIX + instance.id
        self._listed_name = f"{instance.id} at {instance.peers}"
        self._acknowledged: DiskEntry | None = None
        self._acknowledged_s = now_s()
        self._renewals = 0
        self.may_begin = False
        self.is_leaving = False
        self.is_removed = False

    @property
    def is_listed(self) -> bool:
        """Return whether instances that look a turn up ask this disk."""
        return self._turn_store.listed_as == self._listed_name and not self.is_removed

    def may_keep_for(self, keep_s: float) -> bool:
        """Return whether a turn that is kept for so long expires before the disk is forgotten."""
        return now_s() - self._acknowledged_s + keep_s < self._forget_after_s

    @property
    def is_listed_as_leaving(self) -> bool:
        """Return whether the store has acknowledged that the disk leaves."""
        return self._acknowledged is not None and self._acknowledged.is_leaving

    async def run(self) -> None:
        """Write the entry whenever it is not as it should be, until cancelled."""
        while self._disks.read() is None or not self.may_begin:
            await trio.sleep(CHECK_INTERVAL_S)
        known = self._listed()
        if known is not None and known.disk_id == self._turn_store.disk_id:
            self.is_leaving = self.is_leaving or known.is_leaving
        while True:
            if not self.is_removed and self._must_write():
                await self._write()
            await trio.sleep(CHECK_INTERVAL_S)

    async def remove(self, put: Put) -> bool:
        """Remove the entry together with a write, once and for all; return whether that is done."""
        self.is_removed = True
        if not await self._turn_store.set_listed_as(""):
            return False
        removed = await self._store.commit(puts=(put,), deletes=(self._key,))
        if isinstance(removed, Err):
            _log.warning("disk.not_removed", reason=removed.err_value.detail)
        return isinstance(removed, Ok)

    def _must_write(self) -> bool:
        if self._entry() != self._acknowledged:
            return True
        age_s = now_s() - self._acknowledged_s
        if age_s > self._forget_after_s / RENEWALS_BEFORE_FORGOTTEN:
            self._renewals += 1
            return True
        return age_s > MISSING_S and self._listed() is None

    async def _write(self) -> None:
        entry, began_s = self._entry(), now_s()
        written = await self._store.commit(
            puts=(Put(key=self._key, value=msgspec.json.encode(entry)),)
        )
        if isinstance(written, Err):
            _log.warning("disk.not_listed", reason=written.err_value.detail)
            return
        if not self.is_listed and not await self._turn_store.set_listed_as(self._listed_name):
            return
        self._acknowledged, self._acknowledged_s = entry, began_s
        _log.info("disk.listed", disk_id=entry.disk_id, leaving=entry.is_leaving)

    def _entry(self) -> DiskEntry:
        return DiskEntry(
            disk_id=self._turn_store.disk_id,
            address=self._instance.peers,
            failure_domain=self._instance.failure_domain,
            region=self._region,
            is_leaving=self.is_leaving,
            renewals=self._renewals,
        )

    def _listed(self) -> Disk | None:
        disks = self._disks.read() or ()
        return next((disk for disk in disks if disk.name == self._instance.id), None)
