"""Which instances there are and which of them live.

Reads `stopping`; writes `live`. Instances find each other by entries in the store
(`_registration`); whether one lives is known from its heartbeats, so an outage of the store takes
nobody out. An instance that refuses connections has ended; one that is not heard for `SILENT_S` is
taken as gone until it is heard again.
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
from lagoonfold_gateway._registration import MEMBER_PREFIX, RENEW_S, MemberEntry, Registration
from lagoonfold_gateway._settings import InstanceSection
from lagoonfold_gateway._store_watch import StoreWatch
from lagoonfold_io.observe import EventLog

SETTLED_S = 5.0  # after the first start of the system all instances have found each other
SILENT_S = 0.75  # three heartbeats
LATE_S = 0.45  # a heartbeat is missing: others are asked first where any instance can decide
CHECK_S = 0.1  # how often silence is looked for
STORE_CONTACT_S = 2.0 * RENEW_S  # the store was reached in this time: not cut off from everything

_log = EventLog("members")


class Members:
    """The other instances, and the order in which instances own a subject.

    `linked` is set when instances have been found, so that they hear of this one at once.
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
        self._heard_s_by_id: dict[str, float] = {}
        self._writer_by_id: dict[str, str] = {}
        self._leaving: set[str] = set()
        self._lapsed: set[str] = set()  # without an entry in the store, but heard
        self.linked = trio.Event()
        self._without_store: set[str] = set()
        self._started_s = now_s()
        self.watch = StoreWatch(
            store, MEMBER_PREFIX, on_listing=self._take_listing, on_event=self._take_event
        )
        bus.on_fault = self.note_fault
        board.live.write(LiveView((self._id,), now_s()))

    def owners_of(self, subject: str) -> list[str]:
        """Return the live instances in the order in which they own a subject."""
        ids = self._board.live.read().ids
        return sorted(ids, key=lambda name: rendezvous_weight(subject, name), reverse=True)

    def charging_owners_of(self, subject: str) -> list[str]:
        """Return the live instances in the order of ownership.

        Those that do not reach the store come last, and those whose heartbeat is late before them.
        """
        latest_s = now_s() - LATE_S

        def trouble(name: str) -> tuple[bool, bool]:
            is_late = name != self._id and self._heard_s_by_id.get(name, 0.0) < latest_s
            return name in self._without_store, is_late

        return sorted(self.owners_of(subject), key=trouble)

    def without_store(self) -> tuple[str, ...]:
        """Return the instances that do not reach the store."""
        return tuple(sorted(self._without_store))

    def owns(self, subject: str) -> bool:
        """Tell whether this instance comes first for a subject."""
        return self.owners_of(subject)[0] == self._id

    def live_writer(self, writer_id: str) -> str | None:
        """Return the instance of a writer if it lives and has not started anew since."""
        instance = writer_id.partition("/")[0]
        is_live = instance in self._board.live.read().ids and instance != self._id
        return instance if is_live and self._writer_by_id.get(instance) == writer_id else None

    def is_isolated(self) -> bool:
        """Tell whether this instance may be cut off from all the others.

        It hears less than half of the instances that are known and has not reached the store: then
        others may have taken over what it owns.
        """
        if now_s() - self.registration.store_contact_s < STORE_CONTACT_S:
            return False
        known = len(self._entry_by_id.keys() | {self._id})
        return 2 * len(self._board.live.read().ids) < known

    def note_own_store(self, has_store: bool) -> None:
        """Take in whether this instance reaches the store."""
        self._note_store(self._id, has_store)

    def _note_store(self, name: str, has_store: bool) -> None:
        if has_store:
            self._without_store.discard(name)
        else:
            self._without_store.add(name)

    def note_heartbeat(self, beat: Heartbeat) -> None:
        """Take in that an instance lives or leaves."""
        self._note_store(beat.instance, beat.has_store)
        if beat.is_leaving:
            self._leaving.add(beat.instance)
            self._heard_s_by_id.pop(beat.instance, None)
            self._drop_lapsed(beat.instance)
        else:
            self._leaving.discard(beat.instance)
            self._heard_s_by_id[beat.instance] = now_s()
            self._writer_by_id[beat.instance] = f"{beat.instance}/{beat.start_id}"
        self._write_live()

    def note_fault(self, peer: str, fault: PeerFault) -> None:
        """Take in that a message did not reach a peer; a refused connection means its end."""
        if fault is PeerFault.REFUSED and self._heard_s_by_id.pop(peer, None) is not None:
            _log.info("member.refuses", member=peer)
            self._drop_lapsed(peer)
            self._write_live()

    async def check_silence(self) -> None:
        """Take out instances that have fallen silent, until cancelled."""
        while True:
            await trio.sleep(CHECK_S)
            self._write_live()

    def _take_listing(self, listing: Listing) -> None:
        for name in tuple(self._entry_by_id):
            self._drop_unless_heard(name)
        for entry in listing.entries:
            self._put_entry(entry.key, entry.value)
        self._link()

    def _take_event(self, event: WatchEvent) -> None:
        if event.entry.revision == ABSENT_REVISION:
            self._drop_unless_heard(event.entry.key[len(MEMBER_PREFIX) :])
        else:
            self._put_entry(event.entry.key, event.entry.value)
        self._link()

    def _put_entry(self, key: str, value: bytes) -> None:
        name = key[len(MEMBER_PREFIX) :]
        try:
            entry = msgspec.json.decode(value, type=MemberEntry)
        except msgspec.MsgspecError as error:
            _log.warning("member.entry_unreadable", member=name, reason=str(error))
            return
        if name != self._id:
            self._entry_by_id[name] = entry
            self._lapsed.discard(name)

    def _drop_unless_heard(self, name: str) -> None:
        """Forget an instance whose entry is gone, at once or when it falls silent.

        The store may turn an instance away while all others hear it.
        """
        if name in self._heard_s_by_id:
            self._lapsed.add(name)
        else:
            self._entry_by_id.pop(name, None)

    def _drop_lapsed(self, name: str) -> None:
        if name in self._lapsed:
            self._lapsed.discard(name)
            self._entry_by_id.pop(name, None)
            self._link()

    def _link(self) -> None:
        self.linked.set()
        self._bus.set_peers({name: entry.address for name, entry in self._entry_by_id.items()})

    def _write_live(self) -> None:
        oldest_s = now_s() - SILENT_S
        for name, heard_s in tuple(self._heard_s_by_id.items()):
            if heard_s < oldest_s:
                del self._heard_s_by_id[name]
                self._drop_lapsed(name)
        ids = [self._id] if not self._board.stopping.read() else []
        ids += [name for name in self._heard_s_by_id if name not in self._leaving]
        live = tuple(sorted(ids)) or (self._id,)
        before = self._board.live.read()
        if live == before.ids:
            return
        is_late = now_s() - self._started_s > SETTLED_S
        is_unbroken = before.is_unbroken and set(before.ids) <= set(live) and not is_late
        self._board.live.write(LiveView(live, now_s(), is_unbroken))
        gone = sorted(set(before.ids) - set(live))
        _log.info(
            "members.changed", live=len(live), gone=gone, come=sorted(set(live) - {*before.ids})
        )
