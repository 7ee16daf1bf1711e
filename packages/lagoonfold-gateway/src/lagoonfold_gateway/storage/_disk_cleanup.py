"""Removes the entries of disks whose instances are gone for good.

Reads `disks`. An instance that has not renewed its entry for `forget_after_s`, and does not answer,
holds no turn that has not expired (`_disk_registration`).
"""

import trio

from lagoonfold import Cell, Check, TransactionalStore
from lagoonfold.histories import Disk
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway.histories._disk_controller import DISK_PREFIX, DiskController
from lagoonfold_gateway.storage._repair import Repair
from lagoonfold_io.observe import EventLog

CHECK_INTERVAL_S = 10.0

_log = EventLog("disks")


class DiskCleanup:
    """Looks for entries that nobody renews, at one storage instance."""

    def __init__(
        self,
        disks: Cell[tuple[Disk, ...] | None],
        disk_controller: DiskController,
        repair: Repair,
        store: TransactionalStore,
        *,
        forget_after_s: float,
    ) -> None:
        self._disks = disks
        self._disk_controller = disk_controller
        self._repair = repair
        self._store = store
        self._forget_after_s = forget_after_s
        self._seen_by_name: dict[str, tuple[int, float]] = {}

    async def run(self) -> None:
        """Look at all entries now and then, until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Remove the entries that are due."""
        if self._disk_controller.watch.is_failing:
            # Renewals may have come that this instance has not seen.
            self._seen_by_name.clear()
            return
        for disk in self._disks.read() or ():
            revision = self._disk_controller.revision_by_name.get(disk.name, 0)
            seen_revision, seen_s = self._seen_by_name.get(disk.name, (0, 0.0))
            if revision != seen_revision:
                self._seen_by_name[disk.name] = (revision, now_s())
            elif now_s() - seen_s > self._forget_after_s and self._repair.is_lost(disk.name):
                await self._remove(disk, revision)

    async def _remove(self, disk: Disk, revision: int) -> None:
        key = DISK_PREFIX + disk.name
        removed = await self._store.commit(
            checks=(Check(key=key, revision=revision),), deletes=(key,)
        )
        _log.warning("disk.forgotten", disk=disk.name, outcome=str(removed))
