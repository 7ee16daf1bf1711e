"""Simulates requests that arrive at many instances and run on the slots of a service's replicas.

The load is a calm day: 24 replicas of 6 slots, requests of a quarter of a second, a third of the
slots taken. Each replica runs as many requests as it has slots and queues the others in order of
arrival. Requests are placed by the library's own code at the owners of pools; connections and time
are simulated.
"""

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err

from lagoonfold import rendezvous_weight
from lagoonfold.forwarding import Replica
from lagoonfold.placement import (
    PlacementOrder,
    PlacementQueue,
    PromptCacheIndex,
    ReplicaPool,
    ReplicaSelector,
    ReplicaTracker,
    SelectionInput,
    rank_pools,
)

REPLICAS = 24
SLOTS = 6
SERVICE_S = 0.25
SPREAD = 0.5  # standard deviation of the logarithm of the service time
LATENCY_S = 0.001  # one way, between instances and to replicas
SERVICE = "models"


@dataclass(slots=True)
class SimulatedReplica:
    """A replica with its running and waiting requests."""

    listed: Replica
    running: int = 0
    waiting: deque[Callable[[], None]] = field(default_factory=deque)


class Clock:
    """Runs callbacks in order of their time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay."""
        heapq.heappush(self._due, (self.now_s + delay_s, next(self._order), callback))

    def run_until(self, end_s: float) -> None:
        """Run everything that is due until a time."""
        while self._due and self._due[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self._due)
            callback()


class Exchange:
    """Each pool of replicas has an owner, which places the requests of all instances there."""

    def __init__(self, size: int, clock: Clock, replicas: list[Replica], seed: int) -> None:
        self._clock = clock
        self._replicas = replicas
        self._tracker_by_instance = {f"i{number}": ReplicaTracker() for number in range(size)}
        self._queue_by_pool: dict[ReplicaPool, PlacementQueue[Callable[[str], None]]] = {}
        self._tracker_by_pool: dict[ReplicaPool, ReplicaTracker] = {}
        for pool in rank_pools(SERVICE, replicas, ""):
            owner = max(
                self._tracker_by_instance, key=lambda name: rendezvous_weight(pool.subject, name)
            )
            tracker = self._tracker_by_pool[pool] = self._tracker_by_instance[owner]
            rng = random.Random(f"{seed}-{pool.subject}")
            selector = ReplicaSelector(tracker, PromptCacheIndex(), rng)
            self._queue_by_pool[pool] = PlacementQueue(selector, tracker)

    def place(self, key: str, then: Callable[[str], None]) -> None:
        """Ask the owners of the pools in turn; wait at the first if no pool has a slot."""
        self._ask(rank_pools(SERVICE, self._replicas, key), 0, then)

    def _ask(self, pools: list[ReplicaPool], turn: int, then: Callable[[str], None]) -> None:
        may_wait = turn == len(pools)
        pool = pools[0] if may_wait else pools[turn]

        def reply(replica_id: str) -> None:
            self._clock.call_later(LATENCY_S, lambda: then(replica_id))

        def decide() -> None:
            placed = self._queue_by_pool[pool].place(
                reply,
                SelectionInput(typical_latency_s=SERVICE_S),
                PlacementOrder(rank=0, tie_break=0.0, wait_until_s=math.inf, may_wait=may_wait),
                pool.select(self._replicas),
                now_s=self._clock.now_s,
            )
            if isinstance(placed, Err):
                self._clock.call_later(LATENCY_S, lambda: self._ask(pools, turn + 1, then))
            elif placed.ok_value is not None:
                reply(placed.ok_value.replica.replica_id)

        self._clock.call_later(LATENCY_S, decide)

    def end(self, replica_id: str) -> None:
        """Tell the owner, after the latency, that a request at a replica has ended."""
        pool = next(pool for pool in self._queue_by_pool if pool.holds(replica_id))

        def free() -> None:
            self._tracker_by_pool[pool].record_ended(replica_id)
            queue = self._queue_by_pool[pool]
            queue.record_freed(now_s=self._clock.now_s)
            replicas = pool.select(self._replicas)
            for reply, selection in queue.grant(replicas, now_s=self._clock.now_s):
                reply(selection.replica.replica_id)

        self._clock.call_later(LATENCY_S, free)


def make_replicas() -> list[Replica]:
    """Return the service's replicas as discovery lists them."""
    return [
        Replica(
            replica_id=f"r{number}",
            service=SERVICE,
            address=f"10.0.0.{number}:1",
            failure_domain="zone-a",
            slots=SLOTS,
        )
        for number in range(REPLICAS)
    ]


def waits_for_slots(size: int, *, utilization: float, span_s: float, seed: int) -> list[float]:
    """Return how long each request waited for a slot, at owner and replica, in seconds."""
    rng, clock = random.Random(seed), Clock()
    replica_by_id = {listed.replica_id: SimulatedReplica(listed) for listed in make_replicas()}
    listed = [replica.listed for replica in replica_by_id.values()]
    exchange = Exchange(size, clock, listed, seed)
    waits: list[float] = []
    sessions = itertools.count()
    per_s = utilization * REPLICAS * SLOTS / SERVICE_S

    def arrive() -> None:
        clock.call_later(rng.expovariate(per_s), arrive)
        arrived_s = clock.now_s

        def reach(replica_id: str) -> None:
            clock.call_later(LATENCY_S, lambda: start(replica_by_id[replica_id], arrived_s))

        exchange.place(f"session-{next(sessions)}", reach)

    def start(replica: SimulatedReplica, arrived_s: float) -> None:
        if replica.running == SLOTS:
            replica.waiting.append(lambda: start(replica, arrived_s))
            return
        waits.append(clock.now_s - arrived_s)
        replica.running += 1
        clock.call_later(
            SERVICE_S * rng.lognormvariate(-(SPREAD**2) / 2, SPREAD), lambda: end(replica)
        )

    def end(replica: SimulatedReplica) -> None:
        replica.running -= 1
        exchange.end(replica.listed.replica_id)
        if replica.waiting:
            replica.waiting.popleft()()

    clock.call_later(0.0, arrive)
    clock.run_until(span_s)
    return waits
