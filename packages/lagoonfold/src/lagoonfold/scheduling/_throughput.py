"""The running calls of one model as their paces are watched, and which of them to move.

watch = ThroughputMonitor("entry-1")
running = watch.start(upstream_id, prompt_tokens=900, can_move=True, now_s=0.0)
running.tokens = 12                        # as they are relayed
notices = watch.step(replicas, now_s=0.5)  # to be told to the peers
watch.calls_to_move(loads)
watch.end(running, is_finished=True)
"""

from collections.abc import Sequence
from dataclasses import dataclass

from lagoonfold._ids import UpstreamId
from lagoonfold.scheduling._load import ReplicaLoad
from lagoonfold.scheduling._slow_replicas import (
    EjectionNotice,
    MoveInput,
    SlowReplicaDetector,
    is_sooner_elsewhere,
)

_KEPT_SHARE = 0.9
_UNSEEN_ANSWER_TOKENS = 100.0
_LEAST_LEFT_SHARE = 0.5


@dataclass(slots=True, kw_only=True, eq=False)
class MonitoredCall:
    """A running call: `tokens` are those it has brought, `is_reader_blocked` that its readers hold
    it back, until it brings more.

    A call can be moved if running it again does no harm; it is moved once.
    """

    upstream_id: UpstreamId
    prompt_tokens: int
    can_move: bool
    is_probe: bool
    tokens: int = 0
    is_reader_blocked: bool = False
    seen_tokens: int = 0
    seen_s: float | None = None


class ThroughputMonitor:
    """Samples the running calls, judges their replicas, and names the calls to move."""

    def __init__(self, instance_id: str) -> None:
        self.detector = SlowReplicaDetector(instance_id)
        self._running: dict[MonitoredCall, None] = {}
        self._answer_tokens = _UNSEEN_ANSWER_TOKENS

    def start(
        self, upstream_id: UpstreamId, *, prompt_tokens: int, can_move: bool, now_s: float
    ) -> MonitoredCall:
        """Watch a call that is sent to a replica."""
        running = MonitoredCall(
            upstream_id=upstream_id,
            prompt_tokens=prompt_tokens,
            can_move=can_move,
            is_probe=self.detector.start_call(upstream_id, now_s=now_s),
        )
        self._running[running] = None
        return running

    def end(self, running: MonitoredCall, *, is_finished: bool) -> None:
        """Watch a call no more."""
        del self._running[running]
        if running.is_probe:
            self.detector.end_probe(running.upstream_id)
        if is_finished:
            kept = _KEPT_SHARE * self._answer_tokens
            self._answer_tokens = kept + (1 - _KEPT_SHARE) * running.tokens

    def step(self, replicas: Sequence[UpstreamId], *, now_s: float) -> list[EjectionNotice]:
        """Take in what the calls brought since the last step; return what was found out."""
        for running in self._running:
            self._sample(running, now_s)
        return self.detector.evaluate(replicas, now_s=now_s)

    def calls_to_move(self, loads: Sequence[ReplicaLoad]) -> list[MonitoredCall]:
        """Return the calls on replicas put aside that would end sooner elsewhere.

        They are no more than there are free slots on the replicas that are not put aside.
        """
        free = sum(
            max(0, load.slots - load.estimated_calls())
            for load in loads
            if not self.detector.is_ejected(load.upstream_id)
        )
        sooner = [
            running
            for running in self._running
            if running.can_move
            and self.detector.is_ejected(running.upstream_id)
            and not self._may_still_try(running)
            and is_sooner_elsewhere(self._move_input(running))
        ]
        return sooner[:free]

    def _may_still_try(self, running: MonitoredCall) -> bool:
        return running.is_probe and self.detector.is_probing(running.upstream_id)

    def _move_input(self, running: MonitoredCall) -> MoveInput:
        detector, upstream_id = self.detector, running.upstream_id
        least = self._answer_tokens * _LEAST_LEFT_SHARE
        return MoveInput(
            tokens_to_generate=max(least, self._answer_tokens - running.tokens),
            tokens_to_prefill=running.prompt_tokens + running.tokens,
            current_throughput=detector.ejection_throughput(upstream_id),
            other_throughput=detector.median_throughput_of_others(upstream_id) or 0.0,
        )

    def _sample(self, running: MonitoredCall, now_s: float) -> None:
        """Note the tokens since the last step; the first of a call only start its time."""
        if running.seen_s is not None and not running.is_reader_blocked:
            tokens = running.tokens - running.seen_tokens
            seconds = now_s - running.seen_s
            self.detector.record_sample(
                running.upstream_id, tokens=tokens, seconds=seconds, now_s=now_s
            )
        if running.tokens != running.seen_tokens:
            running.is_reader_blocked = False
        running.seen_s = now_s if running.tokens else None
        running.seen_tokens = running.tokens
