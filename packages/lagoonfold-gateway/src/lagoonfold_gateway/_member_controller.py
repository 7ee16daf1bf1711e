"""Tracks the member instances and which of them are live.

Reads `stopping` and `live`; writes `live`. Instances find each other by their entries in the store
(`_registration`). Heartbeats show whether an instance is live, so an outage of the store removes
none. An instance that refuses connections has ended. One that has sent no heartbeat for `SILENT_S`
counts as lost until its next heartbeat.
"""

import msgspec
import trio

from lagoonfold import (
    ABSENT_REVISION,
    Listing,
    TransactionalStore,
    WatchEvent,
    rendezvous_weight,
)
from lagoonfold_gateway._board import GatewayBoard, LiveView
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._messages import Heartbeat
from lagoonfold_gateway._peer_link import PeerFault
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_gateway._registration import (
    MEMBER_PREFIX,
    RENEW_INTERVAL_S,
    MemberEntry,
    Registration,
)
from lagoonfold_gateway._settings import InstanceSection
from lagoonfold_gateway._store_watch import StoreWatch
from lagoonfold_io.observe import EventLog

DISCOVERY_S = 5.0  # after the first start of the system, until all instances know each other
SILENT_S = 0.75  # three heartbeats
LATE_HEARTBEAT_S = 0.45  # a heartbeat is missing, so other instances are preferred as owners
CHECK_INTERVAL_S = 0.1  # between checks for silent members
MAX_STORE_CONTACT_AGE_S = 2.0 * RENEW_INTERVAL_S  # with a later contact an instance isn't cut off

_log = EventLog("members")


class MemberController:
    """Tracks the other instances and ranks the live ones as owners of a subject.

    `peers_changed` is set when the peers may have changed, so that new ones get a heartbeat at
    once.
    """

    def __init__(
        self,
        instance: InstanceSection,
        start_id: str,
        board: GatewayBoard,
        bus: PeerBus,
        store: TransactionalStore,
    ) -> None:
        self._id = instance.id
        self.writer_id = f"{instance.id}/{start_id}"
        self._board = board
        self._bus = bus
        entry = MemberEntry(
            address=instance.peers, failure_domain=instance.failure_domain, start_id=start_id
        )
        self.registration = Registration(store, instance.id, entry)
        self._entry_by_id: dict[str, MemberEntry] = {}
        self._last_heartbeat_s_by_id: dict[str, float] = {}
        self._writer_by_id: dict[str, str] = {}
        self._leaving: set[str] = set()
        self._expired: set[str] = set()  # without an entry in the store, but with heartbeats
        self.peers_changed = trio.Event()
        self._instances_without_store: set[str] = set()
        self._started_s = now_s()
        self.watch = StoreWatch(
            store, MEMBER_PREFIX, on_listing=self._apply_listing, on_event=self._apply_event
        )
        bus.on_fault = self.apply_fault
        board.live.write(LiveView((self._id,), now_s()))

    def ranked_owners(self, subject: str) -> list[str]:
        """Return the live instances by rendezvous hashing; the first is the subject's owner."""
        ids = self._board.live.read().ids
        return sorted(
            ids, key=lambda instance_id: rendezvous_weight(subject, instance_id), reverse=True
        )

    def ranked_owners_healthy_first(self, subject: str) -> list[str]:
        """Return the live instances as in `ranked_owners`, but the healthy ones first.

        Those whose heartbeat is late come next, those that do not reach the store last.
        """
        latest_s = now_s() - LATE_HEARTBEAT_S

        def sort_key(instance_id: str) -> tuple[bool, bool]:
            is_late = (
                instance_id != self._id
                and self._last_heartbeat_s_by_id.get(instance_id, 0.0) < latest_s
            )
            return instance_id in self._instances_without_store, is_late

        return sorted(self.ranked_owners(subject), key=sort_key)

    def instances_without_store(self) -> tuple[str, ...]:
        """Return the instances that do not reach the store."""
        return tuple(sorted(self._instances_without_store))

    def owns(self, subject: str) -> bool:
        """Return whether this instance is the owner of a subject."""
        return self.ranked_owners(subject)[0] == self._id

    def live_instance_of_writer(self, writer_id: str) -> str | None:
        """Return the other instance that has this writer id, None if it is lost or restarted."""
        instance = writer_id.partition("/")[0]
        is_live = instance in self._board.live.read().ids and instance != self._id
        return instance if is_live and self._writer_by_id.get(instance) == writer_id else None

    def is_isolated(self) -> bool:
        """Return whether this instance may be cut off from the others.

        That is so if it has not reached the store recently and sees less than half of the known
        instances as live. Others may then have taken over what it owns.
        """
        if now_s() - self.registration.store_contact_s < MAX_STORE_CONTACT_AGE_S:
            return False
        known = len(self._entry_by_id.keys() | {self._id})
        return 2 * len(self._board.live.read().ids) < known

    def update_own_store_reachable(self, store_reachable: bool) -> None:
        """Update whether this instance reaches the store."""
        self._update_store_reachable(self._id, store_reachable)

    def _update_store_reachable(self, instance_id: str, store_reachable: bool) -> None:
        if store_reachable:
            self._instances_without_store.discard(instance_id)
        else:
            self._instances_without_store.add(instance_id)

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record that an instance is live or leaving."""
        self._update_store_reachable(heartbeat.instance, heartbeat.store_reachable)
        if heartbeat.is_leaving:
            self._leaving.add(heartbeat.instance)
            self._last_heartbeat_s_by_id.pop(heartbeat.instance, None)
            self._drop_expired(heartbeat.instance)
        else:
            self._leaving.discard(heartbeat.instance)
            self._last_heartbeat_s_by_id[heartbeat.instance] = now_s()
            self._writer_by_id[heartbeat.instance] = f"{heartbeat.instance}/{heartbeat.start_id}"
        self._write_live()

    def apply_fault(self, peer: str, fault: PeerFault) -> None:
        """Handle a message that did not reach a peer; a refused connection means it has ended."""
        if fault is PeerFault.REFUSED and self._last_heartbeat_s_by_id.pop(peer, None) is not None:
            _log.info("member.refuses", member=peer)
            self._drop_expired(peer)
            self._write_live()

    async def expire_silent_members(self) -> None:
        """Remove silent instances from the live ones, until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self._write_live()

    def _apply_listing(self, listing: Listing) -> None:
        for instance_id in tuple(self._entry_by_id):
            self._drop_unless_alive(instance_id)
        for entry in listing.entries:
            self._put_entry(entry.key, entry.value)
        self._update_peers()

    def _apply_event(self, event: WatchEvent) -> None:
        if event.entry.revision == ABSENT_REVISION:
            self._drop_unless_alive(event.entry.key[len(MEMBER_PREFIX) :])
        else:
            self._put_entry(event.entry.key, event.entry.value)
        self._update_peers()

    def _put_entry(self, key: str, value: bytes) -> None:
        instance_id = key[len(MEMBER_PREFIX) :]
        try:
            entry = msgspec.json.decode(value, type=MemberEntry)
        except msgspec.MsgspecError as error:
            _log.warning("member.entry_unreadable", member=instance_id, reason=str(error))
            return
        if instance_id != self._id:
            self._entry_by_id[instance_id] = entry
            self._expired.discard(instance_id)

    def _drop_unless_alive(self, instance_id: str) -> None:
        """Drop an instance without an entry, but only once it is silent.

        An instance that the store turns away may still send heartbeats to all others.
        """
        if instance_id in self._last_heartbeat_s_by_id:
            self._expired.add(instance_id)
        else:
            self._entry_by_id.pop(instance_id, None)

    def _drop_expired(self, instance_id: str) -> None:
        if instance_id in self._expired:
            self._expired.discard(instance_id)
            self._entry_by_id.pop(instance_id, None)
            self._update_peers()

    def _update_peers(self) -> None:
        self.peers_changed.set()
        self._bus.set_peers(
            {instance_id: entry.address for instance_id, entry in self._entry_by_id.items()}
        )

    def _write_live(self) -> None:
        oldest_s = now_s() - SILENT_S
        for instance_id, last_heartbeat_s in tuple(self._last_heartbeat_s_by_id.items()):
            if last_heartbeat_s < oldest_s:
                del self._last_heartbeat_s_by_id[instance_id]
                self._drop_expired(instance_id)
        ids = [self._id] if not self._board.stopping.read() else []
        ids += [
            instance_id
            for instance_id in self._last_heartbeat_s_by_id
            if instance_id not in self._leaving
        ]
        live = tuple(sorted(ids)) or (self._id,)
        before = self._board.live.read()
        if live == before.ids:
            return
        is_late = now_s() - self._started_s > DISCOVERY_S
        is_stable_since_start = (
            before.is_stable_since_start and set(before.ids) <= set(live) and not is_late
        )
        self._board.live.write(LiveView(live, now_s(), is_stable_since_start))
        gone = sorted(set(before.ids) - set(live))
        _log.info(
            "members.changed", live=len(live), gone=gone, come=sorted(set(live) - {*before.ids})
        )
