"""Sees to it that each turn of this disk has its copies on other disks.

Reads `disks`. See `lagoonfold.histories.CopyTracker` for what is copied where. Each disk is asked
at least once in `PROBE_INTERVAL_S`, so that one that is lost, or that came back empty, is noticed
while no new turns come. What is copied is limited to a rate.
"""

from dataclasses import replace

import trio
from result import Ok

from lagoonfold import Cell
from lagoonfold.histories import CopyRule, CopyTracker, Disk, KeptTurn
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._messages import CopiesLacking, CopyOffer, KeepTurns, TurnsKept
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_gateway.storage._disk_registration import DiskRegistration
from lagoonfold_gateway.storage._settings import StorageSettings
from lagoonfold_gateway.storage._turn_store import TurnStore
from lagoonfold_io.observe import EventLog, Metrics

REPAIR_INTERVAL_S = 0.25  # new turns are on their way to their disks meanwhile
PROBE_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 0.5  # for an answer from memory
KEEP_TIMEOUT_S = 2.0  # for a disk to write a batch
LOST_AFTER_S = 1.5  # without an answer, the turns of a disk are copied elsewhere
MAX_OFFERED = 1_000  # keys in one message, some 40 KB
MAX_BATCH_BYTES = 262_144  # of turns in one message
BYTES_PER_MB = 1_000_000

_log = EventLog("repair")


class Repair:
    """Copies turns to the disks that should hold them and do not."""

    def __init__(
        self,
        settings: StorageSettings,
        disks: Cell[tuple[Disk, ...] | None],
        bus: PeerBus,
        turn_store: TurnStore,
        registration: DiskRegistration,
        metrics: Metrics,
    ) -> None:
        self._own_name = settings.instance.id
        self._rule: CopyRule = settings.histories.rule()
        self._bytes_per_s = settings.repair.mb_per_s * BYTES_PER_MB
        self._disks = disks
        self._bus = bus
        self._turn_store = turn_store
        self._registration = registration
        self._metrics = metrics
        self._tracker = CopyTracker(self._own_name, self._rule)
        self._answered_s_by_name: dict[str, float] = {}
        self._asked_s_by_name: dict[str, float] = {}
        self._disk_id_by_name: dict[str, str] = {}
        self._lost: set[str] = set()
        self._tracker_knows_leaving = False
        turn_store.on_kept = self._add
        turn_store.on_removed = self._tracker.remove
        turn_store.tell_all_kept()

    def _add(self, key: str, program: str, kept_until_s: float) -> None:
        self._tracker.add(key, program, kept_until_s=kept_until_s)

    def is_lost(self, name: str) -> bool:
        """Return whether a disk has not answered this instance for `LOST_AFTER_S`."""
        return name in self._lost

    def is_disk_empty(self) -> bool:
        """Return whether this disk leaves and each of its turns has enough copies elsewhere."""
        is_known = self._tracker_knows_leaving and self._turn_store.is_idle
        return is_known and not self._tracker.short()

    async def run(self) -> None:
        """Offer and copy turns until cancelled."""
        while True:
            await trio.sleep(REPAIR_INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Offer what is not settled to each disk that should hold it, and copy what it lacks."""
        others = [disk for disk in self._disks.read() or () if disk.name != self._own_name]
        self._note_lost(others)
        wanted = self._tracker.wanted()
        due = {disk.name for disk in others if self._is_probe_due(disk)}
        async with trio.open_nursery() as nursery:
            for name in sorted(due | wanted.keys()):
                nursery.start_soon(self._supply, name, wanted.get(name, []))
        self._metrics.set_gauge("turns_short_of_copies", len(self._tracker.short()))

    async def _supply(self, name: str, keys: list[str]) -> None:
        """Offer turns to one disk, and send those that it lacks."""
        for start in range(0, max(1, len(keys)), MAX_OFFERED):
            offered = keys[start : start + MAX_OFFERED]
            self._asked_s_by_name[name] = now_s()
            kept_until_s_by_key = self._tracker.kept_until_s(offered)
            offer = CopyOffer(
                keys=tuple(offered), kept_for_s=tuple(map(self._turn_store.kept_for_s, offered))
            )
            answer = await self._bus.call(name, offer, timeout_s=CALL_TIMEOUT_S)
            if not isinstance(answer, Ok) or not isinstance(answer.ok_value, CopiesLacking):
                return
            self._answered_s_by_name[name] = now_s()
            lacking = answer.ok_value
            self._note_disk_id(name, lacking.disk_id)
            for key in lacking.keys:
                kept_until_s_by_key.pop(key, None)
            self._tracker.record_held(lacking.disk_id, kept_until_s_by_key)
            if not await self._copy(name, lacking):
                return

    async def _copy(self, name: str, lacking: CopiesLacking) -> bool:
        """Send turns to a disk in batches; return whether it has taken all of them."""
        batch: list[KeptTurn] = []
        size = 0
        for position, key in enumerate(lacking.keys):
            turn = await self._turn_store.read(key)
            if turn is not None:
                batch.append(turn)
                size += turn.size_bytes
            is_last = position == len(lacking.keys) - 1
            if batch and (is_last or size >= MAX_BATCH_BYTES):
                if not await self._send(name, batch):
                    return False
                await trio.sleep(size / self._bytes_per_s)
                batch, size = [], 0
        return True

    async def _send(self, name: str, turns: list[KeptTurn]) -> bool:
        keep_s = tuple(self._turn_store.kept_for_s(turn.key) for turn in turns)
        kept_until_s_by_key = self._tracker.kept_until_s(turn.key for turn in turns)
        message = KeepTurns(turns=tuple(turns), keep_s=keep_s)
        answer = await self._bus.call(name, message, timeout_s=KEEP_TIMEOUT_S)
        if not isinstance(answer, Ok) or not isinstance(answer.ok_value, TurnsKept):
            reason = answer.err_value.value if not isinstance(answer, Ok) else answer.ok_value
            _log.warning("turns.not_copied", disk=name, turns=len(turns), reason=str(reason))
            return False
        self._tracker.record_held(answer.ok_value.disk_id, kept_until_s_by_key)
        size = sum(turn.size_bytes for turn in turns)
        self._metrics.count("turns_copied", name, len(turns))
        self._metrics.count("turn_bytes_copied", name, size)
        _log.info("turns.copied", disk=name, turns=len(turns), size=size)
        return True

    def _is_probe_due(self, disk: Disk) -> bool:
        return now_s() - self._asked_s_by_name.get(disk.name, 0.0) >= PROBE_INTERVAL_S

    def _note_disk_id(self, name: str, disk_id: str) -> None:
        """Note that a disk has other contents than before, which the list tells later."""
        if self._disk_id_by_name.get(name, disk_id) != disk_id:
            _log.warning("disk.contents_lost", disk=name, disk_id=disk_id)
        self._disk_id_by_name[name] = disk_id

    def _note_lost(self, others: list[Disk]) -> None:
        """Tell the tracker the disks as they are now, by the list and by their own answers."""
        now = now_s()
        lost: set[str] = set()
        for disk in others:
            if now - self._answered_s_by_name.setdefault(disk.name, now) > LOST_AFTER_S:
                lost.add(disk.name)
        for name in sorted(lost ^ self._lost):
            _log.warning("disk.silent" if name in lost else "disk.answers_again", disk=name)
        self._lost = lost
        is_leaving = self._registration.is_leaving
        own = [
            replace(disk, is_leaving=is_leaving)
            for disk in self._disks.read() or ()
            if disk.name == self._own_name
        ]
        present = [
            replace(disk, disk_id=self._disk_id_by_name.get(disk.name, disk.disk_id))
            for disk in others
        ]
        if self._tracker.set_disks([*own, *present], lost=lost):
            _log.info("repair.disks_changed", disks=len(present) + 1, lost=sorted(lost))
        self._tracker_knows_leaving = is_leaving
