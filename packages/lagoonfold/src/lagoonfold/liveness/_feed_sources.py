"""Which instances read the store for the others, and whom each instance asks.

If each instance followed the store by itself, its calls would grow with the fleet. So a few
instances of each failure domain read it, one for `INSTANCES_PER_READER`, and pass changes on to
those that ask. All instances that know the same live ones come to the same plan without a message.
"""

import heapq
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from lagoonfold._rendezvous import rendezvous_weight

INSTANCES_PER_READER = 12  # bounds the messages that a reader gets at any size of the fleet
MIN_READERS = 2  # one of them may be lost, or turned away by the store


@dataclass(frozen=True, slots=True)
class FeedPlan:
    """Whether an instance reads the store itself, and whom it asks otherwise, in that order."""

    is_reader: bool
    sources: tuple[str, ...]


def plan_feeds(own_id: str, domain_by_id: Mapping[str, str]) -> FeedPlan:
    """Return the plan of an instance, given the failure domains of the live ones.

    An instance asks the readers of its own failure domain first, then those of the others.

        plan_feeds("g2", {"g1": "a", "g2": "a", "g3": "b"})
        # FeedPlan(is_reader=False, sources=("g1", "g3")), if g1 is first in its domain
    """
    ids_by_domain: dict[str, list[str]] = defaultdict(list)
    for instance_id, domain in domain_by_id.items():
        ids_by_domain[domain].append(instance_id)
    readers = {
        reader
        for ids in ids_by_domain.values()
        for reader in heapq.nlargest(-(-len(ids) // INSTANCES_PER_READER), ids, key=_weight)
    }
    others = domain_by_id.keys() - readers
    readers.update(heapq.nlargest(MIN_READERS - len(readers), others, key=_weight))

    def preference(reader: str) -> tuple[bool, int]:
        is_own = domain_by_id[reader] == domain_by_id.get(own_id)
        return not is_own, -rendezvous_weight(own_id, reader)

    sources = sorted(readers - {own_id}, key=preference)
    return FeedPlan(is_reader=own_id in readers, sources=tuple(sources))


def _weight(instance_id: str) -> int:
    return rendezvous_weight("feed", instance_id)
