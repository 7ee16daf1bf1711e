"""Follows the replicas' entries in the store.

Reads and writes `replicas`. An entry that cannot be read adds no replica, and removes the one that
it listed before.
"""

from collections.abc import Callable

import trio
from result import Err

from lagoonfold import ABSENT_REVISION, Entry, Listing, WatchEvent
from lagoonfold.forwarding import (
    Replica,
    check_replica,
)
from lagoonfold.placement import ReplicaTracker
from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._dialect import Dialect
from lagoonfold_gateway._store_watch import COPY_TERMS, ReadableStore, StoreWatch, key_suffix
from lagoonfold_io import HttpClient
from lagoonfold_io.observe import EventLog

POLL_INTERVAL_S = 0.5  # a quarter of the time in which a draining replica must get no new requests
CHECK_INTERVAL_S = 0.1  # between checks for removals whose grace period is over

_log = EventLog("replicas")


class ReplicaController:
    """Updates the directory of replicas, and closes idle connections to replicas that have left.

    `on_listed` is called after each listing, `on_written` with each entry that has been written.
    """

    def __init__(
        self,
        dialect: Dialect,
        board: GatewayBoard,
        store: ReadableStore,
        replica_tracker: ReplicaTracker,
        client: HttpClient,
    ) -> None:
        self._dialect = dialect
        self._board = board
        self._replica_tracker = replica_tracker
        self._client = client
        self._has_changes = False
        self.on_listed: Callable[[], None] = lambda: None
        self.on_written: Callable[[Replica], None] = lambda replica: None
        self.watch = StoreWatch(
            store,
            dialect.replica_prefix,
            on_listing=self._apply_listing,
            on_event=self._apply_event,
            on_revision=self._publish_changes,
            on_store_recovered=self._begin_grace,
            terms=COPY_TERMS,
        )

    async def expire(self) -> None:
        """Remove entries whose grace period is over, until cancelled."""
        directory = self._board.replicas.read()
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if directory.expire(now_s=now_s()):
                _log.info("replicas.lapsed", left=len(directory.all()))
                self._publish()

    def _begin_grace(self) -> None:
        self._board.replicas.read().begin_grace(now_s=now_s())

    def _apply_listing(self, listing: Listing) -> None:
        replica_by_id: dict[str, Replica] = {}
        for entry in listing.entries:
            replica = self._decode(entry)
            if replica is not None:
                replica_by_id[replica.replica_id] = replica
                self._apply_change(replica)
        self._board.replicas.read().replace_all(replica_by_id, now_s=now_s())
        _log.info("replicas.listed", replicas=len(replica_by_id), revision=listing.revision)
        self._publish()
        self.on_listed()

    def _apply_event(self, event: WatchEvent) -> None:
        self._has_changes = True
        directory = self._board.replicas.read()
        replica_id = key_suffix(event.entry, self._dialect.replica_prefix)
        if event.entry.revision == ABSENT_REVISION:
            known = directory.get(replica_id)
            directory.remove(replica_id, now_s=now_s())
            is_held = directory.get(replica_id) is not None
            _log.info("replica.gone", replica=replica_id, revision=event.revision, held=is_held)
            if known is not None and not is_held:
                self._client.close_idle_to(known.address)
            return
        replica = self._decode(event.entry)
        if replica is None:
            directory.remove(replica_id, now_s=now_s())
        else:
            self._apply_change(replica)
            directory.put(replica)
            self.on_written(replica)

    def _publish_changes(self, revision: int) -> None:
        """Publish what the events up to a revision have changed; readers look at all replicas."""
        if self._has_changes:
            self._has_changes = False
            self._publish()

    def _apply_change(self, replica: Replica) -> None:
        """Log a changed entry; drop the state and idle connections of an earlier incarnation."""
        directory = self._board.replicas.read()
        known, replica = directory.get(replica.replica_id), directory.with_own_word(replica)
        if known == replica:
            return
        if known is None or known.started != replica.started or known.address != replica.address:
            self._replica_tracker.forget(replica.replica_id)
            self._client.close_idle_to(replica.address)
        _log.info(
            "replica.listed",
            replica=replica.replica_id,
            service=replica.service,
            address=replica.address,
            draining=replica.is_draining,
            started=replica.started,
            version=replica.version,
        )

    def _decode(self, entry: Entry) -> Replica | None:
        replica_id = key_suffix(entry, self._dialect.replica_prefix)
        decoded = self._dialect.decode_replica(replica_id, entry.value).and_then(check_replica)
        if isinstance(decoded, Err):
            _log.warning("replica.entry_unreadable", replica=replica_id, reason=decoded.err_value)
            return None
        return decoded.ok_value

    def _publish(self) -> None:
        self._board.replicas.write(self._board.replicas.read())
