"""Keeps what is known of cold replicas up to date, and logs which are cold.

Reads `config`, `replicas` and `evacuations`. Every instance learns the same from the entries and
from the operator's keys, so the next owner of a pool knows which of its replicas are cold without a
message. Who places for them is decided as for replicas with a limit.
"""

from collections.abc import Callable

import trio
from result import Err

from lagoonfold.forwarding import Replica, ReplicaDirectory
from lagoonfold.placement import ColdReplicas, ColdTerms, is_cold_time, read_cold_terms
from lagoonfold_gateway._board import ConfigView, GatewayBoard
from lagoonfold_gateway._clock import now_s, unix_s
from lagoonfold_gateway._replica_controller import ReplicaController
from lagoonfold_io.observe import EventLog

CHECK_INTERVAL_S = 1.0  # between looks for replicas that are no longer cold, for the log only
MILLISECONDS_PER_S = 1_000
SHOWN_CHARS = 40  # of a value that is not a time, which may be as long as a head

_log = EventLog("cold")


class ColdController:
    """Holds the cold replicas of all services that have any."""

    def __init__(
        self,
        board: GatewayBoard,
        placing_since_s: Callable[[str], float | None],
        replica_controller: ReplicaController,
    ) -> None:
        self.cold = ColdReplicas(placing_since_s)
        self._board = board
        self._has_listing = False
        self._logged_ids: set[str] = set()
        self._unusable_by_id: dict[str, str] = {}
        replica_controller.on_listed = self._record_listing
        replica_controller.on_written = self._record_written
        board.config.subscribe(self._apply_config)
        board.replicas.subscribe(self._apply_directory)

    def record_head(self, replica: Replica, text: str | None) -> float | None:
        """Record for how many milliseconds a replica is still cold by the head of its answer.

        Return until when that is on this instance's clock, None if the answer does not tell.
        """
        if text is None:
            return None
        try:
            cold_s = float(text) / MILLISECONDS_PER_S
        except ValueError:
            self._log_unusable(replica.replica_id, text[:SHOWN_CHARS])
            return None
        if not self._check(replica.replica_id, cold_s):
            return None
        now = now_s()
        self.cold.record_told(replica.replica_id, replica.started, cold_s, now_s=now)
        return now + cold_s

    async def run(self) -> None:
        """Log replicas that become cold or warm, until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self._log_changes()

    def _apply_config(self, view: ConfigView | None) -> None:
        if view is None:
            return
        terms_by_service: dict[str, ColdTerms] = {}
        for name, service in view.config.services_by_name.items():
            terms = read_cold_terms(service)
            if isinstance(terms, Err):
                _log.warning("service.cold_unusable", service=name, reason=terms.err_value)
            elif terms.ok_value is not None:
                terms_by_service[name] = terms.ok_value
        self.cold.set_terms(terms_by_service)

    def _apply_directory(self, directory: ReplicaDirectory) -> None:
        replicas = directory.all()
        self._keep_logged({replica.replica_id for replica in replicas})
        for replica in replicas:
            if replica.cold_s is not None:
                self._check(replica.replica_id, replica.cold_s)
        self.cold.apply_listed(
            replicas,
            is_first=not self._has_listing,
            now_s=now_s(),
            unix_s=unix_s(),
            restored_s_by_domain=self._board.evacuations.read().restored_s_by_domain,
        )
        self._log_changes()

    def _record_listing(self) -> None:
        self._has_listing = True

    def _record_written(self, replica: Replica) -> None:
        self.cold.record_written(replica, now_s=now_s())

    def _check(self, replica_id: str, cold_s: float) -> bool:
        """Return whether a replica may be cold for that long; log it if not."""
        if is_cold_time(cold_s):
            return True
        self._log_unusable(replica_id, str(cold_s))
        return False

    def _keep_logged(self, listed_ids: set[str]) -> None:
        for replica_id in self._unusable_by_id.keys() - listed_ids:
            del self._unusable_by_id[replica_id]

    def _log_unusable(self, replica_id: str, value: str) -> None:
        if self._unusable_by_id.get(replica_id) != value:
            self._unusable_by_id[replica_id] = value
            _log.warning("replica.cold_unusable", replica=replica_id, value=value)

    def _log_changes(self) -> None:
        now = now_s()
        cold_ids = set(self.cold.cold_ids(now_s=now))
        for replica_id in sorted(cold_ids - self._logged_ids):
            left_s = round(self.cold.until_s(replica_id) - now, 3)
            _log.info("replica.cold", replica=replica_id, left_s=left_s)
        for replica_id in sorted(self._logged_ids - cold_ids):
            _log.info("replica.warm", replica=replica_id)
        self._logged_ids = cold_ids
