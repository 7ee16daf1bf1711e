"""Simulates many instances that place requests on replicas that name limits, without a network.

The load is that of callers that go on at their usual rate, twice what the limited replicas take.
Each instance has its own view of which instances are live, which follows what happens up to
`MAX_LAG_S` late, so that two instances place for the same replicas for a while. Requests are placed
and limits are told by the gateway's own code; connections, membership and time are simulated.
"""

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from types import SimpleNamespace
from unittest import mock

from result import Ok

from lagoonfold.forwarding import (
    AttemptOutcome,
    Replica,
)
from lagoonfold.placement import (
    PlacementOrder,
    PoolDuties,
    PromptCacheIndex,
    ReplicaPool,
    ReplicaSelection,
    ReplicaSelector,
    ReplicaTracker,
    SelectionInput,
    rank_pools,
)
from lagoonfold_gateway._board import GatewayBoard, LiveView
from lagoonfold_gateway._limit_controller import LimitController
from lagoonfold_gateway._messages import Message
from lagoonfold_gateway._pool_owners import PoolOwners
from lagoonfold_gateway.cold import ColdController
from lagoonfold_gateway.placing import LatencyBaselines
from lagoonfold_gateway.placing._dispatch import Dispatcher, PlacementEvidence
from tests.placement._placing_load import Clock

SERVICE = "models"
LATENCY_S = 0.001
HEAD_S = 0.06
ANSWER_S = 0.2
MAX_LAG_S = 1.0  # until an instance knows that another one is lost
SLOTS = 12


class _Bus:
    """Stands in for the connections of one instance to the others."""

    def __init__(self, own_id: str, fleet: "LimitedFleet") -> None:
        self.own_id = own_id
        self._fleet = fleet
        self._handlers_by_type: dict[type, Callable[[Message], Message]] = {}

    @property
    def peer_ids(self) -> tuple[str, ...]:
        return tuple(key for key in self._fleet.instance_by_id if key != self.own_id)

    def register_handler(self, message_type: type) -> Callable[[Callable], Callable]:
        def register(handler: Callable) -> Callable:
            self._handlers_by_type[message_type] = handler
            return handler

        return register

    def post(self, peer: str, message: Message) -> None:
        self._fleet.carry(self.own_id, peer, lambda: self._fleet.handle(peer, message))

    def handle(self, message: Message) -> None:
        self._handlers_by_type[type(message)](message)


class _Members:
    """Stands in for one instance's view of the others; `known` are those that the store lists."""

    def __init__(self, own_id: str, board: GatewayBoard, known: set[str]) -> None:
        self._own_id = own_id
        self._board = board
        self._known = known

    def hears_most(self) -> bool:
        return 2 * len(self._board.live.read().ids) > len(self._known)


class Instance:
    """One simulated instance."""

    def __init__(self, own_id: str, fleet: "LimitedFleet") -> None:
        self.board = GatewayBoard()
        self.bus = _Bus(own_id, fleet)
        self.members = _Members(own_id, self.board, fleet.known)
        self.pool_owners = PoolOwners(self.board, SimpleNamespace(check=lambda: None))
        self.limit_controller = LimitController(
            self.board, self.bus, self.members, self.pool_owners
        )
        self.store = SimpleNamespace()
        self.cold_controller = ColdController(
            self.board, self.limit_controller.placing_since_s, self.store
        )
        tracker, prompt_index = ReplicaTracker(), PromptCacheIndex()
        selector = ReplicaSelector(
            tracker,
            prompt_index,
            random.Random(own_id),
            self.limit_controller.limits,
            cold=self.cold_controller.cold,
        )
        self.dispatcher = Dispatcher(
            self.board, selector, tracker, prompt_index, LatencyBaselines()
        )
        for replica in fleet.replica_by_id.values():
            self.board.replicas.read().put(replica)
        self.board.replicas.write(self.board.replicas.read())
        self.store.on_listed()


@dataclass(slots=True)
class LimitedFleet:
    """Instances and replicas; `arrived_at_s` are the times of the requests at each replica.

    For `busy_share` of the requests the owner of the pool says that it is busy.
    """

    rng: random.Random
    clock: Clock = field(default_factory=Clock)
    replica_by_id: dict[str, Replica] = field(default_factory=dict)
    limit_by_id: dict[str, float] = field(default_factory=dict)
    instance_by_id: dict[str, Instance] = field(default_factory=dict)
    known: set[str] = field(default_factory=set)
    group_by_id: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    arrived_at_s: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    refused: int = 0
    busy_share: float = 0.0

    def add_replicas(self, count: int) -> None:
        """List replicas, before any instance starts."""
        for number in range(count):
            replica_id = f"r{number}"
            self.replica_by_id[replica_id] = Replica(
                replica_id=replica_id,
                service=SERVICE,
                address=f"10.0.0.{number}:1",
                failure_domain="zone-a",
                slots=SLOTS,
            )

    def start(self, *instance_ids: str) -> None:
        """Start instances; the others learn of them a little later."""
        for instance_id in instance_ids:
            self.known.add(instance_id)
            self.instance_by_id[instance_id] = Instance(instance_id, self)
        for instance_id in instance_ids:
            self._see(instance_id)
        self._tell_changes()

    def stop(self, *instance_ids: str) -> None:
        """End instances; the store no longer lists them some seconds later."""
        for instance_id in instance_ids:
            del self.instance_by_id[instance_id]
            self.clock.call_later(3.0, lambda key=instance_id: self._unlist(key))
        self._tell_changes()

    def cut_off(self, *instance_ids: str) -> None:
        """Cut instances off from the others; they still reach each other and the replicas."""
        self.group_by_id.update(dict.fromkeys(instance_ids, 1))
        self._tell_changes()

    def heal(self) -> None:
        """End all cuts."""
        self.group_by_id.clear()
        self._tell_changes()

    def owner(self, pool: ReplicaPool) -> str:
        """Return the instance that the largest group takes for the owner of a pool."""
        ids = [key for key in self.instance_by_id if not self.group_by_id[key]]
        duties = PoolDuties()
        duties.set_instances(dict.fromkeys(ids, 1.0))
        return duties.assign(pool.service, pool.count)[pool.index].owner

    def carry(self, sender: str, receiver: str, deliver: Callable[[], None]) -> bool:
        """Deliver a message after the latency, unless it cannot arrive; return whether it can."""
        if receiver not in self.instance_by_id:
            return False
        if self.group_by_id[sender] != self.group_by_id[receiver]:
            return False
        self.clock.call_later(LATENCY_S, deliver)
        return True

    def handle(self, receiver: str, message: Message) -> None:
        """Handle a message, unless its receiver has ended meanwhile."""
        instance = self.instance_by_id.get(receiver)
        if instance is not None:
            instance.bus.handle(message)

    def send_requests(self, per_s: float, until_s: float) -> None:
        """Let requests arrive at instances drawn at random."""

        def arrive() -> None:
            if self.clock.now_s < until_s:
                self.clock.call_later(self.rng.expovariate(per_s), arrive)
                self._place(self.rng.choice(tuple(self.instance_by_id)))

        self.clock.call_later(0.0, arrive)

    def run_until(self, end_s: float) -> None:
        """Run the simulation with the gateway's clock in place of the real one."""
        clock = SimpleNamespace(
            clock_gettime=lambda _: self.clock.now_s, CLOCK_BOOTTIME=0, time=lambda: 0.0
        )
        with mock.patch("lagoonfold_gateway._clock.time", clock):
            self.clock.run_until(end_s)

    def _place(self, instance_id: str) -> None:
        """Ask the owner of a pool for a replica, then its deputy; without an answer, select one."""
        instance = self.instance_by_id[instance_id]
        replicas = list(self.replica_by_id.values())
        pool = rank_pools(SERVICE, replicas, str(self.rng.random()))[0]
        duty = instance.pool_owners.duty(pool)
        is_owner_busy = self.busy_share > 0 and self.rng.random() < self.busy_share
        for placing in (duty.deputy,) if is_owner_busy else (duty.owner, duty.deputy):
            place = partial(self._place_at, placing, instance_id, pool)
            if placing is not None and self.carry(instance_id, placing, place):
                return
        self._place_at(instance_id, instance_id, ReplicaPool(SERVICE))

    def _place_at(self, placing: str, sender: str, pool: ReplicaPool) -> None:
        instance = self.instance_by_id.get(placing)
        if instance is None or sender not in self.instance_by_id:
            return
        order = PlacementOrder(rank=0, tie_break=0.0, wait_until_s=0.0, may_wait=False)
        wanted = SelectionInput(typical_latency_s=ANSWER_S)
        placed = instance.dispatcher.place(pool, wanted, order)
        if not (isinstance(placed, Ok) and isinstance(placed.ok_value, ReplicaSelection)):
            self.refused += 1
            return
        replica = placed.ok_value.replica
        placed_at_s = self.clock.now_s
        self.clock.call_later(LATENCY_S, lambda: self._arrive(replica, sender))
        self.clock.call_later(ANSWER_S, lambda: self._end(placing, pool, replica, placed_at_s))

    def _arrive(self, replica: Replica, sender: str) -> None:
        self.arrived_at_s[replica.replica_id].append(self.clock.now_s)
        self.clock.call_later(HEAD_S, lambda: self._receive_head(replica, sender))

    def _receive_head(self, replica: Replica, sender: str) -> None:
        instance = self.instance_by_id.get(sender)
        limit = self.limit_by_id.get(replica.replica_id)
        if instance is not None and limit is not None:
            instance.limit_controller.record_head(replica, (str(limit),))

    def _end(self, placing: str, pool: ReplicaPool, replica: Replica, placed_at_s: float) -> None:
        instance = self.instance_by_id.get(placing)
        if instance is None:
            return
        evidence = PlacementEvidence(route="turns", outcome=AttemptOutcome.ANSWERED)
        instance.dispatcher.record_end(pool, replica, evidence, sender=placing)
        if replica.replica_id not in self.limit_by_id:
            instance.limit_controller.record_unlimited(replica, placed_at_s=placed_at_s)

    def _unlist(self, instance_id: str) -> None:
        if instance_id not in self.instance_by_id:
            self.known.discard(instance_id)

    def _tell_changes(self) -> None:
        for instance_id in self.instance_by_id:
            lag_s = self.rng.uniform(0.0, MAX_LAG_S)
            self.clock.call_later(lag_s, lambda key=instance_id: self._see(key))

    def _see(self, instance_id: str) -> None:
        """Let an instance learn which instances live and can be reached."""
        instance = self.instance_by_id.get(instance_id)
        if instance is None:
            return
        group = self.group_by_id[instance_id]
        ids = tuple(sorted(key for key in self.instance_by_id if self.group_by_id[key] == group))
        if ids != instance.board.live.read().ids:
            instance.board.live.write(LiveView(ids, self.clock.now_s))
