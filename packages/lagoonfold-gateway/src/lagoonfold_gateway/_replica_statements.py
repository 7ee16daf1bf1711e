"""Passes on what a replica says of itself in the head of an answer to those who act on it."""

from lagoonfold.forwarding import Replica
from lagoonfold.placement import MAX_FIGURE
from lagoonfold_gateway._dialect import HeaderNames
from lagoonfold_gateway._leaving_controller import LeavingController
from lagoonfold_gateway._limit_controller import LimitController
from lagoonfold_gateway.cold import ColdController
from lagoonfold_io import Headers, find_header
from lagoonfold_io.observe import EventLog

PACE_FIELDS = 4  # of the load: running, waiting, slots and, at some services, the pace

_log = EventLog("replicas")


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
        self._logged_start_by_id: dict[str, int] = {}

    def apply(self, replica: Replica, headers: Headers) -> float | None:
        """Apply the head of an answer that is the replica's own.

        Return until when the replica is cold by it, None if it does not tell.
        """
        self._limits.record_head(replica, self.named_limits(headers))
        self._leaving.record_head(replica, find_header(headers, self._names.replica_leaving))
        return self._cold.record_head(replica, find_header(headers, self._names.replica_cold))

    def told_pace(self, replica: Replica, headers: Headers) -> float | None:
        """Return the figure that an answer tells of the replica's pace, None without a usable one.

        One that cannot be used is logged once for each start of a replica.
        """
        text = find_header(headers, self._names.replica_load) or ""
        fields = text.split(",")
        if len(fields) < PACE_FIELDS:
            return None
        try:
            figure = float(fields[PACE_FIELDS - 1])
        except ValueError:
            figure = 0.0
        if 0 < figure <= MAX_FIGURE:
            return figure
        if self._logged_start_by_id.get(replica.replica_id) != replica.started:
            self._logged_start_by_id[replica.replica_id] = replica.started
            _log.warning("replica.pace_unusable", replica=replica.replica_id, load=text[:80])
        return None

    def named_limits(self, headers: Headers) -> tuple[str, ...]:
        """Return the values in which an answer names the replica's limit."""
        name = self._names.replica_limit
        return tuple(
            part.strip() for key, value in headers if key == name for part in value.split(",")
        )
