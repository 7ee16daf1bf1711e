"""Simulates an owner of a pool that runs out of processor time, or is lost, without a network.

The load is that of the observations: 72 instances, 22 replicas of 6 slots, 450 requests a second of
a quarter of a second each. An instance handles its messages one after the other, each of which
takes processor time. An owner that does not respond in time is not asked for a while. Who is asked,
whether an owner is busy and the selection are the library's own code; processor time, connections
and time are simulated. Without `has_deputies` instances then place by their own knowledge, as the
previous build does.
"""

import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from result import Ok

from lagoonfold.forwarding import Replica
from lagoonfold.placement import (
    TIMER_S,
    OwnerLoad,
    OwnerTrust,
    PlacementOrder,
    PlacementQueue,
    PoolDuties,
    PoolDuty,
    PromptCacheIndex,
    ReplicaSelector,
    ReplicaTracker,
    SelectionInput,
)
from tests.placement._placing_load import LATENCY_S, SERVICE, SERVICE_S, SLOTS, SPREAD, Clock

INSTANCES, REPLICAS, PER_S = 72, 22, 450.0
CALL_TIMEOUT_S, HOLD_S = 0.15, 0.5  # as instances allow an owner
PATIENCE_S = 2.0  # without an event, after which clients disconnect
ROOM = 8  # requests at a replica that an owner places: its slots, and a short queue
MAX_AT_REPLICA = 4 * SLOTS  # beyond that a replica rejects as full
RETRY_S = 0.05  # after a replica was full
REFUSE_S = 0.0001  # of processor time, to say that the instance is busy
DEPUTY_SPEED = 2.0  # times that of the owner; the largest machines have four times the cores

Work = Callable[[], float]  # does something and returns the processor time that it took


@dataclass(slots=True, eq=False)
class Request:
    """A request of a client at an instance."""

    sender: "Instance"
    arrived_s: float
    asked: list[str] = field(default_factory=list)
    is_over: bool = False


@dataclass(slots=True, eq=False)
class Ask:
    """A request for a place at an instance, which has an answer at most once."""

    request: Request
    placing: "Instance"
    by: str
    is_answered: bool = False


class Instance:
    """An instance with its processor, and what it knows of the replicas."""

    def __init__(self, name: str, fleet: "OwnerFleet", speed: float) -> None:
        self.name, self.is_lost = name, False
        self.trust, self.load, self.tracker = OwnerTrust(), OwnerLoad(), ReplicaTracker()
        rng = random.Random(name)
        selector = ReplicaSelector(self.tracker, PromptCacheIndex(), rng)
        self.queue: PlacementQueue[Ask] = PlacementQueue(selector, self.tracker)
        self._fleet, self._speed = fleet, speed
        self._works: deque[Work] = deque()
        self._is_working = False
        self._expect_timer()

    def do(self, work: Work) -> None:
        """Do something once all that came before is done; a lost instance does nothing."""
        self._works.append(work)
        if not self._is_working:
            self._is_working = True
            self._next()

    def _next(self) -> None:
        if not self._works or self.is_lost:
            self._is_working = False
            return
        took_s = self._works.popleft()() / self._speed
        self._fleet.clock.call_later(took_s, self._next)

    def _expect_timer(self) -> None:
        self.load.expect(self._fleet.clock.now_s + TIMER_S)
        self._fleet.clock.call_later(TIMER_S, lambda: self.do(self._run_timer))

    def _run_timer(self) -> float:
        self.load.record_ran(now_s=self._fleet.clock.now_s)
        self._expect_timer()
        return 0.0


@dataclass(slots=True)
class Results:
    """What clients got: `waits_s` until their requests ran at a replica, in seconds."""

    requests: int = 0
    placed: Counter[str] = field(default_factory=Counter)
    beyond_room: int = 0
    left: int = 0
    waits_s: list[float] = field(default_factory=list)

    @property
    def beyond_share(self) -> float:
        """Return the share of placements at replicas that had no room."""
        return self.beyond_room / sum(self.placed.values())

    @property
    def left_share(self) -> float:
        """Return the share of clients that left before their request ran."""
        return self.left / self.requests

    def quantile_s(self, share: float) -> float:
        """Return a quantile of the time until a request ran."""
        return sorted(self.waits_s)[int(share * (len(self.waits_s) - 1))]

    @property
    def mean_s(self) -> float:
        """Return the mean time until a request ran."""
        return sum(self.waits_s) / len(self.waits_s)


class OwnerFleet:
    """Instances in front of one pool; a placement takes its owner `place_s` of processor time."""

    def __init__(self, *, has_deputies: bool, place_s: float, end_s: float, seed: int) -> None:
        self.clock, self.results = Clock(), Results()
        self._has_deputies = has_deputies
        self._place_s, self._end_s = place_s, end_s
        self._rng = random.Random(seed)
        self._listed = [
            Replica(
                replica_id=f"r{number}",
                service=SERVICE,
                address=f"10.0.0.{number}:1",
                failure_domain="zone-a",
                slots=SLOTS,
            )
            for number in range(REPLICAS)
        ]
        self._waiting_at: dict[str, deque[Ask]] = {
            each.replica_id: deque() for each in self._listed
        }
        self._running: Counter[str] = Counter()
        duties = PoolDuties()
        duties.set_instances({f"i{number}": 1.0 for number in range(INSTANCES)})
        (duty,) = duties.assign(SERVICE, 1)
        self.duty = duty if has_deputies else PoolDuty(duty.owner, None)
        self.instance_by_id = {
            name: Instance(name, self, 1.0 if name == duty.owner else DEPUTY_SPEED)
            for name in (f"i{number}" for number in range(INSTANCES))
        }
        self.clock.call_later(0.0, self._arrive)

    def lose_owner(self, name: str) -> None:
        """Let an instance stop without a trace."""
        self.instance_by_id[name].is_lost = True

    def _arrive(self) -> None:
        self.clock.call_later(self._rng.expovariate(PER_S), self._arrive)
        sender = self._rng.choice(list(self.instance_by_id.values()))
        if not sender.is_lost:
            self.results.requests += 1
            request = Request(sender, self.clock.now_s)
            self.clock.call_later(PATIENCE_S, lambda: self._leave(request))
            self._ask(request)

    def _leave(self, request: Request) -> None:
        if not request.is_over:
            request.is_over = True
            self.results.left += 1

    def _ask(self, request: Request) -> None:
        """Ask the next instance for a place, or let the request's own instance place it."""
        if request.is_over:
            return
        sender = request.sender
        name = sender.trust.next_to_ask(self.duty, asked=request.asked, now_s=self.clock.now_s)
        if name is None:
            request.asked.clear()
            self._handle(Ask(request, sender, "self"))
            return
        request.asked.append(name)
        by = "owner" if name == self.duty.owner else "deputy"
        ask = Ask(request, self.instance_by_id[name], by)
        self._later(LATENCY_S, lambda: ask.placing.do(lambda: self._handle(ask)))
        self._later(HOLD_S + CALL_TIMEOUT_S, lambda: self._give_up(ask))

    def _give_up(self, ask: Ask) -> None:
        """Ask the next instance if one has not answered in time; withdraw the request there."""
        if not ask.is_answered:
            ask.is_answered = True
            ask.request.sender.trust.record_silent(ask.placing.name, now_s=self.clock.now_s)
            self._later(LATENCY_S, lambda: ask.placing.do(lambda: self._withdraw(ask)))
            self._ask(ask.request)

    def _withdraw(self, ask: Ask) -> float:
        ask.placing.queue.withdraw(ask)
        return self._end_s

    def _handle(self, ask: Ask) -> float:
        """Place a request, or let it wait; return the processor time that it took."""
        placing, now = ask.placing, self.clock.now_s
        if ask.by != "self" and self._has_deputies and placing.load.is_busy(now_s=now):
            self._later(LATENCY_S, lambda: self._refuse_as_busy(ask))
            return REFUSE_S
        wanted = SelectionInput(
            typical_latency_s=SERVICE_S, by_reports=self._has_deputies and ask.by == "self"
        )
        order = PlacementOrder(rank=0, tie_break=now, wait_until_s=now + PATIENCE_S, may_wait=True)
        placed = placing.queue.place(ask, wanted, order, self._listed, now_s=now)
        if isinstance(placed, Ok) and placed.ok_value is not None:
            self._tell_placed(ask, placed.ok_value.replica.replica_id)
        else:
            self._later(HOLD_S, lambda: self._end_hold(ask))
        return self._place_s

    def _refuse_as_busy(self, ask: Ask) -> None:
        if not ask.is_answered:
            ask.is_answered = True
            ask.request.sender.trust.record_busy(ask.placing.name, now_s=self.clock.now_s)
            self._ask(ask.request)

    def _end_hold(self, ask: Ask) -> None:
        """Tell that a request still waits, which its instance answers by asking again."""
        if not ask.is_answered and not ask.placing.is_lost:
            ask.is_answered = True
            ask.placing.queue.withdraw(ask)
            ask.request.sender.trust.record_answered(ask.placing.name)
            ask.request.asked.clear()
            self._later(LATENCY_S, lambda: self._ask(ask.request))

    def _tell_placed(self, ask: Ask, replica_id: str) -> None:
        """Send a request to its replica, or free the place if it came too late."""
        if ask.is_answered or ask.request.is_over:
            ask.placing.do(lambda: self._free(ask, replica_id, None))
            return
        ask.is_answered = True
        sender = ask.request.sender
        if ask.by != "self":
            sender.trust.record_answered(ask.placing.name)
        if ask.placing is not sender:
            sender.tracker.record_sent(replica_id)
        self.results.placed[ask.by] += 1
        self._later(2 * LATENCY_S, lambda: self._reach(ask, replica_id))

    def _reach(self, ask: Ask, replica_id: str) -> None:
        waiting = self._waiting_at[replica_id]
        at_replica = self._running[replica_id] + len(waiting)
        if at_replica >= ROOM:
            self.results.beyond_room += 1
        if at_replica >= MAX_AT_REPLICA:
            self._end(ask, replica_id, is_full=True)
            ask.request.asked.clear()
            self._later(RETRY_S, lambda: self._ask(ask.request))
            return
        waiting.append(ask)
        self._run_next(replica_id)

    def _run_next(self, replica_id: str) -> None:
        """Run what waits at a replica while it has slots; a client that left takes none."""
        waiting = self._waiting_at[replica_id]
        while waiting and self._running[replica_id] < SLOTS:
            ask = waiting.popleft()
            if ask.request.is_over:
                self._end(ask, replica_id)
                continue
            ask.request.is_over = True
            self.results.waits_s.append(self.clock.now_s - ask.request.arrived_s)
            self._running[replica_id] += 1
            took_s = SERVICE_S * self._rng.lognormvariate(-(SPREAD**2) / 2, SPREAD)
            self._later(took_s, partial(self._end_running, ask, replica_id))

    def _end_running(self, ask: Ask, replica_id: str) -> None:
        self._end(ask, replica_id)
        self._running[replica_id] -= 1
        self._run_next(replica_id)

    def _end(self, ask: Ask, replica_id: str, *, is_full: bool = False) -> None:
        """Tell the instance that sent a request, and the one that placed it, of its end."""
        told = self._running[replica_id] + len(self._waiting_at[replica_id])
        sender = ask.request.sender
        if ask.placing is not sender:
            self._record(sender, replica_id, told, is_full=is_full)
        free = partial(self._free, ask, replica_id, told, is_full=is_full)
        self._later(LATENCY_S, lambda: ask.placing.do(free))

    def _free(self, ask: Ask, replica_id: str, told: int | None, *, is_full: bool = False) -> float:
        """Record an end at the instance that placed a request, and place one that waits there."""
        placing = ask.placing
        self._record(placing, replica_id, told, is_full=is_full)
        replica = next(each for each in self._listed if each.replica_id == replica_id)
        for granted, selection in placing.queue.grant_at(replica, now_s=self.clock.now_s):
            self._tell_placed(granted, selection.replica.replica_id)
        return self._end_s if ask.by != "self" else 0.0

    def _record(
        self, instance: Instance, replica_id: str, told: int | None, *, is_full: bool
    ) -> None:
        if told is not None:
            instance.tracker.record_report(replica_id, told, now_s=self.clock.now_s)
        if is_full:
            instance.tracker.record_full(replica_id, now_s=self.clock.now_s)
        instance.tracker.record_ended(replica_id)

    def _later(self, delay_s: float, callback: Callable[[], object]) -> None:
        self.clock.call_later(delay_s, callback)
