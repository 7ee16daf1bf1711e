"""Simulates requests of uneven size at replicas with little memory, without a network.

A replica runs as many requests as it has slots. A request occupies its prompt from its start, and
its output as it is generated; a part of a prompt that several running requests have is there once.
When the memory is full, the newest request is preempted: it starts again from the beginning once
there is room. A larger request than the memory runs alone. The callers' estimates are right at the
median. Requests are placed by the library's own code.
"""

import random
from dataclasses import dataclass, field, replace

from result import Err

from lagoonfold.placement import (
    PlacementOrder,
    PlacementQueue,
    PromptCacheIndex,
    PromptPart,
    ReplicaSelection,
    ReplicaSelector,
    ReplicaTracker,
    SelectionInput,
)
from tests.placement._placing_load import SERVICE, Clock, make_replicas

REPLICAS = 12
SLOTS = 8
MEMORY_TOKENS = 20_000
COMMON_TOKENS = 1_000  # of the part that all requests share
MEDIAN_OWN_TOKENS = 1_500.0
OWN_SPREAD = 0.9  # standard deviation of the logarithm of the own part of a prompt
MEDIAN_OUTPUT = 220.0
OUTPUT_SPREAD = 0.6
ESTIMATE_SPREAD = 0.5  # of the logarithm of the estimate
MAX_OUTPUT = 1_500
PREFILL_TOKENS_PER_S = 12_000.0
STEP_S = 0.05
TOKENS_PER_STEP = 10
PATIENCE_S = 6.0


@dataclass(slots=True, eq=False)
class Job:
    """A request, and how far a replica is with it."""

    arrived_s: float
    own_tokens: int
    output: int
    request: SelectionInput
    read: float = 0.0
    generated: int = 0
    claims: list[ReplicaSelection] = field(default_factory=list)


@dataclass(slots=True)
class Outcomes:
    """The times of completed requests, and what the replicas did in vain.

    `most_tokens` is the most that a replica held, `most_placed_tokens` and `most_requests` the most
    that one owner counted there; a request that is alone there is left out.
    """

    completed_s: list[float] = field(default_factory=list)
    arrived: int = 0
    refused: int = 0
    preempted: int = 0
    read_again: float = 0.0
    most_tokens: int = 0
    most_placed_tokens: int = 0
    most_requests: int = 0


class FakeReplica:
    """A replica with slots and memory."""

    def __init__(self, outcomes: Outcomes) -> None:
        self.running: list[Job] = []
        self.waiting: list[Job] = []
        self._outcomes = outcomes

    def step(self) -> list[Job]:
        """Generate for one step; return the requests that are complete."""
        while self.waiting and len(self.running) < SLOTS:
            job = self.waiting[0]
            if self.running and self._used([*self.running, job]) > MEMORY_TOKENS:
                break
            self.running.append(self.waiting.pop(0))
        for job in self.running:
            if job.read < job.own_tokens:
                job.read += PREFILL_TOKENS_PER_S * STEP_S
            else:
                job.generated = min(job.output, job.generated + TOKENS_PER_STEP)
        self._note_use()
        while len(self.running) > 1 and self._used(self.running) > MEMORY_TOKENS:
            self._preempt(self.running.pop())
        done = [job for job in self.running if job.generated >= job.output]
        self.running = [job for job in self.running if job.generated < job.output]
        return done

    def _preempt(self, job: Job) -> None:
        self._outcomes.preempted += 1
        self._outcomes.read_again += min(job.read, job.own_tokens) + job.generated
        job.read, job.generated = 0.0, 0
        self.waiting.insert(0, job)

    def _note_use(self) -> None:
        """Note the tokens of several requests together; one alone may exceed the memory."""
        if len(self.running) > 1:
            used = self._used(self.running)
            self._outcomes.most_tokens = max(self._outcomes.most_tokens, used)

    @staticmethod
    def _used(jobs: list[Job]) -> int:
        return COMMON_TOKENS + sum(job.own_tokens + job.generated for job in jobs)


class Load:
    """Sends requests to owners that don't know of each other's placements.

    With `replace_at_s`, the owners are replaced then by ones that know of no placement.
    """

    def __init__(
        self,
        *,
        per_s: float,
        knows_memory: bool,
        owners: int = 1,
        replace_at_s: float | None = None,
        seed: int = 1,
    ) -> None:
        self.outcomes = Outcomes()
        self._per_s = per_s
        self._rng, self._clock = random.Random(seed), Clock()
        self._replicas = [replace(each, slots=SLOTS) for each in make_replicas()[:REPLICAS]]
        self._fake_by_id = {each.replica_id: FakeReplica(self.outcomes) for each in self._replicas}
        self._owners = [_Owner(f"{seed}-{number}", knows_memory) for number in range(owners)]
        if replace_at_s is not None:
            self._clock.call_later(replace_at_s, lambda: self._replace_owners(knows_memory))

    def run(self, span_s: float) -> Outcomes:
        """Send requests for some seconds; return what became of them."""
        self._clock.call_later(0.0, self._arrive)
        self._clock.call_later(0.0, self._step)
        return self.go_on(span_s)

    def go_on(self, until_s: float) -> Outcomes:
        """Go on up to a time; return what became of the requests so far."""
        self._clock.run_until(until_s)
        return self.outcomes

    def _replace_owners(self, knows_memory: bool) -> None:
        for number, former in enumerate(self._owners):
            self._owners[number] = _Owner(f"next-{number}", knows_memory)
            for job in sorted(former.waiting, key=lambda job: job.arrived_s):
                self._place(self._owners[number], job)

    def _arrive(self) -> None:
        self._clock.call_later(self._rng.expovariate(self._per_s), self._arrive)
        self.outcomes.arrived += 1
        job = _job(self._rng, self.outcomes.arrived, self._clock.now_s)
        self._place(self._rng.choice(self._owners), job)

    def _place(self, owner: "_Owner", job: Job) -> None:
        wait_until_s = job.arrived_s + PATIENCE_S
        order = PlacementOrder(rank=0, tie_break=job.arrived_s, wait_until_s=wait_until_s)
        now_s = self._clock.now_s
        placed = owner.queue.place(job, job.request, order, self._replicas, now_s=now_s)
        if isinstance(placed, Err):
            self.outcomes.refused += 1
        elif placed.ok_value is not None:
            self._begin(owner, job, placed.ok_value)
        else:
            owner.waiting.add(job)

    def _begin(self, owner: "_Owner", job: Job, selection: ReplicaSelection) -> None:
        owner.waiting.discard(job)
        owner.selection_by_job[job] = selection
        replica = selection.replica
        self._fake_by_id[replica.replica_id].waiting.append(job)
        requests = owner.tracker.requests_at(replica.replica_id, now_s=self._clock.now_s)
        self.outcomes.most_requests = max(self.outcomes.most_requests, requests)
        if requests > 1:
            placed = owner.memory.used_tokens(replica)
            self.outcomes.most_placed_tokens = max(self.outcomes.most_placed_tokens, placed)

    def _step(self) -> None:
        now_s = self._clock.now_s
        self._clock.call_later(STEP_S, self._step)
        for replica_id, fake in self._fake_by_id.items():
            for job in fake.step():
                self.outcomes.completed_s.append(now_s - job.arrived_s)
                for owner in self._owners:
                    owner.end(job, replica_id, now_s)
        for owner in self._owners:
            for job, selection in owner.queue.grant(self._replicas, now_s=now_s):
                self._begin(owner, job, selection)


class _Owner:
    """One instance that places requests on the replicas."""

    def __init__(self, seed: str, knows_memory: bool) -> None:
        self.tracker = ReplicaTracker()
        self.selector = ReplicaSelector(self.tracker, PromptCacheIndex(), random.Random(seed))
        self.memory = self.selector.knowledge.memory
        self.memory.set_capacities({SERVICE: MEMORY_TOKENS if knows_memory else 0})
        self.queue: PlacementQueue[Job] = PlacementQueue(self.selector, self.tracker)
        self.selection_by_job: dict[Job, ReplicaSelection] = {}
        self.waiting: set[Job] = set()

    def end(self, job: Job, replica_id: str, now_s: float) -> None:
        selection = self.selection_by_job.pop(job, None)
        if selection is not None:
            self.tracker.record_ended(replica_id)
            self.memory.release(selection.claim)
            self.queue.record_freed(now_s=now_s)


def _job(rng: random.Random, number: int, now_s: float) -> Job:
    own = round(MEDIAN_OWN_TOKENS * rng.lognormvariate(0.0, OWN_SPREAD))
    output = min(MAX_OUTPUT, 1 + round(MEDIAN_OUTPUT * rng.lognormvariate(0.0, OUTPUT_SPREAD)))
    estimate = max(1, round(output * rng.lognormvariate(0.0, ESTIMATE_SPREAD)))
    request = SelectionInput(
        typical_latency_s=1.5,
        parts=(PromptPart("common", COMMON_TOKENS), PromptPart(f"own-{number}", own)),
        expected_tokens=estimate,
        prompt_tokens=COMMON_TOKENS + own,
        output_tokens=MAX_OUTPUT,
    )
    return Job(now_s, own, output, request)
