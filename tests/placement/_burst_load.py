"""Simulates programs of many client accounts in a burst, on a pool of which some replicas are slow.

The usual load takes under half of the slots. During the burst all accounts send 2.5 times their
usual load and one 7.5 times, while a quarter of the replicas is three times as slow. A program has
1 to 8 turns, its objective is 1.3 to 1.7 times its time on idle replicas. Callers ask again after
each hold, honour a Retry-After of up to a third of their time, and retry a turn twice at most.
Requests are placed by the library's own code; replicas and time are simulated.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err

from lagoonfold.forwarding import queue_rank
from lagoonfold.placement import (
    PlacementOrder,
    PlacementQueue,
    PromptCacheIndex,
    ReplicaSelector,
    ReplicaTracker,
    SelectionInput,
)
from tests.placement._placing_load import SLOTS, Clock, SimulatedReplica, make_replicas

REPLICAS, SLOW, SLOWNESS = 12, 3, 3.0
ACCOUNTS, FLOOD, FLOOD_WEIGHT = 30, "a0", 3  # the flooding account is a large one
SERVICE_S, GAP_S, HOLD_S, RETRIES, RECHECK_S = 0.25, 0.05, 0.5, 2, 0.02
USUAL_PER_S = 30.0  # programs
REQUEST = SelectionInput(typical_latency_s=SERVICE_S)


@dataclass(slots=True)
class Program:
    """A program, its progress, and what its caller was told and found."""

    name: str
    account: str
    rank: int
    turns: int
    start_s: float
    objective_s: float
    done: int = 0
    retries: int = 0
    end_s: float = float("inf")
    return_times_s: list[float] = field(default_factory=list)
    found_room: list[bool] = field(default_factory=list)  # for each return as told

    @property
    def is_in_time(self) -> bool:
        """Return whether the program was done within its objective."""
        return self.end_s <= self.start_s + self.objective_s


@dataclass
class Burst:
    """The load; `tells` is whether the queue is told more than by the build before."""

    tells: bool
    seed: int = 5
    factor: float = 2.5
    flood_factor: float = 7.5
    burst_s: tuple[float, float] = (4.0, 12.0)
    span_s: float = 22.0
    owners: int = 1
    replaced_at_s: tuple[float, ...] = ()

    def run(self) -> "Burst":
        """Run the load and return this object, which then has the programs and placements."""
        self.clock, self.rng = Clock(), random.Random(self.seed)
        self.programs: list[Program] = []
        self.placements: list[tuple[float, str, str]] = []
        self.replicas = {
            each.replica_id: SimulatedReplica(each) for each in make_replicas()[:REPLICAS]
        }
        self.listed = [each.listed for each in self.replicas.values()]
        self.owned = [self._make_owner() for _ in range(self.owners)]
        for at_s in self.replaced_at_s:
            self.clock.call_later(at_s, self._replace_owner)
        for number in range(ACCOUNTS):
            self._send(f"a{number}", int(number % 3 == 2), random.Random(f"{self.seed}-{number}"))
        self._recheck()
        self.clock.run_until(self.span_s)
        return self

    def _make_owner(self) -> tuple[PlacementQueue[Callable[..., None]], ReplicaTracker]:
        rng, tracker = random.Random(self.seed), ReplicaTracker()
        selector = ReplicaSelector(tracker, PromptCacheIndex(), rng)
        return PlacementQueue(selector, tracker, rng), tracker

    def _replace_owner(self) -> None:
        self.owned[0] = self._make_owner()
        for replica_id, replica in self.replicas.items():
            load = replica.running + len(replica.waiting)
            self.owned[0][1].record_report(replica_id, load, now_s=self.clock.now_s)

    def _is_burst(self) -> bool:
        return self.burst_s[0] <= self.clock.now_s < self.burst_s[1]

    def _send(self, account: str, rank: int, rng: random.Random) -> None:
        weight = FLOOD_WEIGHT if account == FLOOD else 1
        factor = self.flood_factor if account == FLOOD else self.factor
        per_s = factor * USUAL_PER_S * weight / (ACCOUNTS - 1 + FLOOD_WEIGHT)

        def arrive() -> None:
            self.clock.call_later(rng.expovariate(per_s), arrive)
            if self._is_burst() or rng.random() < 1 / factor:
                turns, now_s = rng.randint(1, 8), self.clock.now_s
                objective_s = rng.uniform(1.3, 1.7) * (turns * (SERVICE_S + GAP_S) + 0.1)
                name = f"p{len(self.programs)}"
                self.programs.append(Program(name, account, rank, turns, now_s, objective_s))
                self._ask(self.programs[-1], now_s)

        self.clock.call_later(rng.expovariate(per_s), arrive)

    def _order(self, program: Program, since_s: float) -> PlacementOrder:
        now_s, soft_s = self.clock.now_s, program.start_s + program.objective_s
        rank = queue_rank(program.rank, soft_deadline_s=soft_s, now_s=now_s)
        end_s = soft_s + program.objective_s
        if not self.tells:
            return PlacementOrder(rank=rank, tie_break=soft_s, wait_until_s=end_s)
        return PlacementOrder(
            rank=rank,
            tie_break=soft_s,
            wait_until_s=end_s,
            answer_until_s=end_s,
            is_begun=program.done > 0,
            account=program.account,
            program=program.name,
            caller=program.name,
            waited_s=now_s - since_s,
        )

    def _ask(self, program: Program, since_s: float, *, returns: bool = False) -> None:
        order, now_s = self._order(program, since_s), self.clock.now_s
        if now_s >= order.wait_until_s:
            return
        queue, tracker = self.owned[self.rng.randrange(self.owners)]
        is_open = True

        def decide(replica_id: str | None, retry_after_s: float = 0.0) -> None:
            nonlocal is_open
            is_open = False
            if returns:
                program.found_room.append(replica_id is not None)
            if replica_id is None:
                self._refused(program, retry_after_s, order.wait_until_s - self.clock.now_s)
            else:
                self.placements.append((self.clock.now_s, program.account, replica_id))
                self._start(program, replica_id, queue, tracker)

        def end_hold() -> None:
            if is_open:
                queue.withdraw(decide)
                self._ask(program, since_s, returns=returns)

        placed = queue.place(decide, REQUEST, order, self.listed, now_s=now_s)
        if isinstance(placed, Err):
            decide(None, placed.err_value.retry_after_s)
        elif placed.ok_value is not None:
            decide(placed.ok_value.replica.replica_id)
        else:
            self.clock.call_later(HOLD_S, end_hold)

    def _refused(self, program: Program, retry_after_s: float, left_s: float) -> None:
        program.retries += 1
        if program.retries > RETRIES:
            return
        if not self.tells:
            retry_after_s = max(0.2, retry_after_s)
        is_honoured = retry_after_s <= left_s / 3
        delay_s = retry_after_s if is_honoured else self.rng.uniform(0.1, 0.4)
        if is_honoured:
            program.return_times_s.append(self.clock.now_s + delay_s)
        self.clock.call_later(
            delay_s, lambda: self._ask(program, self.clock.now_s, returns=is_honoured)
        )

    def _start(
        self,
        program: Program,
        replica_id: str,
        queue: PlacementQueue[Callable[..., None]],
        tracker: ReplicaTracker,
    ) -> None:
        replica = self.replicas[replica_id]
        if replica.running == SLOTS:
            replica.waiting.append(lambda: self._start(program, replica_id, queue, tracker))
            return
        replica.running += 1
        slowness = SLOWNESS if replica_id in ("r0", "r1", "r2") and self._is_burst() else 1.0
        took_s = SERVICE_S * self.rng.lognormvariate(-0.08, 0.4) * slowness

        def end() -> None:
            now_s = self.clock.now_s
            tracker.record_report(replica_id, replica.running + len(replica.waiting), now_s=now_s)
            tracker.record_slowdown(replica_id, took_s / SERVICE_S, now_s=now_s)
            tracker.record_ended(replica_id)
            replica.running -= 1
            if replica.waiting:
                replica.waiting.popleft()()
            queue.record_freed(now_s=now_s)
            self._grant(queue)
            program.done, program.retries = program.done + 1, 0
            if program.done == program.turns:
                program.end_s = now_s
            else:
                self.clock.call_later(GAP_S, lambda: self._ask(program, self.clock.now_s))

        self.clock.call_later(took_s, end)

    def _grant(self, queue: PlacementQueue[Callable[..., None]]) -> None:
        for decide, selection in queue.grant(self.listed, now_s=self.clock.now_s):
            decide(selection.replica.replica_id)
        for decide, refusal in queue.refuse_late(now_s=self.clock.now_s):
            decide(None, refusal.retry_after_s)

    def _recheck(self) -> None:
        self.clock.call_later(RECHECK_S, self._recheck)
        for queue, _ in self.owned:
            self._grant(queue)
