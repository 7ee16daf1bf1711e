"""Simulates requests of many sizes on a service of which all replicas but one name limits.

The requests take the rate of the limits and what the slots of the last replica serve, on average.
A replica generates more slowly the more requests it runs. The callers' estimates are rough.
Requests are placed by the library's own code at one owner; replicas and time are simulated.
"""

import random
from dataclasses import dataclass, field

from result import Err

from lagoonfold.forwarding import Replica
from lagoonfold.placement import (
    PlacementOrder,
    PlacementQueue,
    PromptCacheIndex,
    ReplicaSelection,
    ReplicaSelector,
    ReplicaTracker,
    SelectionInput,
)
from tests.placement._placing_load import Clock

REPLICAS = 5
SLOTS = 12
LIMIT_PER_S = 5.5
REQUESTS_PER_S = 68.0
MEDIAN_TOKENS = 45.0
SPREAD = 0.8  # standard deviation of the logarithm of the number of tokens
ESTIMATE_SPREAD = 0.5  # of the logarithm of the estimate
STEP_S = 0.0029  # for a token of each running request
STEP_GROWTH_S = 0.0001  # for each running request
PATIENCE_S = 1.8
RECHECK_S = 0.02


@dataclass(slots=True)
class Outcomes:
    """What callers got: the waits of the served requests, in seconds, and the refusals."""

    waits_s: list[float] = field(default_factory=list)
    refused: int = 0


def serve(span_s: float, *, tells_sizes: bool, seed: int = 21) -> Outcomes:
    """Send requests to a pool for some seconds, with or without estimates of their sizes."""
    rng, clock, tracker = random.Random(seed), Clock(), ReplicaTracker()
    selector = ReplicaSelector(tracker, PromptCacheIndex(), random.Random(seed))
    queue: PlacementQueue[tuple[float, float]] = PlacementQueue(selector, tracker)
    replicas = [_replica(number) for number in range(REPLICAS)]
    for replica in replicas[1:]:
        selector.limits.record_named(replica.replica_id, 0, LIMIT_PER_S, now_s=0.0)
    outcomes = Outcomes()

    def arrive() -> None:
        now_s = clock.now_s
        clock.call_later(rng.expovariate(REQUESTS_PER_S), arrive)
        tokens = MEDIAN_TOKENS * rng.lognormvariate(0.0, SPREAD)
        estimate = round(tokens * rng.lognormvariate(0.0, ESTIMATE_SPREAD))
        request = SelectionInput(
            typical_latency_s=0.2, expected_tokens=estimate if tells_sizes else None
        )
        order = PlacementOrder(rank=0, tie_break=now_s, wait_until_s=now_s + PATIENCE_S)
        placed = queue.place((now_s, tokens), request, order, replicas, now_s=now_s)
        if isinstance(placed, Err):
            outcomes.refused += 1
        elif placed.ok_value is not None:
            begin((now_s, tokens), placed.ok_value)

    def begin(item: tuple[float, float], selection: ReplicaSelection) -> None:
        arrived_s, tokens = item
        outcomes.waits_s.append(clock.now_s - arrived_s)
        running = min(SLOTS, selection.requests + 1)
        waits_for_slot = (selection.requests + 1 - running) / SLOTS
        took_s = tokens * (STEP_S + STEP_GROWTH_S * running) * (1 + waits_for_slot)
        clock.call_later(took_s, lambda: end(selection.replica.replica_id))

    def end(replica_id: str) -> None:
        tracker.record_ended(replica_id)
        queue.record_freed(now_s=clock.now_s)
        grant()

    def grant() -> None:
        for item, selection in queue.grant(replicas, now_s=clock.now_s):
            begin(item, selection)

    def recheck() -> None:
        grant()
        clock.call_later(RECHECK_S, recheck)

    clock.call_later(0.0, arrive)
    clock.call_later(0.0, recheck)
    clock.run_until(span_s)
    return outcomes


def _replica(number: int) -> Replica:
    return Replica(
        replica_id=f"r{number}",
        service="models",
        address=f"10.0.0.{number}:1",
        failure_domain="zone-a",
        slots=SLOTS,
    )
