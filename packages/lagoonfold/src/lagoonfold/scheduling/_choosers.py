"""Choice of the replica for a call.

A chooser sees the replicas that may take the call and what each is believed to hold of its
prefix. It returns None where all of them are full.

    @chooser("first")
    class First(ReplicaChooser):
        def choose(self, call, replicas, rng):
            return replicas[0].upstream_id
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from lagoonfold._ids import ProgramId, UpstreamId
from lagoonfold.scheduling._load import ReplicaLoad

_NEAR_BEST_S = 0.1
_AFFINITY_LOAD_BOUND = 1.25
_SHORT_PREFIX_TOKENS = 4000
_NEARLY_IDLE_SHARE = 0.125
_USABLE_SHARE = 0.7

CHOOSERS_BY_NAME: dict[str, type[ReplicaChooser]] = {}


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementInput:
    """A call to be placed: its prompt and what of it each replica may have cached, in tokens.

    `call_s` is how long a call is expected to occupy a slot, `prefill_tokens_per_s` how fast a
    replica computes what it has not cached.
    """

    program_id: ProgramId
    prompt_tokens: int = 0
    cached_tokens_by_upstream: Mapping[UpstreamId, int] = field(default_factory=dict)
    call_s: float = 1.0
    prefill_tokens_per_s: float = 8000.0


def chooser(name: str) -> Callable[[type[ReplicaChooser]], type[ReplicaChooser]]:
    """Register a chooser under a name."""

    def register(cls: type[ReplicaChooser]) -> type[ReplicaChooser]:
        CHOOSERS_BY_NAME[name] = cls
        return cls

    return register


class ReplicaChooser:
    """Chooses among replicas; `overcommit_factor` is how far over its slots one is filled."""

    def __init__(self, *, overcommit_factor: float = 1.0) -> None:
        self._overcommit_factor = overcommit_factor

    def choose(
        self, call: PlacementInput, replicas: Sequence[ReplicaLoad], rng: random.Random
    ) -> UpstreamId | None:
        """Return the replica for a call, or None if it must wait."""
        free = [
            replica
            for replica in replicas
            if self.has_free_slot(replica) and self.has_memory(call, replica)
        ]
        return self.pick(call, free, rng).upstream_id if free else None

    def pick(
        self, call: PlacementInput, free: Sequence[ReplicaLoad], rng: random.Random
    ) -> ReplicaLoad:
        """Return one of the replicas that have room."""
        raise NotImplementedError

    def has_free_slot(self, replica: ReplicaLoad) -> bool:
        """Tell whether a replica can take one more call."""
        return replica.estimated_calls() < max(1.0, replica.slots * self._overcommit_factor)

    def has_memory(self, call: PlacementInput, replica: ReplicaLoad) -> bool:
        """Tell whether the call's prefix may be brought into the replica's cache; always yes."""
        return True


@chooser("round-robin")
class RoundRobin(ReplicaChooser):
    """Each replica in turn."""

    def __init__(self, *, overcommit_factor: float = 1.0) -> None:
        super().__init__(overcommit_factor=overcommit_factor)
        self._turn = 0

    def pick(
        self, call: PlacementInput, free: Sequence[ReplicaLoad], rng: random.Random
    ) -> ReplicaLoad:
        """Return the next in turn."""
        self._turn += 1
        return free[self._turn % len(free)]


@chooser("least-loaded")
class LeastLoaded(ReplicaChooser):
    """The replica with the fewest calls for its slots."""

    def pick(
        self, call: PlacementInput, free: Sequence[ReplicaLoad], rng: random.Random
    ) -> ReplicaLoad:
        """Return the least loaded; ties by chance."""
        return min(free, key=lambda replica: (_load(replica), rng.random()))


@chooser("prefix-affinity")
class PrefixAffinity(ReplicaChooser):
    """The replica that holds most of the prefix, unless its load is well over the mean."""

    def pick(
        self, call: PlacementInput, free: Sequence[ReplicaLoad], rng: random.Random
    ) -> ReplicaLoad:
        """Return the holder of the longest prefix within the load bound, else the least loaded."""
        mean = sum(_load(replica) for replica in free) / len(free)
        bound = _AFFINITY_LOAD_BOUND * mean + 1 / free[0].slots
        near = [replica for replica in free if _load(replica) <= bound]
        return min(near, key=lambda replica: (-_cached(call, replica), _load(replica)))


@chooser("near-best-two")
class NearBestTwo(ReplicaChooser):
    """Two random choices among the replicas whose expected delay is near the best.

    The delay is the time to compute what is not cached plus the expected wait. The replica of
    the two that was sent less from here is taken, so that instances with the same lagging report
    don't all go to one.
    """

    def pick(
        self, call: PlacementInput, free: Sequence[ReplicaLoad], rng: random.Random
    ) -> ReplicaLoad:
        """Return the less loaded of two replicas drawn from the near-best."""
        delays = [(_delay_s(call, replica), replica) for replica in free]
        best_s = min(delay_s for delay_s, _ in delays)
        near = [replica for delay_s, replica in delays if delay_s <= best_s + _NEAR_BEST_S]
        drawn = rng.sample(near, min(2, len(near)))
        return min(drawn, key=lambda replica: (_load(replica), replica.own_calls))


@chooser("memory-bound")
class MemoryBound(NearBestTwo):
    """Near-best-two, where a prefix is brought in only if it pushes out no other.

    When the programs under way need more cache than there is, each call evicts what another will
    need, and the engines do little but compute prefixes again. Here a call whose prefix is
    missing waits until there is room for it, while calls with cached or short prefixes pass. A
    replica that has little to do takes any call, so that something always goes on.
    """

    def has_memory(self, call: PlacementInput, replica: ReplicaLoad) -> bool:
        """Tell whether the missing part is short or fits, or the replica is nearly idle."""
        missing = call.prompt_tokens - _cached(call, replica)
        if missing <= _SHORT_PREFIX_TOKENS or missing <= replica.free_tokens(_USABLE_SHARE):
            return True
        return replica.estimated_calls() < replica.slots * _NEARLY_IDLE_SHARE


def _load(replica: ReplicaLoad) -> float:
    return replica.estimated_calls() / max(1, replica.slots)


def _cached(call: PlacementInput, replica: ReplicaLoad) -> int:
    return min(call.prompt_tokens, call.cached_tokens_by_upstream.get(replica.upstream_id, 0))


def _delay_s(call: PlacementInput, replica: ReplicaLoad) -> float:
    missing = call.prompt_tokens - _cached(call, replica)
    queue = max(0.0, replica.estimated_calls() + 1 - replica.slots)
    wait_s = queue / max(1, replica.slots) * call.call_s
    return missing / call.prefill_tokens_per_s + wait_s


DEFAULT_CHOOSER = "memory-bound"
