"""Places requests on replicas at this instance, and keeps what is known of the replicas.

Reads `replicas`. A request that finds no slot waits in the queue of its pool. What a request's end
shows of its replica is recorded here, at the instance that placed it and at the one that sent it.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import trio
from result import Err, Ok, Result

from lagoonfold.forwarding import (
    AttemptOutcome,
    Replica,
    ReplicaDirectory,
)
from lagoonfold.placement import (
    MemoryClaim,
    PlacementOrder,
    PlacementQueue,
    PlacementRefusal,
    PlacementShortage,
    PromptCacheIndex,
    PromptPart,
    ReplicaPool,
    ReplicaSelection,
    ReplicaSelector,
    ReplicaTracker,
    SelectionInput,
)
from lagoonfold_gateway._board import ConfigView, GatewayBoard
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway.placing._latency_baselines import LatencyBaselines
from lagoonfold_io.observe import EventLog

RECHECK_INTERVAL_S = 0.02  # ejections and reports of replicas end without notice

_log = EventLog("placement")


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementEvidence:
    """What the end of a request shows of its replica.

    `outcome` is None if the request was cancelled or never sent. `reported_load` is the number of
    requests that the replica told at the end of its answer. `answer_s` is how long a whole answer
    took, `event_s` the average time between the events of a stream. `parts` is the prompt that the
    replica has read. `names_no_limit` is set for a whole answer that names no limit. `cold_s` is
    how long the replica is still cold by its answer, None if it does not tell. `reported_pace` is
    the figure that the replica told of its pace (100 is usual), and `reported_pace_age_s` how long
    before the end it was told.
    """

    route: str
    outcome: AttemptOutcome | None
    reported_load: int | None = None
    answer_s: float | None = None
    event_s: float | None = None
    is_stream: bool = False
    parts: tuple[PromptPart, ...] = ()
    names_no_limit: bool = False
    cold_s: float | None = None
    reported_pace: float | None = None
    reported_pace_age_s: float = 0.0


@dataclass(slots=True, eq=False)
class WaitingPlacement:
    """A request that waits for a replica of a pool."""

    pool: ReplicaPool
    decided: trio.Event = field(default_factory=trio.Event)
    selection: ReplicaSelection | None = None
    refusal: PlacementRefusal = PlacementRefusal(shortage=PlacementShortage.WAITING)


class Dispatcher:
    """Places the requests of all pools for which this instance is asked."""

    def __init__(
        self,
        board: GatewayBoard,
        selector: ReplicaSelector,
        tracker: ReplicaTracker,
        prompt_index: PromptCacheIndex,
        baselines: LatencyBaselines,
        rng: random.Random | None = None,
    ) -> None:
        self._board = board
        self._selector = selector
        self._tracker = tracker
        self._prompt_index = prompt_index
        self.knowledge = selector.knowledge
        self._baselines = baselines
        self._rng = rng if rng is not None else random.Random()
        self._queue_by_pool: dict[ReplicaPool, PlacementQueue[WaitingPlacement]] = {}
        self._is_waiting = trio.Event()
        board.replicas.subscribe(self._grant_all)
        board.config.subscribe(self._apply_config)

    def typical_latency_s(self, route: str) -> float:
        """Return the typical time of an answer on a route, in seconds."""
        return self._baselines.get(route, "answer")

    def is_cold(self, replica_id: str) -> bool:
        """Return whether a replica takes only some requests a second for now."""
        return self._selector.knowledge.cold.is_cold(replica_id, now_s=now_s())

    def replicas_of(self, pool: ReplicaPool) -> list[Replica]:
        """Return the replicas of a pool that may get new requests."""
        return self._replicas(pool)

    def snapshot(
        self, pool: ReplicaPool
    ) -> tuple[ReplicaSelector, PlacementQueue[WaitingPlacement]]:
        """Return copies of the selector and of a pool's queue, for an explanation.

        What they decide changes nothing here.
        """
        ids = {replica.replica_id for replica in self._replicas(pool)}
        selector, queue = self._selector.snapshot(ids), self._queue_by_pool.get(pool)
        if queue is None:
            return selector, PlacementQueue(selector, selector.knowledge.tracker, random.Random(0))
        return selector, queue.snapshot(selector)

    def place(
        self, pool: ReplicaPool, request: SelectionInput, order: PlacementOrder
    ) -> Result[ReplicaSelection | WaitingPlacement, PlacementRefusal]:
        """Select a replica of a pool, or let the request wait for one: then call `wait`.

        The request counts as in flight at the replica until `record_end`.
        """
        queue, waiting = self._queue(pool), WaitingPlacement(pool)
        placed = queue.place(waiting, request, order, self._replicas(pool), now_s=now_s())
        if isinstance(placed, Err):
            return placed
        if placed.ok_value is not None:
            return Ok(placed.ok_value)
        self._is_waiting.set()
        return Ok(waiting)

    async def wait(
        self, waiting: WaitingPlacement, *, hold_s: float
    ) -> Result[ReplicaSelection, PlacementRefusal]:
        """Wait up to `hold_s` until a request is placed or refused; then it no longer waits."""
        try:
            with trio.move_on_after(hold_s):
                await waiting.decided.wait()
        except trio.Cancelled:
            if waiting.selection is not None:
                selection = waiting.selection
                self.free(waiting.pool, selection.replica.replica_id, selection.claim)
            raise
        finally:
            self._queue(waiting.pool).withdraw(waiting)
        if waiting.selection is None:
            return Err(waiting.refusal)
        return Ok(waiting.selection)

    def record_sent(self, replica: Replica, request: SelectionInput) -> MemoryClaim | None:
        """Count a request that another instance has placed and this one is about to send."""
        self._tracker.record_sent(replica.replica_id)
        return self.knowledge.memory.open(replica, request)

    def record_end(
        self,
        pool: ReplicaPool,
        replica: Replica,
        evidence: PlacementEvidence,
        *,
        sender: str,
        claim: MemoryClaim | None = None,
    ) -> None:
        """Record the end of a request that an instance has sent to a replica."""
        replica_id, now = replica.replica_id, now_s()
        if evidence.reported_load is not None:
            self._tracker.record_report(replica_id, evidence.reported_load, now_s=now)
        self._record_outcome(replica, evidence.outcome, sender)
        if evidence.cold_s is not None:
            self.knowledge.cold.record_told(replica_id, replica.started, evidence.cold_s, now_s=now)
        self._record_pace(replica, evidence)
        if evidence.parts:
            self._prompt_index.record(replica_id, replica.started, evidence.parts)
        self.free(pool, replica_id, claim)

    def free(self, pool: ReplicaPool, replica_id: str, claim: MemoryClaim | None) -> None:
        """Record that a request at a replica has ended or was never sent."""
        self.knowledge.memory.release(claim)
        self._tracker.record_ended(replica_id)
        self._queue(pool).record_freed(now_s=now_s())
        self._grant_at(pool, replica_id)

    async def run(self) -> None:
        """Place waiting requests on replicas that may be used again, until cancelled."""
        while True:
            await self._is_waiting.wait()
            while any(len(queue) for queue in self._queue_by_pool.values()):
                await trio.sleep(RECHECK_INTERVAL_S)
                self._grant_all()
            self._is_waiting = trio.Event()

    def _record_pace(self, replica: Replica, evidence: PlacementEvidence) -> None:
        """Update the route's typical times; the pace follows events, or the answer of no stream.

        A request that ran while its replica was cold, even for a part of it, shows neither.
        """
        if evidence.reported_pace is not None:
            told_at_s = now_s() - evidence.reported_pace_age_s
            self.knowledge.pace.record_figure(replica, evidence.reported_pace, told_at_s=told_at_s)
        if evidence.answer_s is None and evidence.event_s is None:
            return
        cold_until_s = self.knowledge.cold.until_s(replica.replica_id)
        if now_s() - (evidence.answer_s or 0.0) < cold_until_s:
            return
        if evidence.answer_s is not None:
            ratio = self._baselines.record(evidence.route, "answer", evidence.answer_s)
            if not evidence.is_stream:
                self._record_sample(replica, ratio)
        if evidence.event_s is not None:
            ratio = self._baselines.record(evidence.route, "event", evidence.event_s)
            self._record_sample(replica, ratio)

    def _record_sample(self, replica: Replica, ratio: float) -> None:
        self._tracker.record_slowdown(replica.replica_id, ratio, now_s=now_s())
        self.knowledge.pace.record_sample(replica, ratio, now_s=now_s())

    def _record_outcome(
        self, replica: Replica, outcome: AttemptOutcome | None, sender: str
    ) -> None:
        replica_id = replica.replica_id
        record = _RECORDERS_BY_OUTCOME.get(outcome)
        if outcome is None or record is None:
            return
        was_ejected = self._tracker.is_ejected(replica_id, now_s=now_s())
        record(self._tracker, replica_id)
        if outcome is AttemptOutcome.UNREACHED:
            cold = self._selector.knowledge.cold
            cold.record_unreached(replica_id, replica.started, now_s=now_s())
        is_ejected = self._tracker.is_ejected(replica_id, now_s=now_s())
        if is_ejected and not was_ejected and outcome is not AttemptOutcome.FULL:
            _log.info("replica.ejected", replica=replica_id, outcome=outcome.value, sender=sender)

    def _apply_config(self, view: ConfigView | None) -> None:
        services = view.config.services_by_name if view is not None else {}
        self.knowledge.memory.set_capacities(
            {name: service.memory_tokens for name, service in services.items()}
        )

    def _queue(self, pool: ReplicaPool) -> PlacementQueue[WaitingPlacement]:
        queue = self._queue_by_pool.get(pool)
        if queue is None:
            queue = self._queue_by_pool[pool] = PlacementQueue(
                self._selector, self._tracker, self._rng
            )
        return queue

    def _replicas(self, pool: ReplicaPool) -> list[Replica]:
        return pool.select(self._board.replicas.read().available_for(pool.service))

    def _grant_all(self, directory: ReplicaDirectory | None = None) -> None:
        for pool in tuple(self._queue_by_pool):
            self._grant(pool)

    def _grant(self, pool: ReplicaPool) -> None:
        """Place waiting requests on all replicas of a pool."""
        queue = self._queue(pool)
        if len(queue):
            _tell_placed(queue.grant(self._replicas(pool), now_s=now_s()))
            _tell_refused(queue.refuse_late(now_s=now_s()))

    def _grant_at(self, pool: ReplicaPool, replica_id: str) -> None:
        """Place waiting requests on a replica that has a place free; `run` looks at the others."""
        queue, directory = self._queue(pool), self._board.replicas.read()
        replica = directory.get(replica_id)
        if len(queue) and replica is not None and directory.may_use(replica_id):
            _tell_placed(queue.grant_at(replica, now_s=now_s()))


def _tell_placed(placed: Iterable[tuple[WaitingPlacement, ReplicaSelection]]) -> None:
    for waiting, selection in placed:
        waiting.selection = selection
        waiting.decided.set()


def _tell_refused(refused: Iterable[tuple[WaitingPlacement, PlacementRefusal]]) -> None:
    for waiting, refusal in refused:
        waiting.refusal = refusal
        waiting.decided.set()


def _record_answered(tracker: ReplicaTracker, replica_id: str) -> None:
    tracker.record_success(replica_id)


def _record_full(tracker: ReplicaTracker, replica_id: str) -> None:
    tracker.record_full(replica_id, now_s=now_s())


def _record_lost(tracker: ReplicaTracker, replica_id: str) -> None:
    tracker.record_lost_response(replica_id, now_s=now_s())


def _record_unreached(tracker: ReplicaTracker, replica_id: str) -> None:
    tracker.record_connect_failure(replica_id, now_s=now_s())


_RECORDERS_BY_OUTCOME: dict[AttemptOutcome | None, Callable[[ReplicaTracker, str], None]] = {
    AttemptOutcome.ANSWERED: _record_answered,
    AttemptOutcome.FULL: _record_full,
    AttemptOutcome.LOST: _record_lost,
    AttemptOutcome.MISDIRECTED: _record_unreached,
    AttemptOutcome.UNREACHED: _record_unreached,
}
