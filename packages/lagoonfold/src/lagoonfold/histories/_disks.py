"""The disks that hold kept turns, and which of them a program's turns go to.

All instances that know the same disks rank them alike by rendezvous hashing, so a turn is looked up
first where it was most likely written.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from lagoonfold._rendezvous import rendezvous_weight


@dataclass(frozen=True, slots=True, kw_only=True)
class Disk:
    """A storage instance that is listed as a holder of turns.

    `disk_id` names what its disk holds: it is another one after the disk has been lost. A leaving
    disk is read and gets no new turns.
    """

    name: str
    disk_id: str
    address: str
    failure_domain: str
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class CopyRule:
    """On how many disks a turn must lie, and in how many failure domains at least.

    CopyRule.for_losses(machines=1, domains=0)    # CopyRule(copies=2, domains=1)
    """

    copies: int
    domains: int

    @classmethod
    def for_losses(cls, *, machines: int, domains: int) -> "CopyRule":
        """Return the rule that bears the loss of so many disks, or of so many failure domains."""
        return cls(copies=max(machines, domains) + 1, domains=domains + 1)

    def is_met_by(self, disks: Iterable[Disk]) -> bool:
        """Return whether a turn on these disks has enough copies."""
        by_name = {disk.name: disk for disk in disks}
        domains = {disk.failure_domain for disk in by_name.values()}
        return len(by_name) >= self.copies and len(domains) >= self.domains


def rank_disks(program: str, disks: Iterable[Disk]) -> list[Disk]:
    """Return disks in the order in which a program's turns use them.

    The first ones are spread over as many failure domains as there are.
    """
    used_of_domain: Counter[str] = Counter()
    order: list[tuple[int, Disk]] = []
    for disk in sorted(disks, key=lambda disk: -rendezvous_weight(program, disk.name)):
        order.append((used_of_domain[disk.failure_domain], disk))
        used_of_domain[disk.failure_domain] += 1
    # Sorting is stable: within a round the order by weight stays.
    return [disk for _, disk in sorted(order, key=lambda entry: entry[0])]
