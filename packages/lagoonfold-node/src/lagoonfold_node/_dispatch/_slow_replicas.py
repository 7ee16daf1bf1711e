"""Monitor the throughput of replicas, notify the peers of slow ones and move calls off them."""

import trio

from lagoonfold import InstanceId, UpstreamId
from lagoonfold.scheduling import EjectionNotice, MonitoredCall, ThroughputMonitor
from lagoonfold_io.observe import Metrics
from lagoonfold_node._dispatch._broadcast import Broadcast
from lagoonfold_node._dispatch._messages import SlowReplicaReport
from lagoonfold_node._dispatch._requests import Placement, PlacementRequest
from lagoonfold_node._dispatch._retries import Retries
from lagoonfold_node._dispatch._table import UpstreamTable

STEP_S = 0.5


class SlowReplicaMonitor:
    """Holds one throughput monitor for each model; `step` must be called every `STEP_S` seconds."""

    def __init__(
        self,
        instance_id: InstanceId,
        table: UpstreamTable,
        retries: Retries,
        metrics: Metrics,
        broadcast: Broadcast,
    ) -> None:
        self._instance_id = instance_id
        self._table = table
        self._retries = retries
        self._metrics = metrics
        self._broadcast = broadcast
        self._monitors_by_model: dict[str, ThroughputMonitor] = {}
        self._placed_by_call: dict[MonitoredCall, tuple[PlacementRequest, Placement]] = {}

    def allows(self, request: PlacementRequest, upstream_id: UpstreamId, *, now_s: float) -> bool:
        """Return whether a call may go to a replica: it isn't ejected, or this call probes it."""
        if not request.is_model:
            return True
        return self._watch(request.target).detector.allows(upstream_id, now_s=now_s)

    def start(self, request: PlacementRequest, placement: Placement, *, now_s: float) -> None:
        """Start monitoring a call that was placed."""
        if not request.is_model:
            return
        placement.monitored_call = self._watch(request.target).start(
            placement.upstream_id,
            prompt_tokens=request.prompt_tokens,
            can_move=request.can_move,
            now_s=now_s,
        )
        if placement.monitored_call.is_probe:
            self._metrics.count("replica_paces", "tried")
        self._placed_by_call[placement.monitored_call] = (request, placement)

    def end(self, request: PlacementRequest, placement: Placement, *, is_finished: bool) -> None:
        """Stop monitoring a call."""
        if placement.monitored_call is not None:
            del self._placed_by_call[placement.monitored_call]
            self._watch(request.target).end(placement.monitored_call, is_finished=is_finished)

    def apply_report(self, message: SlowReplicaReport) -> None:
        """Apply a peer's notice."""
        monitor = self._watch(message.model)
        monitor.detector.apply_notice(message.notice, now_s=trio.current_time())
        self._count(message.notice, "told")

    def step(self) -> None:
        """Evaluate the replicas by their calls, broadcast the notices and request moves."""
        now_s = trio.current_time()
        for model, monitor in self._monitors_by_model.items():
            serving = self._table.serving(model, is_model=True)
            replicas = [state.load.upstream_id for state in serving]
            monitor.detector.retain_only(replicas)
            for notice in monitor.step(replicas, now_s=now_s):
                self._count(notice, "seen")
                self._broadcast(SlowReplicaReport(model=model, notice=notice))
            open_loads = [state.load for state in serving if state.breaker.allows(now_s=now_s)]
            for running in monitor.calls_to_move(open_loads):
                self._move(running, *self._placed_by_call[running])

    def _move(
        self, running: MonitoredCall, request: PlacementRequest, placement: Placement
    ) -> None:
        """Request the move of a call if the retry budgets cover it; never request it again."""
        running.can_move = False
        state = self._table.states_by_id.get(placement.upstream_id)
        if self._retries.spend_move(request.account_id, state):
            placement.move_requested.set()

    def _count(self, notice: EjectionNotice, how: str) -> None:
        verdict = "slow" if notice.ejection_s else "well"
        self._metrics.count("replica_paces", f"{verdict}-{how}")

    def _watch(self, model: str) -> ThroughputMonitor:
        if model not in self._monitors_by_model:
            self._monitors_by_model[model] = ThroughputMonitor(self._instance_id)
        return self._monitors_by_model[model]
