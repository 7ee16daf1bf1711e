"""Place calls on upstreams: admission, queueing and the choice of an upstream."""

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
from lagoonfold_node._dispatch._broadcast import Broadcast
from lagoonfold_node._dispatch._caches import CacheEvictor
from lagoonfold_node._dispatch._call_results import CallResults
from lagoonfold_node._dispatch._candidates import Candidates
from lagoonfold_node._dispatch._poison import PoisonNotices
from lagoonfold_node._dispatch._refusals import no_upstream_refusal, poisonous_refusal
from lagoonfold_node._dispatch._requests import Placement, PlacementOutcome, PlacementRequest
from lagoonfold_node._dispatch._retries import Retries
from lagoonfold_node._dispatch._slow_replicas import STEP_S, SlowReplicaMonitor
from lagoonfold_node._dispatch._table import UpstreamTable
from lagoonfold_node._dispatch._target_queue import HeldUpstream, TargetQueue, WaitingCall

TICK_S = 0.05
DEFAULT_POLICIES = SchedulingSettings()


class Dispatcher:
    """Queues calls for each model and service, and places them when an upstream has capacity."""

    def __init__(
        self,
        table: UpstreamTable,
        poison: PoisonNotices,
        caches: CacheEvictor,
        metrics: Metrics,
        rng: random.Random,
        *,
        policies: SchedulingSettings = DEFAULT_POLICIES,
        broadcast: Broadcast = lambda message: None,
    ) -> None:
        self.table = table
        self.poison = poison
        self.caches = caches
        self.retries = Retries(metrics, rng)
        self.slow_replicas = SlowReplicaMonitor(
            table.instance_id, table, self.retries, metrics, broadcast
        )
        self._candidates = Candidates(table, poison, self.slow_replicas)
        self._call_results = CallResults(table, poison, self.slow_replicas, metrics)
        self._metrics = metrics
        self._rng = rng
        self._policies = policies
        self._admission = ADMISSION_POLICIES_BY_NAME[policies.admission]()
        self._queues_by_target: dict[tuple[bool, str], TargetQueue] = {}

    async def run(self) -> None:
        """Place waiting calls periodically, until cancelled; the end of a call also places some."""
        ticks = 0
        while True:
            await trio.sleep(TICK_S)
            ticks += 1
            if ticks % round(STEP_S / TICK_S) == 0:
                self.slow_replicas.step()
            self.place_waiting()

    def place_waiting(self) -> None:
        """Place every waiting call for which an upstream has capacity."""
        now_s = trio.current_time()
        for target_queue in self._queues_by_target.values():
            self._place_from(target_queue, now_s)

    def evict_program(self, program_id: ProgramId, *, all_engines: bool = False) -> None:
        """Free the cached prefixes of a program that ended or was cancelled.

        Set `all_engines` for a program that had another owner, which may have used engines that
        this instance doesn't know of.
        """
        self.caches.evict(program_id, all_engines=all_engines)

    @asynccontextmanager
    async def place(self, request: PlacementRequest) -> AsyncIterator[Result[Placement, Refusal]]:
        """Wait for an upstream and hold it during the block, or yield the refusal.

        The refusal comes at once if admission refuses the call, and otherwise when its wait or
        its deadline ends.
        """
        target_queue = self._target_queue((request.is_model, request.target))
        refusal = self._refuse_early(request, target_queue)
        if refusal is not None:
            yield self._refused(refusal)
            return
        held = await self._wait(request, target_queue)
        if held is None:
            yield self._refused(self._refuse_late(request, target_queue))
            return
        started_s = trio.current_time()
        target_queue.running += 1
        try:
            yield Ok(held.placement)
        finally:
            duration_s = trio.current_time() - started_s
            self._call_results.record_end(request, target_queue, held, duration_s)
            self._place_from(target_queue, trio.current_time())
        if held.placement.outcome is PlacementOutcome.WENT_DOWN:
            await self.poison.persist(request.content_digest)

    def _target_queue(self, target: tuple[bool, str]) -> TargetQueue:
        if target not in self._queues_by_target:
            self._queues_by_target[target] = TargetQueue(self._policies)
        return self._queues_by_target[target]

    def _refused(self, refusal: Refusal) -> Err[Refusal]:
        self._metrics.count("placement_refusals", refusal.kind.value)
        return Err(refusal)

    def _refuse_early(self, request: PlacementRequest, target_queue: TargetQueue) -> Refusal | None:
        now_s = trio.current_time()
        if self.poison.registry.is_poisonous(request.content_digest, now_s=now_s):
            return poisonous_refusal()
        if request.deadline_s <= now_s:
            return Refusal(kind=ErrorKind.DEADLINE_EXCEEDED, detail="the deadline has passed")
        if not self.table.serving(request.target, is_model=request.is_model):
            return no_upstream_refusal(request)
        admitted = self._admission.decide(target_queue.admission_input(request, now_s=now_s))
        return admitted.err_value if isinstance(admitted, Err) else None

    def _refuse_late(self, request: PlacementRequest, target_queue: TargetQueue) -> Refusal:
        now_s = trio.current_time()
        if self.poison.registry.is_poisonous(request.content_digest, now_s=now_s):
            return poisonous_refusal()
        states = self.table.serving(request.target, is_model=request.is_model)
        if not any(state.breaker.allows(now_s=now_s) for state in states):
            return no_upstream_refusal(request)
        return target_queue.refuse_after_wait(now_s=now_s)

    async def _wait(
        self, request: PlacementRequest, target_queue: TargetQueue
    ) -> HeldUpstream | None:
        now_s = trio.current_time()
        waiting_call = WaitingCall(request=request)
        call = target_queue.queued(waiting_call, now_s=now_s)
        target_queue.queue.push(call, now_s=now_s)
        self._place_from(target_queue, now_s)
        try:
            with trio.move_on_at(call.deadline_s):
                await waiting_call.placed.wait()
        except trio.Cancelled:
            self._withdraw(target_queue, call, waiting_call)
            raise
        target_queue.queue.remove(call.call_id)
        self._metrics.record("queue_wait", trio.current_time() - now_s)
        return waiting_call.held

    def _withdraw(
        self, target_queue: TargetQueue, call: QueuedCall, waiting_call: WaitingCall
    ) -> None:
        """Withdraw a call that was cancelled while it waited."""
        target_queue.queue.remove(call.call_id)
        if waiting_call.held is not None:
            self._call_results.record_cancelled(waiting_call.request, waiting_call.held)

    def _place_from(self, target_queue: TargetQueue, now_s: float) -> None:
        target_queue.queue.expire(now_s=now_s)
        while target_queue.queue.pop(
            now_s=now_s, can_dispatch=lambda call: self._try_place(target_queue, call, now_s)
        ):
            pass

    def _try_place(self, target_queue: TargetQueue, call: QueuedCall, now_s: float) -> bool:
        """Choose and hold an upstream for a waiting call; return False if there is none."""
        waiting_call: WaitingCall = call.payload
        request = waiting_call.request
        placement_input = PlacementInput(
            program_id=request.program_id,
            prompt_tokens=request.prompt_tokens,
            cached_tokens_by_upstream=self.table.prefixes.tokens_by_upstream(request.program_id),
            call_s=target_queue.call_s.mean_s,
        )
        loads = [state.load for state in self._candidates.find(request, now_s)]
        chosen = target_queue.chooser.choose(placement_input, loads, self._rng)
        if chosen is None:
            return False
        state = self.table.states_by_id[chosen]
        cached_tokens = placement_input.cached_tokens_by_upstream.get(chosen, 0)
        added_tokens = max(0, request.prompt_tokens - cached_tokens)
        state.load.record_sent(now_s=now_s, added_tokens=added_tokens)
        state.breaker.record_sent(now_s=now_s)
        self.poison.registry.record_started(request.content_digest, chosen)
        placement = Placement(
            upstream_id=chosen,
            address=state.listed.address,
            priority=priority_of(request.attained_s),
        )
        self.slow_replicas.start(request, placement, now_s=now_s)
        waiting_call.held = HeldUpstream(state=state, placement=placement)
        waiting_call.placed.set()
        return True
