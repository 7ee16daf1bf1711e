"""Tells the other instances of this one, and finds out which of them are lost.

Reads `stopping`. Heartbeats go to the instances that watch this one and to one drawn at random; see
`lagoonfold.liveness`. A watched instance that is silent is asked whether it lives before it is told
to be lost. A peer that has seen later changes of the store shows that this instance's own watch has
become silent.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

import trio
from result import Ok

from lagoonfold.liveness import InstanceStatus, SilenceTracker
from lagoonfold_gateway._background import TaskStarter
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._member_controller import MemberController
from lagoonfold_gateway._messages import (
    Ack,
    Heartbeat,
    Hello,
    Message,
    PoisonReport,
    Probe,
    StatusExchange,
    StatusNews,
)
from lagoonfold_gateway._peer_link import PeerFault
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_gateway._poison_tracker import PoisonTracker
from lagoonfold_gateway._store_watch import StoreWatch
from lagoonfold_io.observe import EventLog

HEARTBEAT_INTERVAL_S = 0.25
CHECK_INTERVAL_S = 0.1  # between checks for silent instances
SUSPECT_S = 0.5  # two heartbeats; then the instance is asked whether it lives
PROBE_TIMEOUT_S = 0.25  # some hundred times the latency to a peer
CUT_OFF_S = 0.75  # without anything heard, an instance counts as cut off itself
CONTRADICTION_MEMORY_S = 10.0  # keeps one broken path from being told as a loss again and again
MAX_GAP_S = 0.35  # an instance that did not run for longer has not listened either
HELLO_TIMEOUT_S = 1.0
EXCHANGE_TIMEOUT_S = 1.0
MISMATCH_S = 0.5  # news reach all within some ms; a digest that differs for longer missed some
POISON_REPEAT_S = 1.0  # a report is sent twice, since a connection may break
CLEARED_SPREAD_S = 1.0  # a message to all peers takes some ms, so few instances tell the same
WATCH_LAG_S = 0.75  # between the changes that two instances have heard of while both are well fed

_log = EventLog("members")


@dataclass(slots=True)
class _Lag:
    """A revision that a peer has seen and a watch has not told, and since when that is known."""

    revision: int
    since_s: float


class Heartbeats:
    """Sends this instance's heartbeats and news, and applies those of peers.

    `on_behind` is called with the prefix of a watch that has not told what a peer has seen.
    """

    def __init__(
        self,
        bus: PeerBus,
        members: MemberController,
        poison_tracker: PoisonTracker,
        config_watch: StoreWatch,
        replica_watch: StoreWatch,
        nursery: TaskStarter,
        rng: random.Random,
    ) -> None:
        self._bus = bus
        self._members = members
        self._poison_tracker = poison_tracker
        self._config_watch = config_watch
        self._replica_watch = replica_watch
        self._nursery = nursery
        self._rng = rng
        self._silence = SilenceTracker(max_gap_s=MAX_GAP_S)
        self._probing: set[str] = set()
        self._claimed_number_by_id: dict[str, int] = {}
        self._contradicted_s_by_id: dict[str, float] = {}
        self._exchanged_s = now_s()
        self._differs_since_s_by_id: dict[str, float] = {}
        self._lag_by_watch: dict[StoreWatch, _Lag] = {}
        self.on_behind: Callable[[str], None] = lambda prefix: None
        bus.register_handler(Heartbeat)(self._handle_heartbeat)
        bus.register_handler(Hello)(self._handle_hello)
        bus.register_handler(StatusNews)(self._handle_news)
        bus.register_handler(StatusExchange)(self._handle_exchange)
        bus.register_handler(Probe)(self._handle_probe)
        bus.register_handler(PoisonReport)(self._handle_poison_report)
        bus.on_fault = self._apply_fault
        bus.on_closed = self._apply_closed
        members.on_new_peer = self._greet
        members.presence.on_resumed = self._tell_resumed
        poison_tracker.on_notice = self._report_poison
        poison_tracker.on_cleared = self._report_cleared

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            heartbeat = Heartbeat(
                status=self._members.own_status,
                digest=self._members.digest,
                config_revision=self._latest_change(self._config_watch),
                replica_revision=self._latest_change(self._replica_watch),
            )
            for peer in self._targets():
                self._bus.post(peer, heartbeat)
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    async def watch_peers(self) -> None:
        """Look for watched instances that are silent, and for being cut off, until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self._members.presence.check()
            now = now_s()
            self._silence.watch(self._members.watched(), now_s=now)
            self._silence.observe(now_s=now)
            for peer in self._silence.silent_for(SUSPECT_S, now_s=now):
                self._suspect(peer)
            self._report_lags(now)
            is_silent = now - self._bus.last_received_s > CUT_OFF_S
            self._members.set_cut_off(is_silent and len(self._members.told_live_ids()) > 1)

    def _tell_resumed(self) -> None:
        """Tell all peers that this instance lives, before it is told that it counts as lost."""
        self._refute([self._members.renew_status()])

    def announce_leaving(self) -> None:
        """Tell all peers that this instance leaves."""
        news = StatusNews(statuses=(self._members.announce_leaving(),))
        for peer in self._bus.peer_ids:
            self._bus.post(peer, news)

    def _targets(self) -> list[str]:
        """Return the instances that watch this one, and one peer drawn at random."""
        targets = list(self._members.watchers())
        others = [peer for peer in self._bus.peer_ids if peer not in targets]
        return targets + ([self._rng.choice(others)] if others else [])

    def _tell_all(self, *statuses: InstanceStatus) -> None:
        """Send news to all live peers and to the instances that it is about."""
        if not statuses:
            return
        subjects = {status.instance for status in statuses}
        news = StatusNews(statuses=statuses)
        for peer in self._bus.peer_ids:
            if peer in subjects or self._members.is_told_live(peer):
                self._bus.post(peer, news)

    def _refute(self, statuses: list[InstanceStatus]) -> None:
        """Tell all peers that this instance lives, also those that count as lost here.

        After a cut both sides hold each other for lost, so those that need the news most are not
        live in this instance's view.
        """
        if not statuses:
            return
        news = StatusNews(statuses=tuple(statuses))
        for peer in self._bus.peer_ids:
            self._bus.post(peer, news)

    def _greet(self, peer: str) -> None:
        self._nursery.start_soon(self._say_hello, peer)

    async def _say_hello(self, peer: str) -> None:
        """Tell an instance of this one and learn its status."""
        hello = Hello(status=self._members.own_status)
        answer = await self._bus.call(peer, hello, timeout_s=HELLO_TIMEOUT_S)
        if isinstance(answer, Ok) and isinstance(answer.ok_value, StatusNews):
            self._apply(answer.ok_value.statuses)
            self._members.learn_initial_members(answer.ok_value.initial_members)

    def _suspect(self, peer: str) -> None:
        if peer not in self._probing:
            self._probing.add(peer)
            self._nursery.start_soon(self._probe, peer)

    async def _probe(self, peer: str) -> None:
        """Ask a watched instance whether it lives; if it does not answer, tell all that it is lost.

        It is asked on a new connection, since an open one may have gone silent. Nothing is told if
        this instance has heard of nobody else either, or if it alone does not reach the instance.
        """
        try:
            answer = await self._bus.call_anew(peer, Probe(), timeout_s=PROBE_TIMEOUT_S)
        finally:
            self._probing.discard(peer)
        now = now_s()
        if isinstance(answer, Ok):
            self._silence.record_heard(peer, now_s=now)
        elif answer.err_value is PeerFault.REFUSED:
            self._declare_lost(peer)
        elif now - self._bus.last_received_s < SUSPECT_S and not self._was_contradicted(peer, now):
            self._declare_lost(peer)

    def _was_contradicted(self, peer: str, now: float) -> bool:
        """Return whether a peer that was told to be lost has recently shown that it lives."""
        return now - self._contradicted_s_by_id.get(peer, -math.inf) < CONTRADICTION_MEMORY_S

    def _declare_lost(self, peer: str) -> None:
        lost = self._members.declare_lost(peer)
        if lost is not None:
            self._claimed_number_by_id[peer] = lost.number
            self._tell_all(lost)

    def _apply_fault(self, peer: str, fault: PeerFault) -> None:
        if fault is PeerFault.REFUSED and peer in self._members.watched():
            self._declare_lost(peer)
        self._members.apply_fault(peer, fault)

    def _apply_closed(self, peer: str) -> None:
        """Ask a watched instance whether it lives when its connection has ended."""
        if self._members.is_told_live(peer) and peer in self._members.watched():
            self._suspect(peer)

    def _apply(self, statuses: tuple[InstanceStatus, ...]) -> None:
        self._refute(self._members.apply(statuses))
        for status in statuses:
            claimed = self._claimed_number_by_id.get(status.instance, math.inf)
            if status.is_live and status.number > claimed:
                del self._claimed_number_by_id[status.instance]
                self._contradicted_s_by_id[status.instance] = now_s()

    def _handle_heartbeat(self, heartbeat: Message) -> Message:
        assert isinstance(heartbeat, Heartbeat)
        now, sender = now_s(), heartbeat.status.instance
        self._silence.record_heard(sender, now_s=now)
        self._members.record_heard(sender)
        self._apply((heartbeat.status,))
        known = self._members.status(sender)
        if known is not None and known.supersedes(heartbeat.status):
            self._bus.post(sender, StatusNews(statuses=(known,)))
        self._exchange_if_different(sender, heartbeat.digest, now)
        self._record_lag(self._config_watch, heartbeat.config_revision, now)
        self._record_lag(self._replica_watch, heartbeat.replica_revision, now)
        return Ack()

    def _handle_hello(self, hello: Message) -> Message:
        assert isinstance(hello, Hello)
        self._apply((hello.status,))
        known = self._members.status(hello.status.instance)
        statuses = (self._members.own_status,)
        return StatusNews(
            statuses=(*statuses, known) if known is not None else statuses,
            initial_members=self._members.initial_members.ids,
        )

    def _handle_news(self, news: Message) -> Message:
        assert isinstance(news, StatusNews)
        self._apply(news.statuses)
        return Ack()

    def _handle_exchange(self, exchange: Message) -> Message:
        assert isinstance(exchange, StatusExchange)
        self._apply(exchange.statuses)
        return StatusNews(statuses=self._members.statuses)

    def _handle_probe(self, probe: Message) -> Message:
        return Ack()

    def _handle_poison_report(self, report: Message) -> Message:
        assert isinstance(report, PoisonReport)
        self._poison_tracker.add_peer_report(report)
        return Ack()

    def _report_poison(self, report: PoisonReport) -> None:
        self._nursery.start_soon(self._send_poison_report, report)

    def _report_cleared(self, digest: str) -> None:
        self._nursery.start_soon(self._send_cleared, digest)

    async def _send_cleared(self, digest: str) -> None:
        """Tell all peers that a blamed request has run to its end, unless one tells it before.

        The instances whose answers were lost tell it at once, others after a random time: with a
        popular request all instances find out at the same moment.
        """
        if not self._poison_tracker.has_blamed(digest):
            await trio.sleep(self._rng.random() * CLEARED_SPREAD_S)
        report = self._poison_tracker.report_cleared(digest)
        if report is not None:
            await self._send_poison_report(report)

    async def _send_poison_report(self, report: PoisonReport) -> None:
        for pause_s in (POISON_REPEAT_S, 0.0):
            for peer in self._bus.peer_ids:
                self._bus.post(peer, report)
            await trio.sleep(pause_s)

    def _exchange_if_different(self, peer: str, digest: int, now: float) -> None:
        """Exchange all statuses with a peer whose digest has differed for `MISMATCH_S`."""
        if digest == self._members.digest:
            self._differs_since_s_by_id.pop(peer, None)
            return
        since_s = self._differs_since_s_by_id.setdefault(peer, now)
        if now - max(since_s, self._exchanged_s) >= MISMATCH_S:
            self._exchanged_s = now
            self._differs_since_s_by_id.clear()
            self._nursery.start_soon(self._exchange, peer)

    async def _exchange(self, peer: str) -> None:
        exchange = StatusExchange(statuses=self._members.statuses)
        answer = await self._bus.call(peer, exchange, timeout_s=EXCHANGE_TIMEOUT_S)
        if isinstance(answer, Ok) and isinstance(answer.ok_value, StatusNews):
            _log.info("members.exchanged", peer=peer, statuses=len(answer.ok_value.statuses))
            self._apply(answer.ok_value.statuses)

    def _latest_change(self, watch: StoreWatch) -> int:
        """Return the revision of the latest change that a watch has told or a peer has seen."""
        lag = self._lag_by_watch.get(watch)
        return max(watch.last_change_revision, lag.revision if lag is not None else 0)

    def _record_lag(self, watch: StoreWatch, revision: int, now: float) -> None:
        """Record that a peer has seen a change that a watch has not told.

        Other peers may lack it as well, so what they have seen says nothing against it.
        """
        if revision > watch.revision and watch not in self._lag_by_watch:
            self._lag_by_watch[watch] = _Lag(revision, now)

    def _report_lags(self, now: float) -> None:
        """Tell `on_behind` of each watch that has not caught up within `WATCH_LAG_S`."""
        for watch, lag in tuple(self._lag_by_watch.items()):
            if watch.revision >= lag.revision:
                del self._lag_by_watch[watch]
            elif now - lag.since_s > WATCH_LAG_S:
                lag.since_s = now
                self.on_behind(watch.prefix)
