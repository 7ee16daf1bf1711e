"""How busy, how fast and how sound each replica is, as far as this instance can tell.

The number of requests at a replica is the greater of what the instances have sent and not seen the
end of, and what the replica reported last. The pace of a replica is the time that its requests
take in proportion to what requests of their route usually take, so 1 is usual and 4 is four times
as slow. Evidence fades, so that a replica that was avoided is tried again.
"""

import math
from collections import defaultdict
from dataclasses import dataclass, field

REPORT_LIFE_S = 0.3  # a replica's own counts are some hundred ms old when they arrive
SLOWDOWN_HALF_LIFE_S = 3.0  # a slow replica is tried again within seconds of its recovery
SLOWDOWN_WEIGHT = 0.35  # share of the latest sample; two slow answers are enough to avoid a replica
MAX_SLOWDOWN = 10.0  # a stalled answer counts as no more than that
MIN_REPORTED_SLOWDOWN = 1.3  # what is told to peers; less lies within the spread of answers
FRESH_SAMPLE_S = 1.0  # so that instances don't pass each other's evidence on for ever
MIN_ASIDE_S = 0.25  # first pause after a failure
MAX_ASIDE_S = 2.0  # a replica that starts again is found within this time
LOSSES_TO_SET_ASIDE = 2  # lost answers in a row; a single one says nothing of the replica
FULL_ASIDE_S = 0.05  # about one answer's time until a place is free


@dataclass(slots=True)
class _ReplicaState:
    sent: int = 0
    reported: int = 0
    reported_at_s: float = -math.inf
    slowdown: float = 1.0
    slowdown_at_s: float = -math.inf
    sampled_at_s: float = -math.inf
    failures: int = 0
    losses: int = 0
    aside_until_s: float = -math.inf


@dataclass(slots=True)
class _PeerLoads:
    sent_by_replica: dict[str, int] = field(default_factory=dict)
    heard_at_s: float = -math.inf


PEER_LIFE_S = 1.5  # loads of a peer that is not heard for longer are dropped


class ReplicaTracker:
    """Loads, paces and failures by replica id."""

    def __init__(self) -> None:
        self._state_by_id: dict[str, _ReplicaState] = defaultdict(_ReplicaState)
        self._loads_by_peer: dict[str, _PeerLoads] = {}

    def record_sent(self, replica_id: str) -> None:
        """Count a request that is being sent."""
        self._state_by_id[replica_id].sent += 1

    def record_ended(self, replica_id: str) -> None:
        """Count the end of a request, however it ended."""
        self._state_by_id[replica_id].sent -= 1

    def record_report(self, replica_id: str, requests: int, *, now_s: float) -> None:
        """Take in a replica's own count of running and waiting requests."""
        state = self._state_by_id[replica_id]
        state.reported = requests
        state.reported_at_s = now_s

    def record_peer_loads(
        self, peer: str, sent_by_replica: dict[str, int], *, now_s: float
    ) -> None:
        """Take in what a peer has under way, by replica id."""
        self._loads_by_peer[peer] = _PeerLoads(sent_by_replica, now_s)

    def record_slowdown(self, replica_id: str, ratio: float, *, now_s: float) -> None:
        """Take in a sample: the time taken in proportion to the usual one."""
        state = self._state_by_id[replica_id]
        current = self.slowdown(replica_id, now_s=now_s)
        state.slowdown = current + SLOWDOWN_WEIGHT * (min(ratio, MAX_SLOWDOWN) - current)
        state.slowdown_at_s = now_s
        state.sampled_at_s = now_s

    def record_peer_slowdown(self, replica_id: str, slowdown: float, *, now_s: float) -> None:
        """Take in a slow pace that a peer has measured."""
        current = self.slowdown(replica_id, now_s=now_s)
        if slowdown > current:
            state = self._state_by_id[replica_id]
            state.slowdown = current + SLOWDOWN_WEIGHT * (slowdown - current)
            state.slowdown_at_s = now_s

    def recent_slowdowns(self, *, now_s: float) -> dict[str, float]:
        """Return the slow paces by replica id that rest on own samples of the last second."""
        return {
            replica_id: round(slowdown, 2)
            for replica_id, state in self._state_by_id.items()
            if now_s - state.sampled_at_s <= FRESH_SAMPLE_S
            and (slowdown := self.slowdown(replica_id, now_s=now_s)) > MIN_REPORTED_SLOWDOWN
        }

    def record_success(self, replica_id: str) -> None:
        """Take in that the replica answered properly."""
        state = self._state_by_id[replica_id]
        state.failures = 0
        state.losses = 0

    def record_full(self, replica_id: str, *, now_s: float) -> None:
        """Take in that the replica had no room."""
        self._set_aside(replica_id, FULL_ASIDE_S, now_s)

    def record_connect_failure(self, replica_id: str, *, now_s: float) -> None:
        """Take in that no connection could be made: the pause doubles with each failure."""
        state = self._state_by_id[replica_id]
        pause_s = min(MAX_ASIDE_S, MIN_ASIDE_S * 2**state.failures)
        state.failures += 1
        self._set_aside(replica_id, pause_s, now_s)

    def record_lost_response(self, replica_id: str, *, now_s: float) -> None:
        """Take in a lost or spoilt answer."""
        state = self._state_by_id[replica_id]
        state.losses += 1
        if state.losses >= LOSSES_TO_SET_ASIDE:
            self.record_connect_failure(replica_id, now_s=now_s)

    def forget(self, replica_id: str) -> None:
        """Drop the evidence on a replica that has started anew or has left."""
        state = self._state_by_id.pop(replica_id, None)
        if state is not None and state.sent:
            self._state_by_id[replica_id].sent = state.sent

    def requests_at(self, replica_id: str, *, now_s: float) -> int:
        """Return how many requests the replica probably has."""
        state = self._state_by_id[replica_id]
        sent = state.sent + sum(
            loads.sent_by_replica.get(replica_id, 0)
            for loads in self._loads_by_peer.values()
            if now_s - loads.heard_at_s <= PEER_LIFE_S
        )
        if now_s - state.reported_at_s <= REPORT_LIFE_S:
            return max(sent, state.reported)
        return sent

    def slowdown(self, replica_id: str, *, now_s: float) -> float:
        """Return the replica's slowdown.

        Evidence loses half of its weight in `SLOWDOWN_HALF_LIFE_S`.
        """
        state = self._state_by_id[replica_id]
        if state.slowdown_at_s == -math.inf:
            return 1.0
        kept = 0.5 ** ((now_s - state.slowdown_at_s) / SLOWDOWN_HALF_LIFE_S)
        return 1.0 + (state.slowdown - 1.0) * kept

    def is_ejected(self, replica_id: str, *, now_s: float) -> bool:
        """Tell whether the replica gets no requests for the moment."""
        return now_s < self._state_by_id[replica_id].aside_until_s

    def in_flight_by_replica(self) -> dict[str, int]:
        """Return what this instance has under way, by replica id."""
        return {key: state.sent for key, state in self._state_by_id.items() if state.sent}

    def _set_aside(self, replica_id: str, pause_s: float, now_s: float) -> None:
        state = self._state_by_id[replica_id]
        state.aside_until_s = max(state.aside_until_s, now_s + pause_s)
