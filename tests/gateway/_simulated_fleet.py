"""Many instances' membership in one event loop on a virtual clock, over a simulated network.

Each instance runs the code of a gateway that finds and watches the others; only the connections
between instances and the clock are simulated. A fleet of 300 instances needs no sockets and no real
time.
"""

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from types import SimpleNamespace
from unittest import mock

import trio
import trio.testing
from result import Err, Ok, Result

from lagoonfold import ABSENT_REVISION, Listing, WatchEvent
from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway._feed_client import FeedClient
from lagoonfold_gateway._heartbeats import Heartbeats
from lagoonfold_gateway._member_controller import POLL_INTERVAL_S, MemberController
from lagoonfold_gateway._messages import Ack, Message, type_name
from lagoonfold_gateway._peer_link import PeerFault
from lagoonfold_gateway._peers import Handler
from lagoonfold_gateway._poison_tracker import PoisonTracker
from lagoonfold_gateway._registration import MEMBER_PREFIX
from lagoonfold_gateway._settings import InstanceSection
from lagoonfold_gateway._store_mirror import StoreMirror
from lagoonfold_gateway._store_watch import COPY_TERMS, PollTerms, StoreWatch, poll_limit_s
from standins.transactional_store import MemoryStore, StoreView

CONFIG, REPLICAS = "config", "replicas/"  # prefixes that all instances follow
IN_FORCE_S = 2.0  # in which a change of either must be in force everywhere
POLL_TERMS_BY_PREFIX = {
    MEMBER_PREFIX: PollTerms(min_interval_s=POLL_INTERVAL_S),
    CONFIG: PollTerms(limit_s=poll_limit_s(IN_FORCE_S)),
    REPLICAS: PollTerms(limit_s=poll_limit_s(IN_FORCE_S)),
}
LATENCY_S = 0.001  # between two instances, one way
CONNECT_TIMEOUT_S = 0.3  # until a message to an instance that is cut off fails


@dataclass(slots=True)
class Network:
    """The connections between instances; messages are counted by their receiver."""

    bus_by_id: dict[str, "SimulatedBus"] = field(default_factory=dict)
    cut_off: set[str] = field(default_factory=set)
    cut_pairs: set[frozenset[str]] = field(default_factory=set)
    received_by_id: Counter[str] = field(default_factory=Counter)
    types: Counter[str] = field(default_factory=Counter)

    async def carry(self, sender: str, receiver: str, message: Message) -> Result[None, PeerFault]:
        """Wait until a message arrives, or fail like a connection does."""
        pair = frozenset((sender, receiver))
        if pair & self.cut_off or pair in self.cut_pairs:
            await trio.sleep(CONNECT_TIMEOUT_S)
            return Err(PeerFault.UNREACHED)
        await trio.sleep(LATENCY_S)
        if receiver not in self.bus_by_id:
            return Err(PeerFault.REFUSED)
        self.received_by_id[receiver] += 1
        self.types[type_name(message)] += 1
        return Ok(None)


class SimulatedBus:
    """Stands in for `PeerBus`."""

    def __init__(self, own_id: str, network: Network, nursery: trio.Nursery) -> None:
        self.own_id = own_id
        self.last_received_s = trio.current_time()
        self.on_fault: Callable[[str, PeerFault], None] = lambda peer, fault: None
        self.on_answer: Callable[[str], None] = lambda peer: None
        self.on_closed: Callable[[str], None] = lambda peer: None
        self._network = network
        self._nursery = nursery
        self._peers: dict[str, None] = {}
        self._handlers_by_type: dict[type, Handler] = {}
        network.bus_by_id[own_id] = self

    def register_handler(self, message_type: type) -> Callable[[Handler], Handler]:
        def register(handler: Handler) -> Handler:
            self._handlers_by_type[message_type] = handler
            return handler

        return register

    def set_peer(self, peer: str, address: str) -> None:
        self._peers[peer] = None

    def drop_peer(self, peer: str) -> None:
        self._peers.pop(peer, None)

    @property
    def peer_ids(self) -> tuple[str, ...]:
        return tuple(self._peers)

    def post(self, peer: str, message: Message) -> None:
        self._nursery.start_soon(self._post, peer, message)

    async def _post(self, peer: str, message: Message) -> None:
        carried = await self._network.carry(self.own_id, peer, message)
        if isinstance(carried, Err):
            self.on_fault(peer, carried.err_value)
        else:
            await self._network.bus_by_id[peer].handle(message)

    async def call(
        self, peer: str, message: Message, *, timeout_s: float
    ) -> Result[Message, PeerFault]:
        with trio.move_on_after(timeout_s):
            carried = await self._network.carry(self.own_id, peer, message)
            if isinstance(carried, Err):
                self.on_fault(peer, carried.err_value)
                return Err(carried.err_value)
            answer = await self._network.bus_by_id[peer].handle(message)
            carried = await self._network.carry(peer, self.own_id, answer)
            if isinstance(carried, Err):
                return Err(carried.err_value)
            self.last_received_s = trio.current_time()
            self.on_answer(peer)
            return Ok(answer)
        self.on_fault(peer, PeerFault.TIMEOUT)
        return Err(PeerFault.TIMEOUT)

    async def call_anew(
        self, peer: str, message: Message, *, timeout_s: float
    ) -> Result[Message, PeerFault]:
        return await self.call(peer, message, timeout_s=timeout_s)

    async def handle(self, message: Message) -> Message:
        self.last_received_s = trio.current_time()
        handler = self._handlers_by_type.get(type(message))
        answer = handler(message) if handler is not None else Ack()
        return await answer if isinstance(answer, Awaitable) else answer


@dataclass(slots=True)
class Member:
    """One simulated instance."""

    board: GatewayBoard
    members: MemberController
    heartbeats: Heartbeats | None
    mirror: StoreMirror
    view: StoreView
    scope: trio.CancelScope
    seen: dict[str, bytes] = field(default_factory=dict)
    store_returns: Counter[str] = field(default_factory=Counter)

    @property
    def live(self) -> tuple[str, ...]:
        return self.board.live.read().ids


@dataclass(slots=True)
class SimulatedFleet:
    """Instances that find each other through one store."""

    nursery: trio.Nursery
    store: MemoryStore = field(default_factory=MemoryStore)
    network: Network = field(default_factory=Network)
    member_by_id: dict[str, Member] = field(default_factory=dict)
    view_by_id: dict[str, StoreView] = field(default_factory=dict)
    _starts: int = 0

    async def start(self, instance_id: str, domain: str = "zone-a", *, cores: float = 1.0) -> None:
        """Start an instance."""
        self._starts += 1
        await self.nursery.start(self._run, instance_id, f"start-{self._starts}", domain, cores)

    async def start_all(self, count: int, domains: int = 1) -> None:
        """Start instances in some failure domains, and wait until all know each other."""
        for number in range(count):
            await self.start(f"i{number}", f"zone-{number % domains}")
        await self.wait_until(self.is_settled)

    def kill(self, *instance_ids: str) -> None:
        """End instances' processes; their connections end, and new ones are refused."""
        for instance_id in instance_ids:
            self.network.bus_by_id.pop(instance_id)
            self.member_by_id.pop(instance_id).scope.cancel()
        for bus in tuple(self.network.bus_by_id.values()):
            for instance_id in instance_ids:
                bus.on_closed(instance_id)

    def power_off(self, *instance_ids: str) -> None:
        """Stop instances without a trace on the network."""
        self.network.cut_off.update(instance_ids)
        for instance_id in instance_ids:
            self.member_by_id.pop(instance_id).scope.cancel()

    def is_settled(self) -> bool:
        """Return whether each instance sees exactly the running ones as live."""
        expected = tuple(sorted(self.member_by_id))
        return all(member.live == expected for member in self.member_by_id.values())

    async def wait_until(self, is_true: Callable[[], bool], *, within_s: float = 10.0) -> float:
        """Wait until a predicate holds; return for how long."""
        began_s = trio.current_time()
        with trio.fail_after(within_s):
            while not is_true():
                await trio.sleep(0.01)
        return trio.current_time() - began_s

    async def _run(
        self,
        instance_id: str,
        start_id: str,
        domain: str,
        cores: float,
        *,
        task_status: trio.TaskStatus[None],
    ) -> None:
        async with trio.open_nursery() as nursery:
            board = GatewayBoard()
            bus = SimulatedBus(instance_id, self.network, nursery)
            instance = InstanceSection(
                id=instance_id,
                failure_domain=domain,
                listen="127.0.0.1:1",
                readiness="127.0.0.1:2",
                peers="127.0.0.1:3",
                processor_cores=cores,
            )
            view = self.view_by_id.setdefault(instance_id, StoreView(self.store))
            mirror = StoreMirror(view, POLL_TERMS_BY_PREFIX)
            members = MemberController(instance, start_id, board, bus, view, mirror)
            feed_client = FeedClient(board, bus, members, mirror, nursery)
            member = self.member_by_id[instance_id] = Member(
                board, members, None, mirror, view, nursery.cancel_scope
            )
            watches = [_watch(mirror, prefix, member) for prefix in (CONFIG, REPLICAS)]
            heartbeats = member.heartbeats = Heartbeats(
                bus,
                members,
                PoisonTracker(),
                *watches,
                nursery,
                random.Random(instance_id),
            )
            heartbeats.on_behind = feed_client.refresh
            for task in (
                members.registration.run,
                members.find_members,
                members.follow_members,
                feed_client.run,
                heartbeats.run,
                heartbeats.watch_peers,
                *(watch.run for watch in watches),
            ):
                nursery.start_soon(task)
            task_status.started()


def _watch(mirror: StoreMirror, prefix: str, member: Member) -> StoreWatch:
    """Return a watch that keeps what it has been told, and counts the returns of the store."""
    seen = member.seen

    def apply_listing(listing: Listing) -> None:
        for key in tuple(seen):
            if key.startswith(prefix):
                del seen[key]
        seen.update({entry.key: entry.value for entry in listing.entries})

    def apply_event(event: WatchEvent) -> None:
        if event.entry.revision == ABSENT_REVISION:
            seen.pop(event.entry.key, None)
        else:
            seen[event.entry.key] = event.entry.value

    return StoreWatch(
        mirror,
        prefix,
        on_listing=apply_listing,
        on_event=apply_event,
        on_store_recovered=lambda: member.store_returns.update([prefix]),
        terms=COPY_TERMS,
    )


def run_on_virtual_clock(check: Callable[[], Awaitable[None]]) -> None:
    """Run a check with a clock of the gateway that jumps ahead when everything waits."""

    async def run() -> None:
        clock = SimpleNamespace(
            clock_gettime=lambda _: trio.current_time(), CLOCK_BOOTTIME=0, time=trio.current_time
        )
        with mock.patch("lagoonfold_gateway._clock.time", clock):
            await check()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def run_simulated(check: Callable[[SimulatedFleet], Awaitable[None]]) -> None:
    """Run a check with an empty fleet on a virtual clock."""

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            await check(SimulatedFleet(nursery))
            nursery.cancel_scope.cancel()

    run_on_virtual_clock(run)
