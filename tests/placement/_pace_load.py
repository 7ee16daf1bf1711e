"""Simulates a service of three kinds of replicas whose pace varies, without a network.

The slowest machines take 2.4 times as long as the fastest. On top of that, each replica's pace
follows noise that is correlated over 0.6 s. Running requests of a replica slow each other down a
little. A replica tells its figure with the head of an answer: at the end of the request, or, for a
stream, at its beginning. Requests are placed by the library's own code.
"""

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

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
from tests.placement._placing_load import SLOTS, Clock, make_replicas

PACES = (0.7, 1.1, 1.68)
REPLICAS = 12
WORK_S = 0.4
WORK_SPREAD = 0.5  # standard deviation of the logarithm
NOISE = 0.4  # standard deviation of the logarithm of the momentary pace
CORRELATION_S = 0.6
FULL_BATCH = 0.3  # share that a full batch adds to the time of each request
STEP_S = 0.01
HEAD_SHARE = 0.1  # of a stream's work, when its first event comes
BASELINE_WEIGHT = 0.05
PATIENCE_S = 30.0

Figure = Callable[["FakeReplica", float], float | None]


@dataclass(slots=True, eq=False)
class Job:
    """A request at a replica, and what the head of its answer told."""

    arrived_s: float
    work_s: float
    began_s: float = 0.0
    done_s: float = 0.0
    told_at_s: float = 0.0
    figure: float | None = None


class FakeReplica:
    """A replica of a kind, with momentary noise."""

    def __init__(self, listed: Replica, pace: float, rng: random.Random) -> None:
        self.listed, self.pace = listed, pace
        self.noise = 0.0
        self.running: list[Job] = []
        self.waiting: deque[Job] = deque()
        self._rng = rng

    def step(self, now_s: float, figure: Figure, *, streams: bool) -> list[Job]:
        """Work for one step; return the requests that are complete."""
        keep = math.exp(-STEP_S / CORRELATION_S)
        self.noise = keep * self.noise + NOISE * math.sqrt(1 - keep**2) * self._rng.gauss(0, 1)
        while self.waiting and len(self.running) < SLOTS:
            job = self.waiting.popleft()
            job.began_s = now_s
            self.running.append(job)
        batch = 1 + FULL_BATCH * len(self.running) / SLOTS
        done: list[Job] = []
        for job in self.running:
            job.done_s += STEP_S / (self.pace * math.exp(self.noise) * batch)
            is_done = job.done_s >= job.work_s
            if not job.told_at_s and (is_done or streams and job.done_s >= HEAD_SHARE * job.work_s):
                job.told_at_s, job.figure = now_s, figure(self, now_s)
            if is_done:
                done.append(job)
        self.running = [job for job in self.running if job not in done]
        return done


def tell_noise(replica: FakeReplica, now_s: float) -> float:
    """Tell the figure as the protocol describes it."""
    return round(100 * math.exp(replica.noise))


def tell_nothing(replica: FakeReplica, now_s: float) -> None:
    """Tell no figure, as replicas of three fields of load."""


class Load:
    """Sends requests to one owner; `utilization` is a share of what the slots serve."""

    def __init__(
        self, *, utilization: float, figure: Figure, streams: bool = False, seed: int = 1
    ) -> None:
        self._rng, self._clock = random.Random(seed), Clock()
        self._figure, self._streams = figure, streams
        self._fakes = [
            FakeReplica(listed, PACES[number % len(PACES)], random.Random(seed + number))
            for number, listed in enumerate(make_replicas()[:REPLICAS])
        ]
        self._listed = [fake.listed for fake in self._fakes]
        self._fake_by_id = {fake.listed.replica_id: fake for fake in self._fakes}
        served = sum(SLOTS / (fake.pace * (1 + FULL_BATCH)) for fake in self._fakes)
        mean_noise = math.exp(NOISE**2 / 2)
        mean_work_s = WORK_S * math.exp(WORK_SPREAD**2 / 2)
        self._per_s = utilization * served / mean_noise / mean_work_s
        self.tracker = ReplicaTracker()
        self.selector = ReplicaSelector(self.tracker, PromptCacheIndex(), random.Random(seed))
        self.queue: PlacementQueue[Job] = PlacementQueue(self.selector, self.tracker)
        self._typical_s = WORK_S
        self.took_s: list[float] = []

    def run(self, span_s: float) -> list[float]:
        """Return the latencies of the requests that were complete within the span."""
        self._clock.call_later(0.0, self._arrive)
        self._clock.call_later(0.0, self._step)
        self._clock.run_until(span_s)
        return self.took_s

    def _arrive(self) -> None:
        now_s = self._clock.now_s
        self._clock.call_later(self._rng.expovariate(self._per_s), self._arrive)
        job = Job(now_s, WORK_S * self._rng.lognormvariate(0.0, WORK_SPREAD))
        request = SelectionInput(typical_latency_s=self._typical_s)
        order = PlacementOrder(rank=0, tie_break=now_s, wait_until_s=now_s + PATIENCE_S)
        placed = self.queue.place(job, request, order, self._listed, now_s=now_s)
        if isinstance(placed, Err):
            self.took_s.append(PATIENCE_S)
        elif placed.ok_value is not None:
            self._begin(job, placed.ok_value)

    def _begin(self, job: Job, selection: ReplicaSelection) -> None:
        self._fake_by_id[selection.replica.replica_id].waiting.append(job)

    def _step(self) -> None:
        now_s = self._clock.now_s
        self._clock.call_later(STEP_S, self._step)
        for fake in self._fakes:
            for job in fake.step(now_s, self._figure, streams=self._streams):
                self._end(fake, job, now_s)
        for job, selection in self.queue.grant(self._listed, now_s=now_s):
            self._begin(job, selection)

    def _end(self, fake: FakeReplica, job: Job, now_s: float) -> None:
        """Record the end of a request as the owner does."""
        self.took_s.append(now_s - job.arrived_s)
        took_s = now_s - job.began_s + STEP_S
        ratio = took_s / job.work_s * WORK_S / self._typical_s
        capped_s = min(took_s / job.work_s * WORK_S, 2 * self._typical_s)
        self._typical_s += BASELINE_WEIGHT * (capped_s - self._typical_s)
        pace = self.selector.knowledge.pace
        pace = self.selector.knowledge.pace
        if job.figure is not None:
            pace.record_figure(fake.listed, job.figure, told_at_s=job.told_at_s)
        self.tracker.record_slowdown(fake.listed.replica_id, ratio, now_s=now_s)
        pace.record_sample(fake.listed, ratio, now_s=now_s)
        self.tracker.record_ended(fake.listed.replica_id)
        self.queue.record_freed(now_s=now_s)
