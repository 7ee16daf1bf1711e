"""Passes on what a replica says of itself in the head of an answer to those who act on it."""

from lagoonfold.forwarding import Replica
from lagoonfold_gateway._dialect import HeaderNames
from lagoonfold_gateway._leaving_controller import LeavingController
from lagoonfold_gateway._limit_controller import LimitController
from lagoonfold_gateway.cold import ColdController
from lagoonfold_io import Headers, find_header


class ReplicaStatements:
    """Applies the limits that replicas name, and their word that they are cold or leave."""

    def __init__(
        self,
        names: HeaderNames,
        limits: LimitController,
        leaving: LeavingController,
        cold: ColdController,
    ) -> None:
        self._names = names
        self._limits = limits
        self._leaving = leaving
        self._cold = cold

    def apply(self, replica: Replica, headers: Headers) -> float | None:
        """Apply the head of an answer that is the replica's own.

        Return until when the replica is cold by it, None if it does not tell.
        """
        self._limits.record_head(replica, self.named_limits(headers))
        self._leaving.record_head(replica, find_header(headers, self._names.replica_leaving))
        return self._cold.record_head(replica, find_header(headers, self._names.replica_cold))

    def named_limits(self, headers: Headers) -> tuple[str, ...]:
        """Return the values in which an answer names the replica's limit."""
        name = self._names.replica_limit
        return tuple(
            part.strip() for key, value in headers if key == name for part in value.split(",")
        )
