"""The paces of replicas at one instance: calls watched and moved, and the peers told."""

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
    """One watch for each model; `step` is called at the interval `STEP_S`."""

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
        self._watches_by_model: dict[str, ThroughputMonitor] = {}
        self._placed_by_call: dict[MonitoredCall, tuple[PlacementRequest, Placement]] = {}

    def allows(self, request: PlacementRequest, upstream_id: UpstreamId, *, now_s: float) -> bool:
        """Tell whether a call may go to a replica: not put aside, or to try it."""
        if not request.is_model:
            return True
        return self._watch(request.target).detector.allows(upstream_id, now_s=now_s)

    def start(self, request: PlacementRequest, placement: Placement, *, now_s: float) -> None:
        """Watch a call that is placed."""
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
        """Watch a call no more."""
        if placement.monitored_call is not None:
            del self._placed_by_call[placement.monitored_call]
            self._watch(request.target).end(placement.monitored_call, is_finished=is_finished)

    def apply_report(self, message: SlowReplicaReport) -> None:
        """Take in what a peer found out."""
        watch = self._watch(message.model)
        watch.detector.apply_notice(message.notice, now_s=trio.current_time())
        self._count(message.notice, "told")

    def step(self) -> None:
        """Judge the replicas by what their calls brought, tell the peers, and move calls."""
        now_s = trio.current_time()
        for model, watch in self._watches_by_model.items():
            serving = self._table.serving(model, is_model=True)
            replicas = [state.load.upstream_id for state in serving]
            watch.detector.retain_only(replicas)
            for notice in watch.step(replicas, now_s=now_s):
                self._count(notice, "seen")
                self._broadcast(SlowReplicaReport(model=model, notice=notice))
            open_loads = [state.load for state in serving if state.breaker.allows(now_s=now_s)]
            for running in watch.calls_to_move(open_loads):
                self._move(running, *self._placed_by_call[running])

    def _move(
        self, running: MonitoredCall, request: PlacementRequest, placement: Placement
    ) -> None:
        """Ask for a call to be moved if the retry budgets bear it; it is asked once."""
        running.can_move = False
        state = self._table.states_by_id.get(placement.upstream_id)
        if self._retries.spend_move(request.account_id, state):
            placement.move_requested.set()

    def _count(self, notice: EjectionNotice, how: str) -> None:
        verdict = "slow" if notice.ejection_s else "well"
        self._metrics.count("replica_paces", f"{verdict}-{how}")

    def _watch(self, model: str) -> ThroughputMonitor:
        if model not in self._watches_by_model:
            self._watches_by_model[model] = ThroughputMonitor(self._instance_id)
        return self._watches_by_model[model]
