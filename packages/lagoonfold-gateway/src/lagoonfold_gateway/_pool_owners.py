"""Finds the instance that places the requests for a replica.

Reads `replicas`.
"""

from collections import Counter

from lagoonfold.forwarding import (
    Replica,
    ReplicaDirectory,
)
from lagoonfold.placement import pool_of
from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway._member_controller import MemberController


class PoolOwners:
    """Knows the owners of the pools of replicas."""

    def __init__(self, board: GatewayBoard, members: MemberController) -> None:
        self._members = members
        self._replicas_by_service: Counter[str] = Counter()
        board.replicas.subscribe(self._count)

    def owner(self, replica: Replica) -> str:
        """Return the live instance that owns a replica's pool."""
        pool = pool_of(replica, self._replicas_by_service[replica.service])
        return self._members.owner(pool.subject)

    def _count(self, directory: ReplicaDirectory) -> None:
        self._replicas_by_service = Counter(
            replica.service for replica in directory.all() if not replica.is_draining
        )
