"""Heartbeats between instances: that they live, what they have under way, what they have seen.

Reads `stopping` and `live`. A peer that has followed the store further than this instance tells it
that its own watch has gone silent.
"""

import trio

from lagoonfold.forwarding import ReplicaTracker
from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._crash_watch import CrashWatch
from lagoonfold_gateway._members import Members
from lagoonfold_gateway._messages import Done, Heartbeat, Message
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_gateway._store_watch import StoreWatch

HEARTBEAT_S = 0.25  # loads are at most this old; some 200 bytes to each peer
WATCH_LAG_S = 0.3  # a change reaches all watches within some ms; later ones are silent


class Heartbeats:
    """Sends and takes in heartbeats."""

    def __init__(
        self,
        start_id: str,
        board: GatewayBoard,
        bus: PeerBus,
        members: Members,
        loads: ReplicaTracker,
        crashes: CrashWatch,
        config_watch: StoreWatch,
        replica_watch: StoreWatch,
    ) -> None:
        self._start_id = start_id
        self._board = board
        self._bus = bus
        self._members = members
        self._loads = loads
        self._crashes = crashes
        self._config_watch = config_watch
        self._replica_watch = replica_watch
        self._ahead_s_by_watch: dict[StoreWatch, float] = {}
        bus.handles(Heartbeat)(self._take)

    async def run(self) -> None:
        """Send heartbeats to all peers until cancelled; a slow peer holds up no other."""
        async with trio.open_nursery() as nursery:
            sending: set[str] = set()
            while True:
                self._members.note_own_store(not self._config_watch.is_failing)
                beat = self._beat()
                for peer in self._bus.peer_ids:
                    if peer not in sending:
                        nursery.start_soon(self._send, peer, beat, sending)
                with trio.move_on_after(HEARTBEAT_S):
                    await self._members.linked.wait()
                    self._members.linked = trio.Event()

    async def tell_all(self) -> None:
        """Send one heartbeat to each peer, as at a stop."""
        beat = self._beat()
        with trio.move_on_after(HEARTBEAT_S):
            async with trio.open_nursery() as nursery:
                for peer in self._bus.peer_ids:
                    nursery.start_soon(self._bus.post, peer, beat)

    async def _send(self, peer: str, beat: Heartbeat, sending: set[str]) -> None:
        sending.add(peer)
        try:
            with trio.move_on_after(2 * HEARTBEAT_S):
                await self._bus.post(peer, beat)
        finally:
            sending.discard(peer)

    def _beat(self) -> Heartbeat:
        return Heartbeat(
            instance=self._bus.own_id,
            start_id=self._start_id,
            is_leaving=self._board.stopping.read(),
            sent_by_replica=self._loads.in_flight_by_replica(),
            paces=self._loads.recent_slowdowns(now_s=now_s()),
            config_revision=self._config_watch.seen_revision,
            replica_revision=self._replica_watch.seen_revision,
            has_store=not self._config_watch.is_failing,
            notices=self._crashes.to_tell(),
        )

    async def _take(self, beat: Message) -> Message:
        assert isinstance(beat, Heartbeat)
        now = now_s()
        self._members.note_heartbeat(beat)
        self._crashes.take(beat.notices)
        self._loads.record_peer_loads(beat.instance, beat.sent_by_replica, now_s=now)
        for name, pace in beat.paces.items():
            self._loads.record_peer_slowdown(name, pace, now_s=now)
        self._compare(self._config_watch, beat.config_revision, now)
        self._compare(self._replica_watch, beat.replica_revision, now)
        return Done()

    def _compare(self, watch: StoreWatch, revision: int, now: float) -> None:
        """Poll anew where a peer has been ahead for longer than a change travels."""
        if revision <= watch.revision:
            self._ahead_s_by_watch.pop(watch, None)
            return
        since_s = self._ahead_s_by_watch.setdefault(watch, now)
        if now - since_s > WATCH_LAG_S:
            self._ahead_s_by_watch[watch] = now
            watch.poll_anew()
