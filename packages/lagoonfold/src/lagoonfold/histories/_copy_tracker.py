"""Decides which kept turns a storage instance copies to which other disks.

Each holder of a turn looks after all its copies: it offers the turn to the disks that should hold
it, and copies it to those that lack it. A turn is settled once they all have said that they hold
it. When a disk comes, leaves, is lost or is empty again, all turns are unsettled. Nothing is agreed
on: two holders that copy the same turn write the same bytes. Everything is decided from arguments.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable

from lagoonfold.histories._disks import CopyRule, Disk, rank_disks


class CopyTracker:
    """Tracks on which disks the turns of one disk have copies; turns are named by their keys.

    tracker = CopyTracker("s1", rule)
    tracker.set_disks(disks, lost=())
    tracker.add("t1", "program-1")
    tracker.wanted()    # {"s2": ["t1"]}
    tracker.record_held("disk-2", ["t1"])
    tracker.wanted()    # {}
    """

    def __init__(self, own_name: str, rule: CopyRule) -> None:
        self._own_name = own_name
        self._rule = rule
        self._disk_by_name: dict[str, Disk] = {}
        self._usable: tuple[Disk, ...] = ()
        self._program_by_key: dict[str, str] = {}
        self._holders_by_key: dict[str, set[str]] = {}
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

    def add(self, key: str, program: str) -> None:
        """Add a turn that this disk holds now."""
        if key not in self._program_by_key:
            self._program_by_key[key] = program
            self._holders_by_key[key] = set()
            self._unsettled.add(key)

    def remove(self, key: str) -> None:
        """Remove a turn that has expired."""
        self._program_by_key.pop(key, None)
        self._holders_by_key.pop(key, None)
        self._unsettled.discard(key)

    def record_held(self, disk_id: str, keys: Iterable[str]) -> None:
        """Record that a disk has said that it holds turns."""
        for key in keys:
            holders = self._holders_by_key.get(key)
            if holders is not None:
                holders.add(disk_id)

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
        holders = self._holders_by_key[key]
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
        held = self._holders_by_key[key]
        return [
            disk for disk in self._usable if disk.name == self._own_name or disk.disk_id in held
        ]

    def _has_enough(self, key: str) -> bool:
        return self._rule.is_met_by(self._holders(key))
