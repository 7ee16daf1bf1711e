"""Counts the tokens of the open placements at each replica, against the replica's memory.

A request occupies memory for its prompt and for what it generates. A part of a prompt that several
open placements at a replica have in common, after the same beginning, is there once and counts
once. The counts change only when a placement is opened or released, so that a choice looks at the
parts of one prompt and never at the other placements.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from lagoonfold.forwarding import Replica
from lagoonfold.placement._selection_input import SelectionInput

# Estimates are right at the median only, and an output that exceeds its estimate preempts others.
OUTPUT_MARGIN = 1.5

_Incarnation = tuple[str, int]
_KeyedPart = tuple[int, int]  # a hash of a part and all before it, and its tokens


@dataclass(slots=True, eq=False)
class MemoryClaim:
    """The memory of one open placement; it ends with `MemoryTracker.release`."""

    incarnation: _Incarnation
    parts: tuple[_KeyedPart, ...]
    own_tokens: int
    is_open: bool = True


@dataclass(frozen=True, slots=True)
class _Need:
    """The memory that a request needs; `own_tokens` are those that it shares with no other."""

    parts: tuple[_KeyedPart, ...]
    own_tokens: int
    all_tokens: int


@dataclass(slots=True)
class _Usage:
    """What the open placements at one incarnation of a replica occupy."""

    placements: int = 0
    tokens: int = 0
    users_by_part: dict[_KeyedPart, int] = field(default_factory=dict)


class MemoryTracker:
    """Holds the tokens of open placements by replica, and the memory of each service's replicas.

    tracker = MemoryTracker()
    tracker.set_capacities({"models": 48_000})
    claim = tracker.open(replica, request)    # the request is placed there
    tracker.has_room(replica, next_request)
    tracker.release(claim)
    """

    def __init__(self) -> None:
        self._capacity_by_service: dict[str, int] = {}
        self._usage_by_incarnation: dict[_Incarnation, _Usage] = {}
        # The candidates for one request are considered one after the other.
        self._last_request: SelectionInput | None = None
        self._last_need = _Need((), 0, 0)

    def snapshot(self, replica_ids: Collection[str]) -> "MemoryTracker":
        """Return a copy with the open placements at some replicas."""
        copied = MemoryTracker()
        copied._capacity_by_service = dict(self._capacity_by_service)
        copied._usage_by_incarnation = {
            incarnation: _Usage(usage.placements, usage.tokens, dict(usage.users_by_part))
            for incarnation, usage in self._usage_by_incarnation.items()
            if incarnation[0] in replica_ids
        }
        return copied

    def set_capacities(self, capacity_by_service: Mapping[str, int]) -> None:
        """Set the memory in tokens of each replica of a service; 0 if it is not known."""
        self._capacity_by_service = {
            service: tokens for service, tokens in capacity_by_service.items() if tokens > 0
        }

    @property
    def has_capacities(self) -> bool:
        """Return whether the memory of any service's replicas is known."""
        return bool(self._capacity_by_service)

    def used_tokens(self, replica: Replica) -> int:
        """Return the tokens that the open placements at a replica occupy."""
        usage = self._usage_by_incarnation.get((replica.replica_id, replica.started))
        return usage.tokens if usage is not None else 0

    def has_room(self, replica: Replica, request: SelectionInput) -> bool:
        """Return whether a request fits; at a replica without open placements every one does.

        A request that is larger than the memory could run nowhere otherwise.
        """
        capacity = self._capacity_by_service.get(replica.service)
        if capacity is None:
            return True
        usage = self._usage_by_incarnation.get((replica.replica_id, replica.started))
        if usage is None:
            return True
        need = self._need(request)
        if usage.tokens + need.all_tokens <= capacity:
            return True
        shared = sum(part[1] for part in need.parts if part in usage.users_by_part)
        return usage.tokens + need.all_tokens - shared <= capacity

    def open(self, replica: Replica, request: SelectionInput) -> MemoryClaim | None:
        """Count a request that is placed at a replica; None if the memory is not known."""
        if replica.service not in self._capacity_by_service:
            return None
        incarnation = (replica.replica_id, replica.started)
        need = self._need(request)
        claim = MemoryClaim(incarnation, need.parts, need.own_tokens)
        usage = self._usage_by_incarnation.setdefault(incarnation, _Usage())
        usage.placements += 1
        usage.tokens += claim.own_tokens
        for part in claim.parts:
            users = usage.users_by_part.get(part, 0)
            usage.users_by_part[part] = users + 1
            usage.tokens += 0 if users else part[1]
        return claim

    def release(self, claim: MemoryClaim | None) -> None:
        """Free the memory of a placement that has ended; a second release has no effect."""
        if claim is None or not claim.is_open:
            return
        claim.is_open = False
        usage = self._usage_by_incarnation[claim.incarnation]
        usage.placements -= 1
        usage.tokens -= claim.own_tokens
        for part in claim.parts:
            usage.users_by_part[part] -= 1
            if not usage.users_by_part[part]:
                del usage.users_by_part[part]
                usage.tokens -= part[1]
        if not usage.placements:
            del self._usage_by_incarnation[claim.incarnation]

    def _need(self, request: SelectionInput) -> _Need:
        if request is not self._last_request:
            self._last_request, self._last_need = request, _need_of(request)
        return self._last_need


def expected_output_tokens(request: SelectionInput) -> int:
    """Return the tokens to reserve for what a request generates, 0 if nothing is known of it."""
    if request.expected_tokens is None:
        return request.output_tokens
    expected = math.ceil(OUTPUT_MARGIN * request.expected_tokens)
    return min(expected, request.output_tokens) if request.output_tokens else expected


def _need_of(request: SelectionInput) -> _Need:
    parts: list[_KeyedPart] = []
    key = named = 0
    for part in request.parts:
        key = hash((key, part.part_id, part.tokens))
        parts.append((key, part.tokens))
        named += part.tokens
    own = max(0, request.prompt_tokens - named) + expected_output_tokens(request)
    return _Need(tuple(parts), own, own + named)
