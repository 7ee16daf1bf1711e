"""The watch over paces of one model scheduler: its calls sampled, its peers told, calls moved."""

from dataclasses import dataclass

from bench.policy._clock import Clock
from bench.policy._engine import Engine, EngineCall
from lagoonfold import UpstreamId
from lagoonfold.scheduling import EjectionNotice, MonitoredCall, ReplicaLoad, ThroughputMonitor

STEP_S = 0.5
PEER_DELAY_S = 0.02


@dataclass(slots=True, kw_only=True, eq=False)
class WatchedCall:
    """A call at an engine, with what is watched of it."""

    engine: Engine
    call: EngineCall
    running: MonitoredCall


class Pacer:
    """Steps a `ThroughputMonitor` in simulated time.

    `peers` are the pacers of the other instances.
    """

    def __init__(self, name: str, replicas: list[UpstreamId], clock: Clock) -> None:
        self.watch = ThroughputMonitor(name)
        self.peers: list[Pacer] = []
        self.put_aside = 0
        self.moved = 0
        self._replicas = replicas
        self._clock = clock
        self._calls_by_running: dict[MonitoredCall, WatchedCall] = {}

    def start(
        self, upstream_id: UpstreamId, engine: Engine, call: EngineCall, *, can_move: bool
    ) -> MonitoredCall:
        """Watch a call that is sent to an engine."""
        running = self.watch.start(
            upstream_id,
            prompt_tokens=call.prompt_tokens,
            can_move=can_move,
            now_s=self._clock.now_s,
        )
        watched = WatchedCall(engine=engine, call=call, running=running)
        self._calls_by_running[running] = watched
        return running

    def end(self, running: MonitoredCall, *, is_finished: bool) -> None:
        """Watch a call no more."""
        watched = self._calls_by_running.pop(running)
        if is_finished:
            running.tokens = watched.call.completion_tokens
        self.watch.end(running, is_finished=is_finished)

    def step(self, loads: list[ReplicaLoad]) -> list[WatchedCall]:
        """Sample and judge; tell the peers, and return the calls to be moved."""
        for watched in self._calls_by_running.values():
            watched.running.tokens = watched.engine.generated(watched.call)
        now_s = self._clock.now_s
        for notice in self.watch.step(self._replicas, now_s=now_s):
            self.put_aside += notice.ejection_s > 0
            for peer in self.peers:
                self._clock.after(PEER_DELAY_S, peer.take, notice)
        return [self._calls_by_running[running] for running in self.watch.calls_to_move(loads)]

    def take(self, notice: EjectionNotice) -> None:
        """Take in a peer's notice."""
        self.watch.detector.apply_notice(notice, now_s=self._clock.now_s)
