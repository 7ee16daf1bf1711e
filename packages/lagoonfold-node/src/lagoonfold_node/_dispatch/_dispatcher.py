"""Places calls on upstreams: admission, the queue and the choice."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio
from result import Err, Ok, Result

from lagoonfold import ErrorKind, ProgramId, Refusal
from lagoonfold.scheduling import (
    ADMISSION_POLICIES_BY_NAME,
    PlacementInput,
    QueuedCall,
    priority_of,
)
from lagoonfold.settings import SchedulingSettings
from lagoonfold_io.observe import Metrics
from lagoonfold_node._dispatch._caches import CacheFreer
from lagoonfold_node._dispatch._candidates import Candidates
from lagoonfold_node._dispatch._ends import CallEnds
from lagoonfold_node._dispatch._lane import Held, Lane, Waiter
from lagoonfold_node._dispatch._paces import STEP_S, ReplicaPaces
from lagoonfold_node._dispatch._poison import PoisonNotices
from lagoonfold_node._dispatch._refusals import no_upstream, poisonous
from lagoonfold_node._dispatch._requests import Outcome, Placement, PlacementRequest
from lagoonfold_node._dispatch._retries import Retries
from lagoonfold_node._dispatch._table import UpstreamTable
from lagoonfold_node._dispatch._telling import Tell

TICK_S = 0.05
DEFAULT_POLICIES = SchedulingSettings()


class Dispatcher:
    """Holds one queue for each model and service, and places what waits as room appears."""

    def __init__(
        self,
        table: UpstreamTable,
        poison: PoisonNotices,
        caches: CacheFreer,
        metrics: Metrics,
        rng: random.Random,
        *,
        policies: SchedulingSettings = DEFAULT_POLICIES,
        tell: Tell = lambda message: None,
    ) -> None:
        self.table = table
        self.poison = poison
        self.caches = caches
        self.retries = Retries(metrics, rng)
        self.paces = ReplicaPaces(table.instance_id, table, self.retries, metrics, tell)
        self._candidates = Candidates(table, poison, self.paces)
        self._ends = CallEnds(table, poison, self.paces, metrics)
        self._metrics = metrics
        self._rng = rng
        self._policies = policies
        self._admission = ADMISSION_POLICIES_BY_NAME[policies.admission]()
        self._lanes_by_target: dict[tuple[bool, str], Lane] = {}

    async def run(self) -> None:
        """Look for room at an interval, until cancelled; ends of calls look at once."""
        ticks = 0
        while True:
            await trio.sleep(TICK_S)
            ticks += 1
            if ticks % round(STEP_S / TICK_S) == 0:
                self.paces.step()
            self.pump()

    def pump(self) -> None:
        """Place every waiting call for which there is room."""
        now_s = trio.current_time()
        for lane in self._lanes_by_target.values():
            self._pump_lane(lane, now_s)

    def free_program(self, program_id: ProgramId, *, everywhere: bool = False) -> None:
        """Free the caches of a program that ended or was cancelled.

        `everywhere` is for a program that had another owner, which may have known of more.
        """
        self.caches.free(program_id, everywhere=everywhere)

    @asynccontextmanager
    async def place(self, request: PlacementRequest) -> AsyncIterator[Result[Placement, Refusal]]:
        """Wait for a place and hold it; a call that is given up on gets its refusal at once."""
        lane = self._lane((request.is_model, request.target))
        refusal = self._refuse_early(request, lane)
        if refusal is not None:
            yield self._refused(refusal)
            return
        held = await self._wait(request, lane)
        if held is None:
            yield self._refused(self._refuse_late(request, lane))
            return
        started_s = trio.current_time()
        lane.running += 1
        try:
            yield Ok(held.placement)
        finally:
            duration_s = trio.current_time() - started_s
            self._ends.note_end(request, lane, held, duration_s)
            self._pump_lane(lane, trio.current_time())
        if held.placement.outcome is Outcome.WENT_DOWN:
            await self.poison.keep(request.content_digest)

    def _lane(self, target: tuple[bool, str]) -> Lane:
        if target not in self._lanes_by_target:
            self._lanes_by_target[target] = Lane(self._policies)
        return self._lanes_by_target[target]

    def _refused(self, refusal: Refusal) -> Err[Refusal]:
        self._metrics.count("placement_refusals", refusal.kind.value)
        return Err(refusal)

    def _refuse_early(self, request: PlacementRequest, lane: Lane) -> Refusal | None:
        now_s = trio.current_time()
        if self.poison.registry.is_poisonous(request.content_digest, now_s=now_s):
            return poisonous()
        if request.deadline_s <= now_s:
            return Refusal(kind=ErrorKind.DEADLINE_EXCEEDED, detail="the deadline has passed")
        if not self.table.serving(request.target, is_model=request.is_model):
            return no_upstream(request)
        admitted = self._admission.decide(lane.admission_input(request, now_s=now_s))
        return admitted.err_value if isinstance(admitted, Err) else None

    def _refuse_late(self, request: PlacementRequest, lane: Lane) -> Refusal:
        now_s = trio.current_time()
        if self.poison.registry.is_poisonous(request.content_digest, now_s=now_s):
            return poisonous()
        states = self.table.serving(request.target, is_model=request.is_model)
        if not any(state.breaker.allows(now_s=now_s) for state in states):
            return no_upstream(request)
        return lane.refuse_after_wait(now_s=now_s)

    async def _wait(self, request: PlacementRequest, lane: Lane) -> Held | None:
        now_s = trio.current_time()
        waiter = Waiter(request=request)
        call = lane.queued(waiter, now_s=now_s)
        lane.queue.push(call, now_s=now_s)
        self._pump_lane(lane, now_s)
        try:
            with trio.move_on_at(call.deadline_s):
                await waiter.placed.wait()
        except trio.Cancelled:
            self._take_back(lane, call, waiter)
            raise
        lane.queue.remove(call.call_id)
        self._metrics.record("queue_wait", trio.current_time() - now_s)
        return waiter.held

    def _take_back(self, lane: Lane, call: QueuedCall, waiter: Waiter) -> None:
        """Withdraw a call whose caller went away while it waited."""
        lane.queue.remove(call.call_id)
        if waiter.held is not None:
            self._ends.note_withdrawn(waiter.request, waiter.held)

    def _pump_lane(self, lane: Lane, now_s: float) -> None:
        lane.queue.expire(now_s=now_s)
        while lane.queue.pop(now_s=now_s, can_dispatch=lambda call: self._try(lane, call, now_s)):
            pass

    def _try(self, lane: Lane, call: QueuedCall, now_s: float) -> bool:
        """Choose an upstream for a waiting call and hold it, if there is one."""
        waiter: Waiter = call.payload
        request = waiter.request
        wanted = PlacementInput(
            program_id=request.program_id,
            prompt_tokens=request.prompt_tokens,
            cached_tokens_by_upstream=self.table.prefixes.tokens_by_upstream(request.program_id),
            call_s=lane.call_s.mean_s,
        )
        loads = [state.load for state in self._candidates.find(request, now_s)]
        chosen = lane.chooser.choose(wanted, loads, self._rng)
        if chosen is None:
            return False
        state = self.table.states_by_id[chosen]
        held = wanted.cached_tokens_by_upstream.get(chosen, 0)
        added = max(0, request.prompt_tokens - held)
        state.load.record_sent(now_s=now_s, added_tokens=added)
        state.breaker.record_sent(now_s=now_s)
        self.poison.registry.record_started(request.content_digest, chosen)
        placement = Placement(
            upstream_id=chosen,
            address=state.listed.address,
            priority=priority_of(request.attained_s),
        )
        self.paces.start(request, placement, now_s=now_s)
        waiter.held = Held(state=state, placement=placement)
        waiter.placed.set()
        return True
