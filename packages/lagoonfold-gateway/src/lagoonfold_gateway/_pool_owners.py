"""Finds the instances that place the requests for a replica.

Reads `replicas`, `live` and `capacities`.
"""

from collections import Counter

from lagoonfold.forwarding import (
    Replica,
    ReplicaDirectory,
)
from lagoonfold.liveness import DEFAULT_CORES
from lagoonfold.placement import PoolDuties, PoolDuty, ReplicaPool, pool_count, pool_of
from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._presence import Presence


class PoolOwners:
    """Knows the owners and deputies of the pools of replicas, by the live instances."""

    def __init__(self, board: GatewayBoard, presence: Presence) -> None:
        self._board = board
        self._presence = presence
        self._duties = PoolDuties()
        self._replicas_by_service: Counter[str] = Counter()
        self._assigned_by_pools: dict[tuple[str, int], tuple[PoolDuty, ...]] = {}
        self._owner_and_since_s_by_pool: dict[ReplicaPool, tuple[str, float]] = {}
        board.replicas.subscribe(self._count)
        board.capacities.subscribe(lambda cores_by_id: self._rank(now_s()))
        board.live.subscribe(lambda view: self._rank(view.since_s))
        self._rank(board.live.read().since_s)

    def duty(self, pool: ReplicaPool) -> PoolDuty:
        """Return the live instances that place the requests of a pool."""
        self._presence.check()
        return self._assign(pool.service, pool.count)[pool.index]

    def owner(self, replica: Replica) -> str:
        """Return the live instance that owns a replica's pool."""
        return self.duty(self._pool_of(replica)).owner

    def owned_since_s(self, replica: Replica) -> float:
        """Return since when the owner of a replica's pool owns it by what this instance knows."""
        known = self._owner_and_since_s_by_pool.get(self._pool_of(replica))
        return known[1] if known is not None else now_s()

    def _pool_of(self, replica: Replica) -> ReplicaPool:
        return pool_of(replica, self._replicas_by_service[replica.service])

    def _count(self, directory: ReplicaDirectory) -> None:
        before = self._replicas_by_service
        self._replicas_by_service = Counter(
            replica.service for replica in directory.all() if not replica.is_draining
        )
        if self._replicas_by_service != before:
            self._note_owners(now_s())

    def _rank(self, changed_s: float) -> None:
        cores_by_id = self._board.capacities.read()
        live = self._board.live.read().ids
        self._duties.set_instances({key: cores_by_id.get(key, DEFAULT_CORES) for key in live})
        self._assigned_by_pools.clear()
        self._note_owners(changed_s)

    def _assign(self, service: str, count: int) -> tuple[PoolDuty, ...]:
        assigned = self._assigned_by_pools.get((service, count))
        if assigned is None:
            assigned = self._duties.assign(service, count)
            self._assigned_by_pools[service, count] = assigned
        return assigned

    def _note_owners(self, changed_s: float) -> None:
        """Note since when each pool has its owner; a pool whose number changed is a new one."""
        if not self._board.live.read().ids:
            return
        before = self._owner_and_since_s_by_pool
        self._owner_and_since_s_by_pool = {}
        for service, replicas in self._replicas_by_service.items():
            count = pool_count(replicas)
            for index, duty in enumerate(self._assign(service, count)):
                pool = ReplicaPool(service, index, count)
                owner, since_s = before.get(pool, ("", changed_s))
                since_s = since_s if owner == duty.owner else changed_s
                self._owner_and_since_s_by_pool[pool] = (duty.owner, since_s)
