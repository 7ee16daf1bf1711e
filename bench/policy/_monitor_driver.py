"""Runs the library's throughput monitor for one simulated scheduler.

It samples the calls at the engines, sends ejection notices to the peers and selects calls to move.
"""

from dataclasses import dataclass

from bench.policy._clock import Clock
from bench.policy._engine import Engine, EngineCall
from lagoonfold import UpstreamId
from lagoonfold.scheduling import EjectionNotice, MonitoredCall, ReplicaLoad, ThroughputMonitor

MONITOR_STEP_S = 0.5
PEER_MESSAGE_DELAY_S = 0.02


@dataclass(slots=True, kw_only=True, eq=False)
class TrackedCall:
    """A call at an engine and its entry in the throughput monitor."""

    engine: Engine
    call: EngineCall
    monitored: MonitoredCall


class MonitorDriver:
    """Steps a `ThroughputMonitor` in simulated time.

    `peers` are the drivers of the other instances that receive the notices.
    """

    def __init__(self, name: str, replicas: list[UpstreamId], clock: Clock) -> None:
        self.monitor = ThroughputMonitor(name)
        self.peers: list[MonitorDriver] = []
        self.ejections = 0
        self.moved_calls = 0
        self._replicas = replicas
        self._clock = clock
        self._calls_by_monitored: dict[MonitoredCall, TrackedCall] = {}

    def start(
        self, upstream_id: UpstreamId, engine: Engine, call: EngineCall, *, can_move: bool
    ) -> MonitoredCall:
        """Start monitoring a call that is sent to an engine."""
        monitored = self.monitor.start(
            upstream_id,
            prompt_tokens=call.prompt_tokens,
            can_move=can_move,
            now_s=self._clock.now_s,
        )
        tracked = TrackedCall(engine=engine, call=call, monitored=monitored)
        self._calls_by_monitored[monitored] = tracked
        return monitored

    def end(self, monitored: MonitoredCall, *, is_finished: bool) -> None:
        """Stop monitoring a call."""
        tracked = self._calls_by_monitored.pop(monitored)
        if is_finished:
            monitored.tokens = tracked.call.completion_tokens
        self.monitor.end(monitored, is_finished=is_finished)

    def step(self, loads: list[ReplicaLoad]) -> list[TrackedCall]:
        """Sample the calls, notify the peers of ejections and return the calls to move."""
        for tracked in self._calls_by_monitored.values():
            tracked.monitored.tokens = tracked.engine.generated_tokens(tracked.call)
        now_s = self._clock.now_s
        for notice in self.monitor.step(self._replicas, now_s=now_s):
            self.ejections += notice.ejection_s > 0
            for peer in self.peers:
                self._clock.after(PEER_MESSAGE_DELAY_S, peer.apply_notice, notice)
        return [
            self._calls_by_monitored[monitored] for monitored in self.monitor.calls_to_move(loads)
        ]

    def apply_notice(self, notice: EjectionNotice) -> None:
        """Apply a peer's notice of an ejected or reinstated replica."""
        self.monitor.detector.apply_notice(notice, now_s=self._clock.now_s)
