"""Knows which replicas are cold, and bounds the requests that this instance places at them.

A replica that has just started tolerates only some requests a second from all instances together.
It counts as cold for its service's cold start time from when its start becomes known, from the
restoration of its evacuated failure domain, and from a refused connection, after which it may have
started again before its entry says so; and for as long as it says itself. Nothing that is learned
shortens a time that was known before.

As with `ReplicaLimits`, only the owner of a replica's pool places at it while it is cold. An owner
uses half of what the replica takes, so two that are unaware of each other stay within it, and one
that takes over starts from an empty bucket. Everything is decided from arguments, without I/O.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace

from lagoonfold.forwarding import Replica
from lagoonfold.placement._cold_terms import (
    COLD_QUOTA_TERMS,
    WINDOW_S,
    ColdTerms,
    is_cold_time,
)
from lagoonfold.rates import Quota

MAX_CLOCK_SKEW_S = 30.0  # between machines; an age below it is not trusted
MAX_GONE = 4_096  # replicas no longer listed that are remembered, as entries may come back
MAX_COUNTED = 1_024  # requests of the last second at one replica


@dataclass(slots=True)
class _ReplicaState:
    """What is known of one start of a replica.

    It is cold for the service's cold start time from `begun_s` on, and until `told_until_s`.
    """

    service: str
    started: int
    told_s: float | None = None
    begun_s: float = -math.inf
    told_until_s: float = -math.inf
    cold_since_s: float = -math.inf
    quota: Quota | None = None
    sent_at_s: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_COUNTED))


def _place_always(replica_id: str) -> float | None:
    return -math.inf


class ColdReplicas:
    """Holds until when replicas are cold, and counts the requests placed at cold ones.

    `placing_since_s` returns since when this instance places the requests for a replica, None while
    another instance does. Times are in seconds on this instance's clock.

        cold = ColdReplicas()
        cold.set_terms({"models": ColdTerms(start_s=3.0, per_s=27.0)})
        cold.apply_listed([replica], is_first=False, now_s=0.0, unix_s=1.7e9)
        cold.is_cold(replica.replica_id, now_s=1.0)     # True
        cold.has_room(replica.replica_id, now_s=1.0)    # True
        cold.record_sent(replica.replica_id, now_s=1.0)
        cold.is_cold(replica.replica_id, now_s=3.1)     # False
    """

    def __init__(self, placing_since_s: Callable[[str], float | None] | None = None) -> None:
        self._placing_since_s = placing_since_s or _place_always
        self._terms_by_service: dict[str, ColdTerms] = {}
        self._state_by_id: dict[str, _ReplicaState] = {}
        self._gone_by_id: OrderedDict[str, _ReplicaState] = OrderedDict()

    def snapshot(self, replica_ids: Collection[str]) -> "ColdReplicas":
        """Return a copy with what is known of some replicas, which can be drawn on."""
        copied = ColdReplicas(self._placing_since_s)
        copied._terms_by_service = dict(self._terms_by_service)
        for replica_id in replica_ids:
            state = self._state_by_id.get(replica_id)
            if state is not None:
                quota = state.quota.snapshot() if state.quota is not None else None
                copied._state_by_id[replica_id] = replace(
                    state, quota=quota, sent_at_s=state.sent_at_s.copy()
                )
        return copied

    def set_terms(self, terms_by_service: Mapping[str, ColdTerms]) -> None:
        """Apply the terms of the services with cold replicas; others' replicas are never cold."""
        self._terms_by_service = dict(terms_by_service)

    @property
    def has_terms(self) -> bool:
        """Return whether the replicas of any service may be cold."""
        return bool(self._terms_by_service)

    def apply_listed(
        self,
        replicas: Iterable[Replica],
        *,
        is_first: bool,
        now_s: float,
        unix_s: float,
        restored_s_by_domain: Mapping[str, float] | None = None,
    ) -> None:
        """Apply the listed replicas, and when evacuations of failure domains ended.

        Starts that this instance did not know are cold, unless the replica tells that it started
        longer ago, or the listing is the first that this instance sees.
        """
        listed_ids = set()
        for replica in replicas:
            listed_ids.add(replica.replica_id)
            state = self._known_state(replica)
            if state is None:
                state = self._add(replica)
                if not is_first:
                    self._begin(state, _seen_start_s(replica, now_s, unix_s), now_s)
            if replica.cold_s != state.told_s:
                self._apply_told(state, replica.cold_s, now_s)
            if restored_s_by_domain:
                restored_s = restored_s_by_domain.get(replica.failure_domain, -math.inf)
                self._begin(state, restored_s, now_s)
        self._drop_all_but(listed_ids)

    def record_written(self, replica: Replica, *, now_s: float) -> None:
        """Record that a replica's entry has been written, which repeats what it says.

        A listing can't tell an entry that was written again from an old one; see `apply_listed`.
        """
        state = self._known_state(replica)
        if state is not None:
            self._apply_told(state, replica.cold_s, now_s)

    def record_told(self, replica_id: str, started: int, cold_s: float, *, now_s: float) -> None:
        """Record for how long a replica's start is still cold by its own answer."""
        state = self._state_by_id.get(replica_id)
        if state is not None and state.started == started:
            self._tell(state, cold_s, now_s)

    def record_unreached(self, replica_id: str, started: int, *, now_s: float) -> None:
        """Record that a replica accepts no connection; it may start again before it is listed."""
        state = self._state_by_id.get(replica_id)
        if state is not None and state.started == started:
            self._begin(state, now_s, now_s)

    def record_sent(self, replica_id: str, *, now_s: float) -> None:
        """Count a request that this instance places at a replica."""
        state = self._state_by_id.get(replica_id)
        if state is None or state.service not in self._terms_by_service:
            return
        state.sent_at_s.append(now_s)
        while state.sent_at_s[0] < now_s - WINDOW_S:
            state.sent_at_s.popleft()
        if state.quota is not None:
            state.quota.try_take(now_s=now_s)

    def is_cold(self, replica_id: str, *, now_s: float) -> bool:
        """Return whether a replica is cold."""
        return self.until_s(replica_id) > now_s

    def until_s(self, replica_id: str) -> float:
        """Return until when a replica is or was cold, minus infinity if that is not known."""
        state = self._state_by_id.get(replica_id)
        return self._until_s(state) if state is not None else -math.inf

    def cold_ids(self, *, now_s: float) -> Iterator[str]:
        """Return the ids of the cold replicas."""
        if self._terms_by_service:
            for replica_id, state in self._state_by_id.items():
                if self._until_s(state) > now_s:
                    yield replica_id

    def has_room(self, replica_id: str, *, now_s: float) -> bool:
        """Return whether a replica is not cold, or may get another request from here."""
        state = self._state_by_id.get(replica_id)
        if state is None or self._until_s(state) <= now_s:
            return True
        quota = self._quota(replica_id, state, now_s)
        return quota is not None and quota.available(now_s=now_s) >= 1

    def fill(self, replica_id: str, *, now_s: float) -> float:
        """Return how much of a burst is left after the next request: 1 if all, 0 if none."""
        state = self._state_by_id.get(replica_id)
        if state is None or self._until_s(state) <= now_s:
            return 1.0
        quota = self._quota(replica_id, state, now_s)
        if quota is None:
            return 0.0
        spare = max(0.0, quota.available(now_s=now_s) - 1)
        most = quota.most_available - 1
        return 1.0 if spare >= most else spare / most

    def wait_s(self, replica_ids: Iterable[str], requests: int, *, now_s: float) -> float | None:
        """Return how long it takes until that many requests can be placed at cold replicas.

        None if one of them is not cold, or if another instance places the requests for one.
        """
        rate_per_s, until_s = 0.0, math.inf
        for replica_id in replica_ids:
            state = self._state_by_id.get(replica_id)
            if state is None or self._until_s(state) <= now_s:
                return None
            quota = self._quota(replica_id, state, now_s)
            if quota is None:
                return None
            rate_per_s += quota.limit.rate_per_s
            until_s = min(until_s, self._until_s(state))
        return min(requests / rate_per_s, until_s - now_s) if rate_per_s else None

    def _known_state(self, replica: Replica) -> _ReplicaState | None:
        """Return the state of the listed start of a replica, also if it was not listed lately."""
        replica_id = replica.replica_id
        state = self._state_by_id.get(replica_id)
        if state is None and replica_id in self._gone_by_id:
            state = self._state_by_id[replica_id] = self._gone_by_id.pop(replica_id)
        is_known = state is not None and state.started == replica.started
        return state if is_known else None

    def _add(self, replica: Replica) -> _ReplicaState:
        """Forget an earlier start, but not the requests that may reach the new one."""
        earlier = self._state_by_id.get(replica.replica_id)
        state = _ReplicaState(replica.service, replica.started)
        if earlier is not None:
            state.sent_at_s = earlier.sent_at_s
        self._state_by_id[replica.replica_id] = state
        return state

    def _drop_all_but(self, listed_ids: set[str]) -> None:
        for replica_id in self._state_by_id.keys() - listed_ids:
            self._gone_by_id[replica_id] = self._state_by_id.pop(replica_id)
        while len(self._gone_by_id) > MAX_GONE:
            self._gone_by_id.popitem(last=False)

    def _apply_told(self, state: _ReplicaState, cold_s: float | None, now_s: float) -> None:
        state.told_s = cold_s
        if cold_s is not None:
            self._tell(state, cold_s, now_s)

    def _tell(self, state: _ReplicaState, cold_s: float, now_s: float) -> None:
        if is_cold_time(cold_s) and now_s + cold_s > state.told_until_s:
            self._note_beginning(state, now_s)
            state.told_until_s = now_s + cold_s

    def _begin(self, state: _ReplicaState, begun_s: float, now_s: float) -> None:
        if begun_s > state.begun_s:
            self._note_beginning(state, now_s)
            state.begun_s = begun_s

    def _note_beginning(self, state: _ReplicaState, now_s: float) -> None:
        """Begin to count from an empty bucket if a replica was warm until now."""
        if self._until_s(state) <= now_s:
            state.cold_since_s, state.quota = now_s, None

    def _until_s(self, state: _ReplicaState) -> float:
        terms = self._terms_by_service.get(state.service)
        if terms is None:
            return -math.inf
        return max(state.begun_s + terms.start_s, state.told_until_s)

    def _quota(self, replica_id: str, state: _ReplicaState, now_s: float) -> Quota | None:
        """Return the quota of a cold replica for which this instance places, otherwise None."""
        limit = self._terms_by_service[state.service].owner_limit
        since_s = self._placing_since_s(replica_id)
        if since_s is None:
            state.quota = None
        elif state.quota is None:
            state.quota = Quota(
                limit,
                COLD_QUOTA_TERMS,
                now_s=max(since_s, state.cold_since_s),
                taken_at_s=state.sent_at_s,
            )
        elif state.quota.limit != limit:
            state.quota.change_limit(limit, now_s=now_s)
        return state.quota


def _seen_start_s(replica: Replica, now_s: float, unix_s: float) -> float:
    """Return when a replica started at the latest, on this instance's clock."""
    if replica.started_unix_s is None:
        return now_s
    return now_s - max(0.0, unix_s - replica.started_unix_s - MAX_CLOCK_SKEW_S)
