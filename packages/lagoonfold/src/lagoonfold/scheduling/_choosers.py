"""Policies that choose the replica for a call.

A chooser gets the eligible replicas and an estimate of how much of the call's prefix each has
cached. It returns None if all of them are full.

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

_NEAR_BEST_TOLERANCE_S = 0.1
_MAX_AFFINITY_LOAD_RATIO = 1.25
_SHORT_PREFIX_TOKENS = 4000
_NEARLY_IDLE_SLOT_SHARE = 0.125
_USABLE_CACHE_SHARE = 0.7

CHOOSERS_BY_NAME: dict[str, type[ReplicaChooser]] = {}


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementInput:
    """A call to be placed, with the length of its prompt and of the cached prefixes in tokens.

    `call_s` is how long a call is expected to occupy a slot, `prefill_tokens_per_s` how fast a
    replica computes the tokens that it has not cached.
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
    """Chooses the replica for a call among those that have room.

    A replica is filled up to `overcommit_factor` times its slots.
    """

    def __init__(self, *, overcommit_factor: float = 1.0) -> None:
        self._overcommit_factor = overcommit_factor

    def choose(
        self, call: PlacementInput, replicas: Sequence[ReplicaLoad], rng: random.Random
    ) -> UpstreamId | None:
        """Return the replica for a call, or None if the call must wait."""
        available = [
            replica
            for replica in replicas
            if self.has_free_slot(replica) and self.has_memory(call, replica)
        ]
        return self.pick(call, available, rng).upstream_id if available else None

    def pick(
        self, call: PlacementInput, available: Sequence[ReplicaLoad], rng: random.Random
    ) -> ReplicaLoad:
        """Return one of the replicas that have room."""
        raise NotImplementedError

    def has_free_slot(self, replica: ReplicaLoad) -> bool:
        """Return whether a replica can take one more call."""
        return replica.estimated_calls() < max(1.0, replica.slots * self._overcommit_factor)

    def has_memory(self, call: PlacementInput, replica: ReplicaLoad) -> bool:
        """Return whether the call's prefix may be added to the replica's cache; by default True."""
        return True


@chooser("round-robin")
class RoundRobin(ReplicaChooser):
    """Cycles through the replicas that have room."""

    def __init__(self, *, overcommit_factor: float = 1.0) -> None:
        super().__init__(overcommit_factor=overcommit_factor)
        self._pick_count = 0

    def pick(
        self, call: PlacementInput, available: Sequence[ReplicaLoad], rng: random.Random
    ) -> ReplicaLoad:
        """Return the next replica of the cycle."""
        self._pick_count += 1
        return available[self._pick_count % len(available)]


@chooser("least-loaded")
class LeastLoaded(ReplicaChooser):
    """Chooses the replica with the fewest calls per slot."""

    def pick(
        self, call: PlacementInput, available: Sequence[ReplicaLoad], rng: random.Random
    ) -> ReplicaLoad:
        """Return the least loaded replica; ties are broken at random."""
        return min(available, key=lambda replica: (_slot_load(replica), rng.random()))


@chooser("prefix-affinity")
class PrefixAffinity(ReplicaChooser):
    """Chooses the replica with the longest cached prefix whose load is not far above the mean."""

    def pick(
        self, call: PlacementInput, available: Sequence[ReplicaLoad], rng: random.Random
    ) -> ReplicaLoad:
        """Return the replica with the longest cached prefix within the load bound.

        Among replicas with equally long prefixes it is the least loaded one.
        """
        mean = sum(_slot_load(replica) for replica in available) / len(available)
        bound = _MAX_AFFINITY_LOAD_RATIO * mean + 1 / available[0].slots
        within_bound = [replica for replica in available if _slot_load(replica) <= bound]
        return min(
            within_bound, key=lambda replica: (-_cached_tokens(call, replica), _slot_load(replica))
        )


@chooser("near-best-two")
class NearBestTwo(ReplicaChooser):
    """Chooses the better of two random replicas whose expected delay is near the best.

    The delay is the time to compute the tokens that are not cached plus the expected wait. Of the
    two, the less loaded one is chosen, or at equal load the one with fewer calls of this
    instance, so that instances that share a delayed report don't all choose the same replica.
    """

    def pick(
        self, call: PlacementInput, available: Sequence[ReplicaLoad], rng: random.Random
    ) -> ReplicaLoad:
        """Return the less loaded of two replicas drawn from those near the best delay."""
        delays = [(_delay_s(call, replica), replica) for replica in available]
        best_s = min(delay_s for delay_s, _ in delays)
        near_best = [
            replica for delay_s, replica in delays if delay_s <= best_s + _NEAR_BEST_TOLERANCE_S
        ]
        drawn = rng.sample(near_best, min(2, len(near_best)))
        return min(drawn, key=lambda replica: (_slot_load(replica), replica.own_calls))


@chooser("memory-bound")
class MemoryBound(NearBestTwo):
    """Near-best-two that adds a prefix to a cache only if no other prefix is evicted for it.

    When the active programs need more cache than the replicas have, each call evicts a prefix
    that another call needs, and the engines mostly recompute prefixes (cache thrashing). This
    chooser lets a call with a long missing prefix wait until there is memory for it, while calls
    with cached or short prefixes pass. A nearly idle replica takes any call, which guarantees
    progress.
    """

    def has_memory(self, call: PlacementInput, replica: ReplicaLoad) -> bool:
        """Return whether the missing part is short or fits, or the replica is nearly idle."""
        missing = call.prompt_tokens - _cached_tokens(call, replica)
        if missing <= _SHORT_PREFIX_TOKENS or missing <= replica.free_tokens(_USABLE_CACHE_SHARE):
            return True
        return replica.estimated_calls() < replica.slots * _NEARLY_IDLE_SLOT_SHARE


def _slot_load(replica: ReplicaLoad) -> float:
    return replica.estimated_calls() / max(1, replica.slots)


def _cached_tokens(call: PlacementInput, replica: ReplicaLoad) -> int:
    return min(call.prompt_tokens, call.cached_tokens_by_upstream.get(replica.upstream_id, 0))


def _delay_s(call: PlacementInput, replica: ReplicaLoad) -> float:
    missing = call.prompt_tokens - _cached_tokens(call, replica)
    queue = max(0.0, replica.estimated_calls() + 1 - replica.slots)
    wait_s = queue / max(1, replica.slots) * call.call_s
    return missing / call.prefill_tokens_per_s + wait_s


DEFAULT_CHOOSER = "memory-bound"
