"""Divides the replicas of a service into pools, each of which one instance places requests on.

Instances that each place on their own knowledge send requests to the same replica at the same time,
the more of them the worse. So the requests for a pool are placed by one instance, its owner by
rendezvous hashing, which knows every request that it has placed there. A pool is small enough for
one instance at any size of service and large enough to even out the load of its slots.

The number of pools is a power of two, so that a pool is split in two, or joined with one other,
when it changes.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

from lagoonfold._rendezvous import rendezvous_weight, weighted_score
from lagoonfold.forwarding import Replica

MAX_HASHES = 8_192  # more than there are replicas
REPLICAS_PER_POOL = 12  # some 100 requests a second of a quarter of a second each


@dataclass(frozen=True, slots=True)
class ReplicaPool:
    """The replicas of a service whose ids hash to `index` out of `count`."""

    service: str
    index: int = 0
    count: int = 1

    @property
    def subject(self) -> str:
        """Return the name by which instances agree on the pool's owner."""
        return f"{self.service}/{self.index}"

    def holds(self, replica_id: str) -> bool:
        """Return whether a replica of the service belongs to this pool."""
        return self.count == 1 or _pool_hash(replica_id) % self.count == self.index

    def select(self, replicas: Iterable[Replica]) -> list[Replica]:
        """Return those of the service's replicas that belong to this pool."""
        return [replica for replica in replicas if self.holds(replica.replica_id)]


@lru_cache(MAX_HASHES)  # a pool looks at the id of each replica for each request
def _pool_hash(replica_id: str) -> int:
    return rendezvous_weight("pool", replica_id)


def pool_count(replicas: int) -> int:
    """Return the number of pools of a service."""
    return 2 ** max(0, math.floor(math.log2(max(1, replicas / REPLICAS_PER_POOL))))


def pool_of(replica: Replica, replicas: int) -> ReplicaPool:
    """Return the pool of a replica whose service has that many replicas."""
    count = pool_count(replicas)
    index = _pool_hash(replica.replica_id) % count
    return ReplicaPool(replica.service, index, count)


def rank_pools(
    service: str, replicas: list[Replica], key: str, *, listed: int | None = None
) -> list[ReplicaPool]:
    """Return the pools of a service that have replicas, the pool of a key's requests first.

    The service is divided by the number of its `listed` replicas, by default that of `replicas`, so
    that the pools stay while some of their replicas get no new requests.

    Requests of one key, such as those of a session, go to the same pool while the replicas stay;
    the keys are spread in proportion to the pools' slots.

        rank_pools("models", directory.available_for("models"), session_id)[0]
    """
    count = pool_count(len(replicas) if listed is None else listed)
    slots_by_index: Counter[int] = Counter()
    for replica in replicas:
        slots_by_index[_pool_hash(replica.replica_id) % count] += replica.slots
    pools = [ReplicaPool(service, index, count) for index in sorted(slots_by_index)]
    scores = {pool: weighted_score(key, pool.subject, slots_by_index[pool.index]) for pool in pools}
    return sorted(scores, key=lambda pool: scores[pool], reverse=True)


def pools_holding(replicas: Iterable[Replica], pools: list[ReplicaPool]) -> list[ReplicaPool]:
    """Return those of the pools of one service that hold any of some replicas, in their order."""
    if not pools:
        return []
    held = {_pool_hash(replica.replica_id) % pools[0].count for replica in replicas}
    return [pool for pool in pools if pool.index in held]
