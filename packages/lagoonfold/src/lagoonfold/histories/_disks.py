"""The disks that hold kept turns, and which of them a program's turns go to.

All instances that know the same disks rank them alike by rendezvous hashing, so a turn is looked up
first where it was most likely written.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lagoonfold._rendezvous import rendezvous_weight


@dataclass(frozen=True, slots=True, kw_only=True)
class Disk:
    """A storage instance that is listed as a holder of turns.

    `disk_id` names what its disk holds: it is another one after the disk has been lost. `region` is
    empty where copies need not be spread over regions. A leaving disk is read and gets no new
    turns.
    """

    name: str
    disk_id: str
    address: str
    failure_domain: str
    region: str = ""
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class CopyRule:
    """On how many disks a turn must lie, and in how many failure domains and regions at least.

    CopyRule.for_losses(machines=1, domains=0)    # CopyRule(copies=2, domains=1, regions=1)
    """

    copies: int
    domains: int
    regions: int = 1

    @classmethod
    def for_losses(cls, *, machines: int, domains: int, regions: int = 0) -> "CopyRule":
        """Return the rule that bears the loss of so many disks, failure domains or regions."""
        return cls(
            copies=max(machines, domains, regions) + 1, domains=domains + 1, regions=regions + 1
        )

    def is_met_by(self, disks: Iterable[Disk]) -> bool:
        """Return whether a turn on these disks has enough copies."""
        by_name = {disk.name: disk for disk in disks}
        domains = {disk.failure_domain for disk in by_name.values()}
        regions = {disk.region for disk in by_name.values()}
        is_spread = len(domains) >= self.domains and len(regions) >= self.regions
        return len(by_name) >= self.copies and is_spread


def rank_disks(program: str, disks: Iterable[Disk]) -> list[Disk]:
    """Return disks in the order in which a program's turns use them.

    The first ones are spread over as many regions as there are, and over as many failure domains
    within each.
    """
    by_weight = sorted(disks, key=lambda disk: -rendezvous_weight(program, disk.name))
    by_domain = _spread(by_weight, lambda disk: disk.failure_domain)
    return _spread(by_domain, lambda disk: disk.region)


def _spread(disks: list[Disk], group_of: Callable[[Disk], str]) -> list[Disk]:
    """Return the first disk of each group, then the second of each, and so on."""
    used_of_group: Counter[str] = Counter()
    order: list[tuple[int, Disk]] = []
    for disk in disks:
        group = group_of(disk)
        order.append((used_of_group[group], disk))
        used_of_group[group] += 1
    # Sorting is stable: within a round the order stays.
    return [disk for _, disk in sorted(order, key=lambda entry: entry[0])]
