"""Decides which kept turns a storage instance copies to which other disks.

Each holder of a turn looks after all its copies: it offers the turn to the disks that should hold
it, and copies it to those that lack it. A turn is settled once they all have said that they hold
it for as long. When a disk comes, leaves, is lost or is empty again, all turns are unsettled, and a
turn that is kept for longer is unsettled too: a disk that was away may have missed that. Nothing is
agreed on: two holders that copy the same turn write the same bytes. Everything is decided from
arguments.
"""

import math
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping

from lagoonfold.histories._disks import CopyRule, Disk, rank_disks

MAX_COPY_LAG_S = 2.0  # that a copy may end before another one; a disk has so long to write


def lacks_copy(kept_for_s: float, offered_for_s: float) -> bool:
    """Return whether a copy that is kept for some seconds, 0 for none, ends too soon.

    `offered_for_s` is for how long the disk that offers the turn keeps its own copy.
    """
    return kept_for_s < offered_for_s - MAX_COPY_LAG_S


class CopyTracker:
    """Tracks on which disks the turns of one disk have copies; turns are named by their keys.

    Until when turns are kept is counted on the clock of this disk's instance.

    tracker = CopyTracker("s1", rule)
    tracker.set_disks(disks, lost=())
    tracker.add("t1", "program-1", kept_until_s=120.0)
    tracker.wanted()    # {"s2": ["t1"]}
    tracker.record_held("disk-2", {"t1": 120.0})
    tracker.wanted()    # {}
    tracker.add("t1", "program-1", kept_until_s=180.0)
    tracker.wanted()    # {"s2": ["t1"]}
    """

    def __init__(self, own_name: str, rule: CopyRule) -> None:
        self._own_name = own_name
        self._rule = rule
        self._disk_by_name: dict[str, Disk] = {}
        self._usable: tuple[Disk, ...] = ()
        self._program_by_key: dict[str, str] = {}
        self._kept_until_s_by_key: dict[str, float] = {}
        self._holders_by_key: dict[str, dict[str, float]] = {}
        self._unsettled: set[str] = set()
        self._targets_by_program: dict[str, tuple[Disk, ...]] = {}

    def set_disks(self, disks: Iterable[Disk], *, lost: Collection[str]) -> bool:
        """Set the listed disks, and the names of those that do not answer; return if that is news.

        Lost and leaving disks are no targets.
        """
        disk_by_name = {disk.name: disk for disk in disks}
        usable = tuple(
            disk
            for disk in disk_by_name.values()
            if not disk.is_leaving and (disk.name not in lost or disk.name == self._own_name)
        )
        if disk_by_name == self._disk_by_name and usable == self._usable:
            return False
        self._disk_by_name, self._usable = disk_by_name, usable
        self._targets_by_program.clear()
        self._unsettled = set(self._program_by_key)
        return True

    def add(self, key: str, program: str, *, kept_until_s: float) -> None:
        """Add a turn that this disk holds now, or keeps for longer."""
        if kept_until_s <= self._kept_until_s_by_key.get(key, -math.inf):
            return
        self._program_by_key[key] = program
        self._kept_until_s_by_key[key] = kept_until_s
        self._holders_by_key.setdefault(key, {})
        self._unsettled.add(key)

    def remove(self, key: str) -> None:
        """Remove a turn that has expired."""
        self._program_by_key.pop(key, None)
        self._kept_until_s_by_key.pop(key, None)
        self._holders_by_key.pop(key, None)
        self._unsettled.discard(key)

    def kept_until_s(self, keys: Iterable[str]) -> dict[str, float]:
        """Return until when this disk keeps turns; those that have expired are left out."""
        kept = self._kept_until_s_by_key
        return {key: kept[key] for key in keys if key in kept}

    def record_held(self, disk_id: str, kept_until_s_by_key: Mapping[str, float]) -> None:
        """Record that a disk has said that it holds turns, for as long as they were offered."""
        for key, kept_until_s in kept_until_s_by_key.items():
            holders = self._holders_by_key.get(key)
            if holders is not None:
                holders[disk_id] = max(kept_until_s, holders.get(disk_id, kept_until_s))

    def wanted(self) -> dict[str, list[str]]:
        """Return the turns to offer, by the name of the disk; those with fewest copies first."""
        keys_by_name: dict[str, list[str]] = defaultdict(list)
        for key in sorted(self._unsettled, key=lambda turn: len(self._holders(turn))):
            missing = self._missing(key)
            for disk in missing:
                keys_by_name[disk.name].append(key)
            if not missing and self._has_enough(key):
                self._unsettled.discard(key)
        return dict(keys_by_name)

    def short(self) -> list[str]:
        """Return the turns that are not known to have enough copies on listed disks."""
        return [key for key in self._unsettled if not self._has_enough(key)]

    def _missing(self, key: str) -> list[Disk]:
        holders = self._holder_ids(key)
        targets = self._targets(self._program_by_key[key])
        return [
            disk for disk in targets if disk.name != self._own_name and disk.disk_id not in holders
        ]

    def _targets(self, program: str) -> tuple[Disk, ...]:
        targets = self._targets_by_program.get(program)
        if targets is None:
            targets = tuple(rank_disks(program, self._usable)[: self._rule.copies])
            self._targets_by_program[program] = targets
        return targets

    def _holders(self, key: str) -> list[Disk]:
        """Return the usable disks that hold a turn, this one included unless it leaves."""
        held = self._holder_ids(key)
        return [
            disk for disk in self._usable if disk.name == self._own_name or disk.disk_id in held
        ]

    def _holder_ids(self, key: str) -> set[str]:
        """Return the disks that hold a turn for as long as this one does."""
        own_until_s = self._kept_until_s_by_key[key]
        holders = self._holders_by_key[key].items()
        return {disk_id for disk_id, until_s in holders if until_s >= own_until_s}

    def _has_enough(self, key: str) -> bool:
        return self._rule.is_met_by(self._holders(key))
