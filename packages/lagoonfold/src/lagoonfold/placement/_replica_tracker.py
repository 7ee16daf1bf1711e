"""Tracks the load, slowdown and failures of each replica as seen by this instance.

The load of a replica is the number of requests in flight there that this instance has placed or
sent, plus those of others. The requests of others are what the replica reported last beyond this
instance's own requests at that time. A replica's slowdown is the answer time of its requests
divided by the typical answer time of their route: 1 is usual, 4 is four times as slow. Slowdowns
decay and ejections end, so that an avoided replica receives requests again.
"""

import math
from collections import defaultdict
from collections.abc import Collection
from dataclasses import dataclass, replace

TOLD_TTL_S = 1.0  # of a report at an instance that places without the owner's knowledge
REPORT_TTL_S = 0.3  # a replica's own counts are some hundred ms old on arrival
SLOWDOWN_HALF_LIFE_S = 3.0  # a recovered replica gets requests again within seconds
SLOWDOWN_SAMPLE_WEIGHT = 0.35  # share of a new sample; two slow answers suffice to avoid a replica
MAX_SLOWDOWN = 10.0  # bounds the effect of one stalled answer
MIN_EJECTION_S = 0.25  # after the first failure
MAX_EJECTION_S = 2.0  # bounds the time until a restarted replica is used again
LOSSES_TO_EJECT = 2  # in a row; a single loss is no evidence against the replica
FULL_EJECTION_S = 0.05  # about the time of one answer, after which a slot is free


@dataclass(slots=True)
class _ReplicaState:
    sent: int = 0
    sent_by_others: int = 0
    reported: int = 0
    reported_at_s: float = -math.inf
    slowdown: float = 1.0
    slowdown_at_s: float = -math.inf
    failures: int = 0
    losses: int = 0
    ejected_until_s: float = -math.inf


class ReplicaTracker:
    """Holds loads, slowdowns and failures by replica id."""

    def __init__(self) -> None:
        self._state_by_id: dict[str, _ReplicaState] = defaultdict(_ReplicaState)

    def snapshot(self, replica_ids: Collection[str]) -> "ReplicaTracker":
        """Return a copy with what is known of some replicas."""
        copied = ReplicaTracker()
        for replica_id in replica_ids:
            if replica_id in self._state_by_id:
                copied._state_by_id[replica_id] = replace(self._state_by_id[replica_id])
        return copied

    def ages_s(self, replica_id: str, *, now_s: float) -> dict[str, float]:
        """Return how old the replica's own count and its slowdown are, as far as it has any."""
        state = self._state_by_id.get(replica_id)
        if state is None:
            return {}
        at_s = {"requests_told": state.reported_at_s, "slowdown": state.slowdown_at_s}
        return {name: now_s - each_s for name, each_s in at_s.items() if each_s > -math.inf}

    def record_sent(self, replica_id: str) -> None:
        """Count a request that is about to be sent."""
        self._state_by_id[replica_id].sent += 1

    def record_ended(self, replica_id: str) -> None:
        """Count the end of a request, successful or not."""
        self._state_by_id[replica_id].sent -= 1

    def record_report(self, replica_id: str, requests: int, *, now_s: float) -> None:
        """Record a replica's own count of running and waiting requests.

        Call this while the request whose answer told the count is still in flight here.
        """
        state = self._state_by_id[replica_id]
        state.sent_by_others = max(0, requests - state.sent)
        state.reported = requests
        state.reported_at_s = now_s

    def record_slowdown(self, replica_id: str, ratio: float, *, now_s: float) -> None:
        """Record a sample of answer time divided by typical answer time."""
        state = self._state_by_id[replica_id]
        current = self.slowdown(replica_id, now_s=now_s)
        state.slowdown = current + SLOWDOWN_SAMPLE_WEIGHT * (min(ratio, MAX_SLOWDOWN) - current)
        state.slowdown_at_s = now_s

    def record_success(self, replica_id: str) -> None:
        """Record a valid answer, which resets the counts of failures and lost answers."""
        state = self._state_by_id[replica_id]
        state.failures = 0
        state.losses = 0

    def record_full(self, replica_id: str, *, now_s: float) -> None:
        """Record that the replica was full, and eject it for `FULL_EJECTION_S`."""
        self._eject(replica_id, FULL_EJECTION_S, now_s)

    def record_connect_failure(self, replica_id: str, *, now_s: float) -> None:
        """Record a failed connection and eject the replica.

        The ejection doubles with each failure in a row, up to `MAX_EJECTION_S`.
        """
        state = self._state_by_id[replica_id]
        ejection_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**state.failures)
        state.failures += 1
        self._eject(replica_id, ejection_s, now_s)

    def record_lost_response(self, replica_id: str, *, now_s: float) -> None:
        """Record a lost or invalid answer; `LOSSES_TO_EJECT` in a row eject the replica."""
        state = self._state_by_id[replica_id]
        state.losses += 1
        if state.losses >= LOSSES_TO_EJECT:
            self.record_connect_failure(replica_id, now_s=now_s)

    def forget(self, replica_id: str) -> None:
        """Discard all but the requests in flight of a replica that has restarted or left."""
        state = self._state_by_id.pop(replica_id, None)
        if state is not None and state.sent:
            self._state_by_id[replica_id].sent = state.sent

    def requests_at(self, replica_id: str, *, now_s: float) -> int:
        """Return the estimated number of requests at the replica."""
        state = self._state_by_id[replica_id]
        if now_s - state.reported_at_s <= REPORT_TTL_S:
            return state.sent + state.sent_by_others
        return state.sent

    def told_requests_at(self, replica_id: str, *, now_s: float) -> int:
        """Return the estimated number of requests, at least that reported within `TOLD_TTL_S`."""
        requests, state = self.requests_at(replica_id, now_s=now_s), self._state_by_id[replica_id]
        is_recent = now_s - state.reported_at_s <= TOLD_TTL_S
        return max(requests, state.reported) if is_recent else requests

    def slowdown(self, replica_id: str, *, now_s: float) -> float:
        """Return the replica's slowdown; 1 is usual, higher is slower.

        Its distance from 1 halves every `SLOWDOWN_HALF_LIFE_S`.
        """
        state = self._state_by_id[replica_id]
        if state.slowdown_at_s == -math.inf:
            return 1.0
        decay = 0.5 ** ((now_s - state.slowdown_at_s) / SLOWDOWN_HALF_LIFE_S)
        return 1.0 + (state.slowdown - 1.0) * decay

    def is_ejected(self, replica_id: str, *, now_s: float) -> bool:
        """Return whether the replica is ejected and gets no requests."""
        return now_s < self._state_by_id[replica_id].ejected_until_s

    def _eject(self, replica_id: str, ejection_s: float, now_s: float) -> None:
        state = self._state_by_id[replica_id]
        state.ejected_until_s = max(state.ejected_until_s, now_s + ejection_s)
