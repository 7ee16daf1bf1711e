"""Measure the throughput of one model's running calls and select calls to move.

monitor = ThroughputMonitor("entry-1")
running = monitor.start(upstream_id, prompt_tokens=900, can_move=True, now_s=0.0)
running.tokens = 12                          # updated as tokens are relayed
notices = monitor.step(replicas, now_s=0.5)  # to be sent to the peers
monitor.calls_to_move(loads)
monitor.end(running, is_finished=True)
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

_AVERAGE_DECAY = 0.9
_INITIAL_ANSWER_TOKENS = 100.0
_MIN_REMAINING_SHARE = 0.5


@dataclass(slots=True, kw_only=True, eq=False)
class MonitoredCall:
    """A running call that is sampled.

    `tokens` counts the tokens it has generated. `is_reader_blocked` marks a call that its readers
    slow down; it is reset when more tokens arrive. `can_move` is set if the call may be run again
    on another replica; a call is moved at most once.
    """

    upstream_id: UpstreamId
    prompt_tokens: int
    can_move: bool
    is_probe: bool
    tokens: int = 0
    is_reader_blocked: bool = False
    sampled_tokens: int = 0
    sampled_at_s: float | None = None


class ThroughputMonitor:
    """Samples the running calls, evaluates their replicas and selects the calls to move."""

    def __init__(self, instance_id: str) -> None:
        self.detector = SlowReplicaDetector(instance_id)
        self._running: dict[MonitoredCall, None] = {}
        self._average_answer_tokens = _INITIAL_ANSWER_TOKENS

    def start(
        self, upstream_id: UpstreamId, *, prompt_tokens: int, can_move: bool, now_s: float
    ) -> MonitoredCall:
        """Start monitoring a call that is sent to a replica."""
        running = MonitoredCall(
            upstream_id=upstream_id,
            prompt_tokens=prompt_tokens,
            can_move=can_move,
            is_probe=self.detector.start_call(upstream_id, now_s=now_s),
        )
        self._running[running] = None
        return running

    def end(self, running: MonitoredCall, *, is_finished: bool) -> None:
        """Stop monitoring a call; `is_finished` if the replica ran it to its end."""
        del self._running[running]
        if running.is_probe:
            self.detector.end_probe(running.upstream_id)
        if is_finished:
            decayed = _AVERAGE_DECAY * self._average_answer_tokens
            self._average_answer_tokens = decayed + (1 - _AVERAGE_DECAY) * running.tokens

    def step(self, replicas: Sequence[UpstreamId], *, now_s: float) -> list[EjectionNotice]:
        """Sample the calls and return the notices of ejected and reinstated replicas."""
        for running in self._running:
            self._sample(running, now_s)
        return self.detector.evaluate(replicas, now_s=now_s)

    def calls_to_move(self, loads: Sequence[ReplicaLoad]) -> list[MonitoredCall]:
        """Return the calls on ejected replicas that would end sooner elsewhere.

        There are at most as many as free slots on the replicas that are not ejected.
        """
        free_slots = sum(
            max(0, load.slots - load.estimated_calls())
            for load in loads
            if not self.detector.is_ejected(load.upstream_id)
        )
        movable = [
            running
            for running in self._running
            if running.can_move
            and self.detector.is_ejected(running.upstream_id)
            and not self._is_undecided_probe(running)
            and is_sooner_elsewhere(self._move_input(running))
        ]
        return movable[:free_slots]

    def _is_undecided_probe(self, running: MonitoredCall) -> bool:
        return running.is_probe and self.detector.is_probing(running.upstream_id)

    def _move_input(self, running: MonitoredCall) -> MoveInput:
        detector, upstream_id = self.detector, running.upstream_id
        min_tokens = self._average_answer_tokens * _MIN_REMAINING_SHARE
        return MoveInput(
            tokens_to_generate=max(min_tokens, self._average_answer_tokens - running.tokens),
            tokens_to_prefill=running.prompt_tokens + running.tokens,
            current_throughput=detector.ejection_throughput(upstream_id),
            other_throughput=detector.median_throughput_of_others(upstream_id) or 0.0,
        )

    def _sample(self, running: MonitoredCall, now_s: float) -> None:
        """Record the tokens since the last step.

        The first step after a call's first token only starts its measurement, so the wait for
        that token is not sampled.
        """
        if running.sampled_at_s is not None and not running.is_reader_blocked:
            tokens = running.tokens - running.sampled_tokens
            seconds = now_s - running.sampled_at_s
            self.detector.record_sample(
                running.upstream_id, tokens=tokens, seconds=seconds, now_s=now_s
            )
        if running.tokens != running.sampled_tokens:
            running.is_reader_blocked = False
        running.sampled_at_s = now_s if running.tokens else None
        running.sampled_tokens = running.tokens
