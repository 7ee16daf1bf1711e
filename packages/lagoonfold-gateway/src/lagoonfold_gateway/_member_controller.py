"""Keeps the view of the instances: which are known, which are live, and who owns a subject.

Reads `stopping` and `live`; writes `live`. Instances find each other by their entries in the store
(`_registration`) and by what they tell each other (`_heartbeats`), so an outage of the store
removes none. See `lagoonfold.liveness` for how their statuses are merged.
"""

import time
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable

import msgspec
import trio
from result import Err, Ok

from lagoonfold import (
    ABSENT_REVISION,
    Listing,
    TransactionalStore,
    WatchEvent,
    decode_json,
    rendezvous_weight,
)
from lagoonfold.liveness import (
    DISCOVERY_S,
    LEAVING,
    LOST,
    InitialMembers,
    InstanceStatus,
    StatusTable,
)
from lagoonfold_gateway._board import GatewayBoard, LiveView
from lagoonfold_gateway._capacities import Capacities
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._peer_link import PeerFault
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_gateway._presence import Presence
from lagoonfold_gateway._registration import MEMBER_PREFIX, MemberEntry, Registration
from lagoonfold_gateway._settings import InstanceSection
from lagoonfold_gateway._store_watch import COPY_TERMS, ReadableStore, StoreWatch
from lagoonfold_io.observe import EventLog

POLL_INTERVAL_S = 5.0  # instances tell each other of themselves; entries show what was missed
LIST_AGAIN_S = 0.5  # after a listing that failed
MAX_STORE_CONTACT_AGE_S = 6.0  # with a later contact an instance isn't cut off
STORE_CHECK_S = 1.0  # in which an instance that sees few others finds out whether it is cut off
FAULT_MEMORY_S = 1.0  # by then it is known whether an instance that did not answer is lost
WITHOUT_STORE_MEMORY_S = 1.0  # bounds the time until an owner that reaches the store is used again
MAX_CACHED_OWNERS = 4_096  # more than the accounts, programs and pools in use at one instance
MILLISECONDS_PER_S = 1_000

_log = EventLog("members")


class MemberController:
    """Holds the statuses of all instances and ranks the live ones as owners of a subject.

    `on_new_peer` is called with the id of each instance that the store lists for the first time.
    `is_listed` is set after the first attempt to list the entries. `is_store_reachable` says
    whether this instance's own calls reach the store.
    """

    def __init__(
        self,
        instance: InstanceSection,
        start_id: str,
        board: GatewayBoard,
        bus: PeerBus,
        store: TransactionalStore,
        watched: ReadableStore | None = None,
    ) -> None:
        self.instance_id = instance.id
        self.presence = Presence()
        self.writer_id = f"{instance.id}/{start_id}"
        self._board = board
        self._bus = bus
        entry = MemberEntry(
            address=instance.peers, failure_domain=instance.failure_domain, start_id=start_id
        )
        self._store = store
        self._must_list = trio.Event()
        self.is_listed = trio.Event()
        self.registration = Registration(store, instance.id, entry, self._must_list.set)
        self._capacities = Capacities(board.capacities)
        self.own_status = InstanceStatus(
            instance=instance.id,
            start_id=start_id,
            number=int(time.time() * MILLISECONDS_PER_S),
            address=instance.peers,
            is_first_start=instance.is_first_start,
            failure_domain=instance.failure_domain,
            processor_cores=self._capacities.check_own(instance.id, instance.capacity),
        )
        self._started_s = now_s()
        self.initial_members = InitialMembers(
            instance.id, is_first_start=instance.is_first_start, started_s=self._started_s
        )
        self._initial_owner_by_subject: OrderedDict[str, str | None] = OrderedDict()
        self._table = StatusTable()
        self._table.merge(self.own_status)
        self._entry_by_id: dict[str, MemberEntry] = {}
        self._owner_by_subject: OrderedDict[str, str] = OrderedDict()
        self._fault_s_by_id: dict[str, float] = {}
        self._without_store_s_by_id: dict[str, float] = {}
        self._lost_ids: set[str] = set()
        self._hears_most: bool | None = None
        self._is_cut_off = False
        self.is_store_reachable: Callable[[], bool] = lambda: True
        self.on_new_peer: Callable[[str], None] = lambda instance_id: None
        self._watch = StoreWatch(
            watched if watched is not None else store,
            MEMBER_PREFIX,
            on_listing=self._apply_listing,
            on_event=self._apply_event,
            terms=COPY_TERMS,
        )
        self._capacities.write((self.instance_id,), self._table)
        board.live.write(LiveView((self.instance_id,), now_s()))

    @property
    def statuses(self) -> tuple[InstanceStatus, ...]:
        """Return the statuses of all instances, this one included."""
        return self._table.all()

    @property
    def digest(self) -> int:
        """Return a digest of the live instances."""
        return self._table.digest

    async def find_members(self) -> None:
        """List the entries once this instance has its own, and after each registration.

        Of two instances that start at the same time, at least one then sees the other's entry.
        """
        await self.registration.is_attempted.wait()
        while True:
            self._must_list = trio.Event()
            self.registration.on_registered = self._must_list.set
            listed = await self._store.read_all(MEMBER_PREFIX)
            self.is_listed.set()
            if isinstance(listed, Ok):
                self._apply_listing(listed.ok_value)
                await self._must_list.wait()
            else:
                await trio.sleep(LIST_AGAIN_S)

    def expects_others(self) -> bool:
        """Return whether the store lists other instances that are not known to be live."""
        return any(not self._table.is_live(key) for key in self._entry_by_id)

    async def follow_members(self) -> None:
        """Follow the entries until cancelled."""
        await self._watch.run()

    def told_live_ids(self) -> tuple[str, ...]:
        """Return the instances that count as live, also if this one is cut off from them."""
        return self._table.live_ids()

    def is_told_live(self, instance_id: str) -> bool:
        """Return whether an instance counts as live, also if this one is cut off from it."""
        return self._table.is_live(instance_id)

    def has_left(self, instance_id: str) -> bool:
        """Return whether an instance has told that it stops."""
        status = self._table.get(instance_id)
        return status is not None and status.state == LEAVING

    def watchers(self) -> tuple[str, ...]:
        """Return the instances that watch this one."""
        return self._table.ring.watchers_of(self.instance_id)

    def watched(self) -> tuple[str, ...]:
        """Return the instances that this one watches."""
        return self._table.ring.watched_by(self.instance_id)

    def status(self, instance_id: str) -> InstanceStatus | None:
        """Return the status of an instance, None if nothing is known of it."""
        return self._table.get(instance_id)

    def owner(self, subject: str) -> str:
        """Return the live instance that owns a subject, by rendezvous hashing."""
        self.presence.check()
        owner = self._owner_by_subject.get(subject)
        if owner is None:
            ids = self._board.live.read().ids
            owner = max(ids, key=lambda instance_id: rendezvous_weight(subject, instance_id))
            self._owner_by_subject[subject] = owner
            if len(self._owner_by_subject) > MAX_CACHED_OWNERS:
                self._owner_by_subject.popitem(last=False)
        return owner

    def owns(self, subject: str) -> bool:
        """Return whether this instance is the owner of a subject."""
        return self.owner(subject) == self.instance_id

    def initial_owner(self, subject: str) -> str | None:
        """Return the initial member that is first for a subject, if its first process is live."""
        if subject not in self._initial_owner_by_subject:
            self._initial_owner_by_subject[subject] = self.initial_members.first(subject)
            if len(self._initial_owner_by_subject) > MAX_CACHED_OWNERS:
                self._initial_owner_by_subject.popitem(last=False)
        owner = self._initial_owner_by_subject[subject]
        status = self._table.get(owner) if owner is not None else None
        is_in_place = status is not None and status.is_live and status.is_first_start
        return owner if is_in_place else None

    def learn_initial_members(self, ids: tuple[str, ...]) -> None:
        """Take over the initial members that another instance tells."""
        if self.initial_members.learn(ids):
            self._initial_owner_by_subject.clear()

    def ranked_owners(self, subject: str) -> list[str]:
        """Return the live instances by rendezvous hashing, the usable ones first.

        Those that did not answer recently come next, those that do not reach the store last.
        """
        now = now_s()
        without_store = self.instances_without_store()

        def sort_key(instance_id: str) -> tuple[bool, bool, int]:
            fault_s = self._fault_s_by_id.get(instance_id)
            is_faulty = fault_s is not None and now - fault_s < FAULT_MEMORY_S
            weight = rendezvous_weight(subject, instance_id)
            return instance_id in without_store, is_faulty, -weight

        return sorted(self._board.live.read().ids, key=sort_key)

    def instances_without_store(self) -> tuple[str, ...]:
        """Return the instances that did not reach the store recently."""
        now = now_s()
        self._without_store_s_by_id = {
            instance_id: at_s
            for instance_id, at_s in self._without_store_s_by_id.items()
            if now - at_s < WITHOUT_STORE_MEMORY_S
        }
        own = () if self.is_store_reachable() else (self.instance_id,)
        return tuple(sorted({*self._without_store_s_by_id, *own}))

    def record_without_store(self, instance_id: str) -> None:
        """Record that an instance has answered that it does not reach the store."""
        self._without_store_s_by_id[instance_id] = now_s()

    def live_instance_of_writer(self, writer_id: str) -> str | None:
        """Return the other instance that has this writer id, None if it is lost or restarted."""
        instance, _, start_id = writer_id.partition("/")
        if instance == self.instance_id or instance not in self._board.live.read().ids:
            return None
        status = self._table.get(instance)
        return instance if status is not None and status.start_id == start_id else None

    def is_isolated(self) -> bool:
        """Return whether this instance may be cut off from the others.

        That is so if it has not reached the store recently and sees less than half of the known
        instances as live. Others may then have taken over what it owns.
        """
        live, now = self._board.live.read(), now_s()
        known = len(self._entry_by_id.keys() | {self.instance_id})
        if 2 * len(live.ids) >= known or now - live.since_s < STORE_CHECK_S:
            return False
        contact_age_s = now - self.registration.store_contact_s
        if contact_age_s > STORE_CHECK_S:
            self.registration.renew_soon()
        return contact_age_s > MAX_STORE_CONTACT_AGE_S

    def hears_most(self) -> bool:
        """Return whether this instance is live together with most of the known instances.

        An instance that was lost without leaving is known until the store no longer lists it: it
        may have been cut off. Of two halves, the one with the lowest id counts as most.
        """
        if self._hears_most is None:
            live = self._board.live.read().ids
            known = self._lost_ids.union(self._entry_by_id, live)
            is_half = 2 * len(live) == len(known)
            self._hears_most = min(known) in live if is_half else 2 * len(live) > len(known)
        return self._hears_most

    def apply(self, statuses: Iterable[InstanceStatus]) -> list[InstanceStatus]:
        """Merge statuses told by peers; return the news that this instance must tell all.

        Those are its own status with a higher number, if a peer takes it for lost.
        """
        statuses = tuple(statuses)
        self._record_initial_members(statuses)
        restarted = {status.instance for status in statuses if self._is_restart(status)}
        news = self._table.merge_all(statuses)
        own = self._table.get(self.instance_id)
        must_refute = own != self.own_status and not self._board.stopping.read()
        if must_refute and own is not None:
            self._raise_own_number(own.number + 1, self.own_status.state)
            self.presence.end_absence()
        for status in news:
            self._update_peer(status.instance)
        if news:
            if restarted:
                self._write_live(without=restarted)
            self._write_live()
        return [self.own_status] if must_refute else []

    def declare_lost(self, instance_id: str) -> InstanceStatus | None:
        """Count an instance as lost; return its new status, None if it was not live."""
        status = self._table.get(instance_id)
        if status is None or not status.is_live or instance_id == self.instance_id:
            return None
        lost = msgspec.structs.replace(status, state=LOST)
        self._table.merge(lost)
        _log.info("member.lost", member=instance_id, number=status.number)
        self._drop_unless_listed(instance_id)
        self._write_live()
        return lost

    def announce_leaving(self) -> InstanceStatus:
        """Change this instance's own status to leaving, and return it."""
        self._raise_own_number(self.own_status.number + 1, LEAVING)
        self._write_live()
        return self.own_status

    def renew_status(self) -> InstanceStatus:
        """Raise the number of this instance's status, and return it.

        It then counts as live also where it has been declared lost.
        """
        self._raise_own_number(self.own_status.number + 1, self.own_status.state)
        return self.own_status

    def set_cut_off(self, is_cut_off: bool) -> None:
        """Set whether this instance hears none of the others; it then counts on itself alone."""
        if is_cut_off != self._is_cut_off:
            self._is_cut_off = is_cut_off
            _log.warning("member.cut_off" if is_cut_off else "member.heard_again")
            self._write_live()
            self.presence.end_absence()

    def apply_fault(self, peer: str, fault: PeerFault) -> None:
        """Record a message that did not reach a peer; a refused connection means it has ended."""
        self._fault_s_by_id[peer] = now_s()
        if fault is PeerFault.REFUSED:
            self.declare_lost(peer)

    def record_heard(self, peer: str) -> None:
        """Record that a peer has sent something, so that an earlier fault no longer counts."""
        self._fault_s_by_id.pop(peer, None)

    def _record_initial_members(self, statuses: tuple[InstanceStatus, ...]) -> None:
        for status in statuses:
            if self.initial_members.record(status, now_s=now_s()):
                self._initial_owner_by_subject.clear()
                if not self.initial_members.ids:
                    _log.warning("members.initial_incomplete", found=status.instance)

    def _raise_own_number(self, number: int, state: int) -> None:
        self.own_status = msgspec.structs.replace(self.own_status, number=number, state=state)
        self._table.merge(self.own_status)

    def _apply_listing(self, listing: Listing) -> None:
        listed = {entry.key[len(MEMBER_PREFIX) :] for entry in listing.entries}
        for instance_id in self._lost_ids.union(self._entry_by_id) - listed:
            self._remove_entry(instance_id)
        for entry in listing.entries:
            self._put_entry(entry.key, entry.value)

    def _apply_event(self, event: WatchEvent) -> None:
        if event.entry.revision == ABSENT_REVISION:
            self._remove_entry(event.entry.key[len(MEMBER_PREFIX) :])
        else:
            self._put_entry(event.entry.key, event.entry.value)

    def _put_entry(self, key: str, value: bytes) -> None:
        instance_id = key[len(MEMBER_PREFIX) :]
        decoded = decode_json(value, MemberEntry)
        if isinstance(decoded, Err):
            _log.warning("member.entry_unreadable", member=instance_id, reason=decoded.err_value)
            return
        entry = decoded.ok_value
        if instance_id == self.instance_id:
            return
        before = self._entry_by_id.get(instance_id)
        self._entry_by_id[instance_id] = entry
        self._hears_most = None
        if before != entry:
            self._update_peer(instance_id)
            status = self._table.get(instance_id)
            if status is None or not status.is_live or status.start_id != entry.start_id:
                self.on_new_peer(instance_id)

    def _remove_entry(self, instance_id: str) -> None:
        """Remove an entry; an instance that the store turns away stays a peer while it is live."""
        self._entry_by_id.pop(instance_id, None)
        self._lost_ids.discard(instance_id)
        self._hears_most = None
        self._drop_unless_listed(instance_id)

    def _drop_unless_listed(self, instance_id: str) -> None:
        if instance_id not in self._entry_by_id and not self._table.is_live(instance_id):
            self._table.forget(instance_id)
            self._fault_s_by_id.pop(instance_id, None)
            self._bus.drop_peer(instance_id)

    def _update_peer(self, instance_id: str) -> None:
        """Link an instance at the address that it told last, or at the one that is listed."""
        status = self._table.get(instance_id)
        entry = self._entry_by_id.get(instance_id)
        if instance_id == self.instance_id:
            return
        if status is not None and status.is_live and status.address:
            self._bus.set_peer(instance_id, status.address)
        elif entry is not None:
            self._bus.set_peer(instance_id, entry.address)
        else:
            self._bus.drop_peer(instance_id)

    def _is_restart(self, status: InstanceStatus) -> bool:
        """Return whether a live instance has started again since its known status."""
        known = self._table.get(status.instance)
        return (
            known is not None
            and known.is_live
            and status.supersedes(known)
            and status.start_id != known.start_id
        )

    def _write_live(self, without: Collection[str] = ()) -> None:
        live = self._table.live_ids()
        if without:
            live = tuple(key for key in live if key not in without)
        if self._is_cut_off or not live:
            live = (self.instance_id,)
        self._capacities.write(live, self._table)
        before = self._board.live.read()
        if live == before.ids:
            return
        is_late = now_s() - self._started_s > DISCOVERY_S
        ids, ids_before = set(live), set(before.ids)
        gone = sorted(ids_before - ids)
        is_stable_since_start = before.is_stable_since_start and not gone and not is_late
        self._lost_ids.difference_update(live)
        self._lost_ids.update(key for key in gone if not self.has_left(key))
        self._hears_most = None
        self._owner_by_subject.clear()
        self._board.live.write(LiveView(live, now_s(), is_stable_since_start))
        _log.info("members.changed", live=len(live), gone=gone, come=sorted(ids - ids_before))
