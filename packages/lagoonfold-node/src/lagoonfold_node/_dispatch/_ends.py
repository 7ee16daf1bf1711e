"""What is learnt from the end of a call: load, pace, breaker, poison, and the account's share."""

import trio

from lagoonfold.scheduling import estimate_service_s
from lagoonfold_io.observe import Metrics
from lagoonfold_node._dispatch._lane import Held, Lane
from lagoonfold_node._dispatch._paces import ReplicaPaces
from lagoonfold_node._dispatch._poison import PoisonNotices
from lagoonfold_node._dispatch._requests import Outcome, Placement, PlacementRequest
from lagoonfold_node._dispatch._table import UpstreamState, UpstreamTable


class CallEnds:
    """Notes the ends of calls where later choices look for them."""

    def __init__(
        self, table: UpstreamTable, poison: PoisonNotices, paces: ReplicaPaces, metrics: Metrics
    ) -> None:
        self._table = table
        self._poison = poison
        self._paces = paces
        self._metrics = metrics

    def note_end(
        self, request: PlacementRequest, lane: Lane, held: Held, duration_s: float
    ) -> None:
        """Take note of how a placed call ended after so many seconds."""
        now_s = trio.current_time()
        state, placement = held.state, held.placement
        outcome = placement.outcome
        lane.running -= 1
        state.load.record_ended(now_s=now_s)
        self._paces.end(request, placement, is_finished=outcome is Outcome.FINISHED)
        if outcome in (Outcome.WENT_DOWN, Outcome.BROKE_OFF):
            self._poison.blame(
                request.content_digest,
                placement.upstream_id,
                is_confirmed=outcome is Outcome.WENT_DOWN,
            )
        self._end_digest(request, state, is_finished=outcome is Outcome.FINISHED)
        if outcome is Outcome.FINISHED:
            state.breaker.record_success()
            lane.ends.add(now_s=now_s)
            lane.call_s.add(duration_s)
            self._charge(request, lane, placement)
        elif outcome is Outcome.GIVEN_UP:
            state.breaker.record_abandoned()
        else:
            state.breaker.record_failure(now_s=now_s)
        self._metrics.count("placements", outcome.value)

    def _charge(self, request: PlacementRequest, lane: Lane, placement: Placement) -> None:
        usage = placement.usage
        used_s = estimate_service_s(
            prompt_tokens=usage.prompt_tokens,
            cached_tokens=usage.cached_tokens,
            completion_tokens=usage.completion_tokens,
        )
        lane.queue.charge_service(request.account_id, used_s, weight=request.weight)
        if request.is_model:
            tokens = usage.prompt_tokens + usage.completion_tokens
            self._table.prefixes.set_cached_tokens(
                request.program_id, placement.upstream_id, tokens
            )
            recomputed = usage.prompt_tokens - usage.cached_tokens
            self._metrics.count("prefill_tokens", "computed", recomputed)
            self._metrics.count("prefill_tokens", "cached", usage.cached_tokens)

    def note_withdrawn(self, request: PlacementRequest, held: Held) -> None:
        """Take note that a caller went away before its placed call began."""
        held.state.load.record_ended(now_s=trio.current_time())
        self._paces.end(request, held.placement, is_finished=False)
        held.state.breaker.record_abandoned()
        self._end_digest(request, held.state, is_finished=False)

    def _end_digest(
        self, request: PlacementRequest, state: UpstreamState, *, is_finished: bool
    ) -> None:
        self._poison.registry.record_ended(
            request.content_digest,
            state.load.upstream_id,
            now_s=trio.current_time(),
            is_finished=is_finished,
        )
