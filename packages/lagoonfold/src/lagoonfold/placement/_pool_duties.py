"""Which instance owns a pool of replicas, and which is its deputy.

Instances are ranked for each pool by rendezvous hashing weighted by their processor cores. The
pools of a service are assigned in order of their index, each to the first instance of its ranking
that may own another pool of the service: none owns two while one that is left over owns none, and
where there are more pools than instances, none owns more than its share by cores, rounded up. All
instances that know the same instances and cores come to the same result without a message.

A deputy places requests while the owner does not respond: the next instance of the ranking that
owns no pool of the service, or the next one if each owns some.
"""

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil

from lagoonfold._rendezvous import weighted_score
from lagoonfold.placement._replica_pools import ReplicaPool

_Ranked = tuple[float, str]  # negative score and id, so that the first is the best


@dataclass(frozen=True, slots=True)
class PoolDuty:
    """The instances that place the requests of a pool; `deputy` is None if there is only one."""

    owner: str
    deputy: str | None


class PoolDuties:
    """Assigns pools to instances.

    Rankings are kept and updated, so that the loss of an instance costs a look-up for each pool:
    with 380 instances and 128 pools, 48,640 hashes would be computed otherwise.

        duties = PoolDuties()
        duties.set_instances({"i1": 0.516, "i2": 2.15})
        duties.assign("models", 1)    # (PoolDuty(owner="i2", deputy="i1"),)
    """

    def __init__(self) -> None:
        self._cores_by_id: dict[str, float] = {}
        self._ranking_by_subject: dict[str, list[_Ranked]] = {}

    def set_instances(self, cores_by_id: Mapping[str, float]) -> None:
        """Rank exactly these instances, each with its cores (above 0)."""
        before, now = self._cores_by_id, dict(cores_by_id)
        gone = [(key, cores) for key, cores in before.items() if now.get(key) != cores]
        come = [(key, cores) for key, cores in now.items() if before.get(key) != cores]
        self._cores_by_id = now
        for subject, ranking in self._ranking_by_subject.items():
            for instance_id, cores in gone:
                del ranking[bisect_left(ranking, _ranked(subject, instance_id, cores))]
            for instance_id, cores in come:
                insort(ranking, _ranked(subject, instance_id, cores))

    def assign(self, service: str, count: int) -> tuple[PoolDuty, ...]:
        """Return who places the requests of each pool of a service, by the index of the pool."""
        rankings = [
            self._ranking(ReplicaPool(service, index, count).subject) for index in range(count)
        ]
        pools_by_owner: Counter[str] = Counter()
        owners: list[str] = []
        for index, ranking in enumerate(rankings):
            left_over = len(self._cores_by_id) - len(pools_by_owner)
            must_be_new = count - index <= left_over
            owner = next(
                instance_id
                for _, instance_id in ranking
                if pools_by_owner[instance_id]
                < (1 if must_be_new else self._most(instance_id, count))
            )
            pools_by_owner[owner] += 1
            owners.append(owner)
        return tuple(
            PoolDuty(owner, _deputy(ranking, owner, pools_by_owner))
            for owner, ranking in zip(owners, rankings, strict=True)
        )

    def _most(self, instance_id: str, count: int) -> int:
        """Return how many of a service's pools an instance may own."""
        share = self._cores_by_id[instance_id] / sum(self._cores_by_id.values())
        return max(1, ceil(count * share))

    def _ranking(self, subject: str) -> list[_Ranked]:
        ranking = self._ranking_by_subject.get(subject)
        if ranking is None:
            ranking = self._ranking_by_subject[subject] = sorted(
                _ranked(subject, instance_id, cores)
                for instance_id, cores in self._cores_by_id.items()
            )
        return ranking


def _ranked(subject: str, instance_id: str, cores: float) -> _Ranked:
    return -weighted_score(subject, instance_id, cores), instance_id


def _deputy(ranking: list[_Ranked], owner: str, pools_by_owner: Counter[str]) -> str | None:
    others = [instance_id for _, instance_id in ranking if instance_id != owner]
    free = (instance_id for instance_id in others if not pools_by_owner[instance_id])
    return next(free, others[0] if others else None)
