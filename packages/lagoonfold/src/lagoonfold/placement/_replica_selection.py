"""Selects the replica for a request by estimated cost.

Of the replicas that have room by all capacity rules, the one of the lowest cost is selected. If
none has room, the request waits in the instance, where a more urgent one can overtake it. While
some replicas of a pool are limited and others are not, the less of a limit is left, the larger a
request must be to use it (see `WorkRanking`). Of cold replicas the opposite holds: a large request
uses one only if others leave room there, or if the replica has read its prompt.

An instance knows only the prompts of requests that it has placed itself. If it has not placed a
session before, it assumes that the prompt is cached at the session's home replica, which all
instances determine alike by rendezvous hashing.
"""

import random
from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass, replace

from lagoonfold._rendezvous import rendezvous_weight
from lagoonfold.forwarding import Replica
from lagoonfold.placement._candidates import Candidate, ReplicaKnowledge
from lagoonfold.placement._capacity_rules import find_rejection, rules_for
from lagoonfold.placement._cold_replicas import ColdReplicas
from lagoonfold.placement._cost_terms import estimate_cost_s, terms_for
from lagoonfold.placement._memory_rule import MEMORY
from lagoonfold.placement._memory_tracker import MemoryClaim
from lagoonfold.placement._object_index import ObjectIndex
from lagoonfold.placement._prompt_cache_index import PromptCacheIndex, PromptPart
from lagoonfold.placement._replica_limits import ReplicaLimits
from lagoonfold.placement._replica_tracker import ReplicaTracker
from lagoonfold.placement._selection_input import SelectionInput
from lagoonfold.placement._work_ranking import WorkRanking

COST_JITTER = 0.05  # spreads requests over replicas of about the same cost
HOME_BONUS_TOKENS = 400  # preference for a new session's home: 3 ms, less than one request costs
SESSION_PART_INDEX = 1  # first part of a prompt that sessions of a route don't share


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaSelection:
    """The selected replica with its estimated cost and the figures behind it.

    `claim` is the memory that the placement occupies there, to be released at its end.
    """

    replica: Replica
    cost_s: float
    requests: int
    slowdown: float
    uncached_tokens: int
    claim: MemoryClaim | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaSearch:
    """The outcome of a search for a replica.

    `selection` is None if no replica has room. `short` is then the replica with the least in memory
    of those that lack only memory.
    """

    selection: ReplicaSelection | None = None
    short: Replica | None = None


class ReplicaSelector:
    """Selects replicas by what this instance knows of them.

    `count_rejection` is called with the reason of each replica that has no room.
    """

    def __init__(
        self,
        tracker: ReplicaTracker,
        prompt_index: PromptCacheIndex,
        rng: random.Random,
        limits: ReplicaLimits | None = None,
        *,
        cold: ColdReplicas | None = None,
        count_rejection: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self.limits = limits if limits is not None else ReplicaLimits()
        self.knowledge = ReplicaKnowledge(
            tracker=tracker,
            prompt_index=prompt_index,
            limits=self.limits,
            cold=cold if cold is not None else ColdReplicas(),
            objects=ObjectIndex(),
        )
        self._rng = rng
        self._count_rejection = count_rejection
        self._ranking = WorkRanking()
        self._jitter = COST_JITTER

    def snapshot(self, replica_ids: Collection[str]) -> "ReplicaSelector":
        """Return a copy by what is known of some replicas, for an explanation.

        Its selections change nothing here, and it selects the replica of the lowest cost without
        the random part that spreads requests.
        """
        known = self.knowledge
        copied = ReplicaSelector(
            known.tracker.snapshot(replica_ids),
            known.prompt_index,
            random.Random(0),
            known.limits.snapshot(replica_ids),
            cold=known.cold.snapshot(replica_ids),
        )
        copied.knowledge = replace(
            copied.knowledge,
            objects=known.objects.snapshot(),
            memory=known.memory.snapshot(replica_ids),
            pace=known.pace.snapshot(replica_ids),
        )
        copied._ranking, copied._jitter = self._ranking.snapshot(), 0.0
        return copied

    def record_arrival(self, request: SelectionInput) -> None:
        """Record the expected work of a request that is to be placed."""
        if request.expected_tokens is not None:
            self._ranking.record(request.expected_tokens)

    def record_placed(self, request: SelectionInput, replica: Replica, *, now_s: float) -> None:
        """Count a request that is placed at a replica against what the replica takes."""
        self.limits.record_sent(replica.replica_id, now_s=now_s)
        self.knowledge.cold.record_sent(replica.replica_id, now_s=now_s)
        if request.affinity is not None:
            self.knowledge.objects.record(request.affinity, replica, now_s=now_s)

    def choose(
        self, replicas: Iterable[Replica], request: SelectionInput, *, now_s: float
    ) -> ReplicaSelection | None:
        """Return the replica of the lowest cost that has room, None if there is none."""
        return self.search(replicas, request, now_s=now_s).selection

    def search(
        self, replicas: Iterable[Replica], request: SelectionInput, *, now_s: float
    ) -> ReplicaSearch:
        """Return the replica of the lowest cost that has room, or one that lacks only memory."""
        best: Candidate | None = None
        best_cost_s = float("inf")
        short: list[Replica] = []
        rules = rules_for(self.knowledge, request)
        terms = terms_for(self.knowledge, request)
        for candidate in self.candidates(replicas, request, now_s=now_s):
            reason = find_rejection(candidate, rules)
            if reason is not None:
                self._count_rejection(reason)
                if reason == MEMORY:
                    short.append(candidate.replica)
                continue
            cost_s = estimate_cost_s(candidate, terms) * (1 + self._jitter * self._rng.random())
            if cost_s < best_cost_s:
                best, best_cost_s = candidate, cost_s
        if best is None:
            return ReplicaSearch(
                short=min(short, key=self.knowledge.memory.used_tokens, default=None)
            )
        return ReplicaSearch(
            selection=ReplicaSelection(
                replica=best.replica,
                cost_s=best_cost_s,
                requests=best.requests,
                slowdown=best.slowdown,
                uncached_tokens=best.uncached_tokens,
            )
        )

    def candidates(
        self, replicas: Iterable[Replica], request: SelectionInput, *, now_s: float
    ) -> Iterator[Candidate]:
        """Return the replicas that a request may use, with what is known of each."""
        replicas = tuple(replicas)
        tracker = self.knowledge.tracker
        requests_at = tracker.told_requests_at if request.by_reports else tracker.requests_at
        home_id = self._home_id(replicas, request.parts)
        reading = self.knowledge.prompt_index.reading(request.parts)
        min_fill = self._min_fill(replicas, request)
        min_cold_fill = self._min_cold_fill(replicas, request, now_s)
        is_restricted = request.is_restricted
        for replica in replicas:
            if is_restricted and not request.allows(replica):
                continue
            replica_id = replica.replica_id
            uncached = reading.uncached_tokens(replica)
            if replica_id == home_id:
                uncached = _uncached_at_home(uncached, request.parts)
            yield Candidate(
                replica=replica,
                request=request,
                knowledge=self.knowledge,
                now_s=now_s,
                requests=requests_at(replica_id, now_s=now_s),
                slowdown=tracker.slowdown(replica_id, now_s=now_s),
                uncached_tokens=uncached,
                min_limit_fill=min_fill,
                min_cold_fill=min_cold_fill,
            )

    def _min_fill(self, replicas: tuple[Replica, ...], request: SelectionInput) -> float:
        """Return how much of a limit must be left for a request to use it, 0 if it may use any."""
        if request.expected_tokens is None or not self.limits.has_any:
            return 0.0
        is_limited = [
            self.limits.limit_per_s(replica.replica_id) is not None for replica in replicas
        ]
        if all(is_limited) or not any(is_limited):
            return 0.0
        return 1.0 - self._ranking.rank(request.expected_tokens)

    def _min_cold_fill(
        self, replicas: tuple[Replica, ...], request: SelectionInput, now_s: float
    ) -> float:
        """Return how much of a burst must be left for a request to use a cold replica, or 0."""
        if request.expected_tokens is None or not self.knowledge.cold.has_terms:
            return 0.0
        is_cold = [
            self.knowledge.cold.is_cold(replica.replica_id, now_s=now_s)
            for replica in replicas
            if request.allows(replica)
        ]
        if all(is_cold) or not any(is_cold):
            return 0.0
        return self._ranking.rank(request.expected_tokens)

    def _home_id(self, replicas: tuple[Replica, ...], parts: tuple[PromptPart, ...]) -> str | None:
        """Return the home replica of a session that this instance has not seen, otherwise None."""
        if (
            not replicas
            or len(parts) <= SESSION_PART_INDEX
            or self.knowledge.prompt_index.knows(parts[SESSION_PART_INDEX])
        ):
            return None
        session_id = parts[SESSION_PART_INDEX].part_id
        ids = (replica.replica_id for replica in replicas)
        return max(ids, key=lambda replica_id: rendezvous_weight(session_id, replica_id))


def _uncached_at_home(uncached: int, parts: tuple[PromptPart, ...]) -> int:
    """Return how many tokens of a prompt its home probably has to read."""
    is_later_turn = len(parts) > SESSION_PART_INDEX + 1
    return parts[-1].tokens if is_later_turn else max(0, uncached - HOME_BONUS_TOKENS)
