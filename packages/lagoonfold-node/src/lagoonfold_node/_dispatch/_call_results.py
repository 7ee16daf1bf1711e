"""Record the end of a call in the state that later placements use.

This is the upstream's load, throughput and circuit breaker, the failures of the request's digest,
and the service charged to the account.
"""

import trio

from lagoonfold.scheduling import estimate_service_s
from lagoonfold_io.observe import Metrics
from lagoonfold_node._dispatch._poison import PoisonNotices
from lagoonfold_node._dispatch._requests import Placement, PlacementOutcome, PlacementRequest
from lagoonfold_node._dispatch._slow_replicas import SlowReplicaMonitor
from lagoonfold_node._dispatch._table import UpstreamState, UpstreamTable
from lagoonfold_node._dispatch._target_queue import HeldUpstream, TargetQueue


class CallResults:
    """Records how calls ended."""

    def __init__(
        self,
        table: UpstreamTable,
        poison: PoisonNotices,
        slow_replicas: SlowReplicaMonitor,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._poison = poison
        self._slow_replicas = slow_replicas
        self._metrics = metrics

    def record_end(
        self,
        request: PlacementRequest,
        target_queue: TargetQueue,
        held: HeldUpstream,
        duration_s: float,
    ) -> None:
        """Record how a placed call ended, `duration_s` seconds after it was placed."""
        now_s = trio.current_time()
        state, placement = held.state, held.placement
        outcome = placement.outcome
        target_queue.running -= 1
        state.load.record_ended(now_s=now_s)
        self._slow_replicas.end(
            request, placement, is_finished=outcome is PlacementOutcome.FINISHED
        )
        if outcome in (PlacementOutcome.WENT_DOWN, PlacementOutcome.BROKE_OFF):
            self._poison.report(
                request.content_digest,
                placement.upstream_id,
                is_confirmed=outcome is PlacementOutcome.WENT_DOWN,
            )
        self._record_digest_ended(request, state, is_finished=outcome is PlacementOutcome.FINISHED)
        if outcome is PlacementOutcome.FINISHED:
            state.breaker.record_success()
            target_queue.completions.add(now_s=now_s)
            target_queue.call_s.add(duration_s)
            self._charge(request, target_queue, placement)
        elif outcome is PlacementOutcome.GIVEN_UP:
            state.breaker.record_abandoned()
        else:
            state.breaker.record_failure(now_s=now_s)
        self._metrics.count("placements", outcome.value)

    def _charge(
        self, request: PlacementRequest, target_queue: TargetQueue, placement: Placement
    ) -> None:
        usage = placement.usage
        used_s = estimate_service_s(
            prompt_tokens=usage.prompt_tokens,
            cached_tokens=usage.cached_tokens,
            completion_tokens=usage.completion_tokens,
        )
        target_queue.queue.charge_service(request.account_id, used_s, weight=request.weight)
        if request.is_model:
            tokens = usage.prompt_tokens + usage.completion_tokens
            self._table.prefixes.set_cached_tokens(
                request.program_id, placement.upstream_id, tokens
            )
            recomputed = usage.prompt_tokens - usage.cached_tokens
            self._metrics.count("prefill_tokens", "computed", recomputed)
            self._metrics.count("prefill_tokens", "cached", usage.cached_tokens)

    def record_cancelled(self, request: PlacementRequest, held: HeldUpstream) -> None:
        """Record that a call was cancelled after it was placed but before it was sent."""
        held.state.load.record_ended(now_s=trio.current_time())
        self._slow_replicas.end(request, held.placement, is_finished=False)
        held.state.breaker.record_abandoned()
        self._record_digest_ended(request, held.state, is_finished=False)

    def _record_digest_ended(
        self, request: PlacementRequest, state: UpstreamState, *, is_finished: bool
    ) -> None:
        self._poison.registry.record_ended(
            request.content_digest,
            state.load.upstream_id,
            now_s=trio.current_time(),
            is_finished=is_finished,
        )
