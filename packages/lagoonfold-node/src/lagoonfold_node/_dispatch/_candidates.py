"""Find the upstreams that may get a call: they serve it, are healthy and may run its content."""

from lagoonfold_node._dispatch._poison import PoisonNotices
from lagoonfold_node._dispatch._requests import PlacementRequest
from lagoonfold_node._dispatch._slow_replicas import SlowReplicaMonitor
from lagoonfold_node._dispatch._table import UpstreamState, UpstreamTable


class Candidates:
    """Finds the upstreams that the replica chooser selects from."""

    def __init__(
        self, table: UpstreamTable, poison: PoisonNotices, slow_replicas: SlowReplicaMonitor
    ) -> None:
        self._table = table
        self._poison = poison
        self._slow_replicas = slow_replicas

    def find(self, request: PlacementRequest, now_s: float) -> list[UpstreamState]:
        """Return the upstreams that may get a call now.

        Upstreams that the call avoids and replicas that are ejected as slow are returned only if
        there is no other.
        """
        serving = self._table.serving(request.target, is_model=request.is_model)
        healthy = [state for state in serving if state.breaker.allows(now_s=now_s)]
        not_avoided = [
            state for state in healthy if state.load.upstream_id not in request.avoid
        ] or healthy
        states_by_id = {
            state.load.upstream_id: state
            for state in self._without_ejected(request, not_avoided, now_s)
        }
        allowed = self._poison.registry.allowed_upstreams(
            request.content_digest, states_by_id, now_s=now_s
        )
        return [state for upstream_id, state in states_by_id.items() if upstream_id in allowed]

    def _without_ejected(
        self, request: PlacementRequest, states: list[UpstreamState], now_s: float
    ) -> list[UpstreamState]:
        """Return the upstreams that are not ejected as slow, or all if all are ejected."""
        not_ejected = [
            state
            for state in states
            if self._slow_replicas.allows(request, state.load.upstream_id, now_s=now_s)
        ]
        return not_ejected or states
