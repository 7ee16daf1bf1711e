"""Which replica a request goes to.

Each candidate has a cost in seconds: the usual time of the route times the replica's pace, more
where it has to wait for a slot, and the time to read the part of the prompt that is not cached
there. The cheapest one is taken. A replica has room while it has fewer requests than
`ROOM_PER_SLOT` times its slots; with no room anywhere the request waits in the instance, where it
can be overtaken by a more urgent one.

A program's turns arrive at several instances, and an instance knows only what it has forwarded
itself. Where it knows of no replica that has read a session's prompt, it takes the session's home
replica to have it, which all instances choose alike by rendezvous hashing.
"""

import random
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from lagoonfold._rendezvous import rendezvous_weight
from lagoonfold.forwarding._replica_tracker import ReplicaTracker
from lagoonfold.forwarding._replicas import Replica

ROOM_PER_SLOT = 1.25  # a short queue at the replica hides the time between two requests
PREFILL_TOKENS_PER_S = 120_000.0  # lower of the rates in the sheets; errs towards cached replicas
SHARING_COST = 0.3  # slowdown of a request in a full batch, as a share of its usual time
FAR_COST_S = 0.002  # two ways between failure domains
CHOICE_NOISE = 0.05  # keeps instances with the same picture from choosing the same replica
HOME_TOKENS = 400  # what a new session's home is preferred by: 3 ms, less than one request's cost
SESSION_PART = 1  # the first part that is not shared by all sessions of a route
MAX_REMEMBERED_PARTS = 4_096  # about a minute of prompts of one instance


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt: its id and its length in tokens."""

    part_id: str
    tokens: int


class PromptCacheIndex:
    """Which replica has last read which part of a prompt, by this instance's own requests."""

    def __init__(self) -> None:
        self._replicas_by_part: OrderedDict[str, dict[str, int]] = OrderedDict()

    def record(self, replica_id: str, started: int, parts: Iterable[PromptPart]) -> None:
        """Remember that a replica has read these parts since its start."""
        for part in parts:
            holders = self._replicas_by_part.setdefault(part.part_id, {})
            holders[replica_id] = started
            self._replicas_by_part.move_to_end(part.part_id)
        while len(self._replicas_by_part) > MAX_REMEMBERED_PARTS:
            self._replicas_by_part.popitem(last=False)

    def knows(self, part: PromptPart) -> bool:
        """Tell whether this instance has forwarded a request with that part."""
        return part.part_id in self._replicas_by_part

    def uncached_tokens(self, replica: Replica, parts: Iterable[PromptPart]) -> int:
        """Return the tokens behind the first part that the replica has not read."""
        missing = 0
        for part in parts:
            holders = self._replicas_by_part.get(part.part_id, {})
            if missing or holders.get(replica.replica_id) != replica.started:
                missing += part.tokens
        return missing


@dataclass(frozen=True, slots=True, kw_only=True)
class SelectionInput:
    """What the choice depends on: the usual time of the route, and the prompt if there is one."""

    typical_latency_s: float
    parts: tuple[PromptPart, ...] = ()
    excluded: Collection[str] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaSelection:
    """The chosen replica with the figures that decided."""

    replica: Replica
    cost_s: float
    requests: int
    slowdown: float
    uncached_tokens: int


class ReplicaSelector:
    """Chooses replicas for one instance."""

    def __init__(
        self, loads: ReplicaTracker, memory: PromptCacheIndex, own_domain: str, rng: random.Random
    ) -> None:
        self._loads = loads
        self._memory = memory
        self._own_domain = own_domain
        self._rng = rng

    def choose(
        self, replicas: Iterable[Replica], request: SelectionInput, *, now_s: float
    ) -> ReplicaSelection | None:
        """Return the cheapest replica with room, None where there is none."""
        best: ReplicaSelection | None = None
        replicas = tuple(replicas)
        home = self._home(replicas, request.parts)
        for replica in replicas:
            if replica.replica_id in request.excluded or not self._has_room(replica, now_s):
                continue
            placement = self._weigh(replica, request, now_s, is_home=replica.replica_id == home)
            if best is None or placement.cost_s < best.cost_s:
                best = placement
        return best

    def _home(self, replicas: tuple[Replica, ...], parts: tuple[PromptPart, ...]) -> str | None:
        """Return the home of a session that this instance has not seen yet."""
        if not replicas or len(parts) <= SESSION_PART or self._memory.knows(parts[SESSION_PART]):
            return None
        session = parts[SESSION_PART].part_id
        ids = (replica.replica_id for replica in replicas)
        return max(ids, key=lambda replica_id: rendezvous_weight(session, replica_id))

    def _uncached(self, replica: Replica, parts: tuple[PromptPart, ...], *, is_home: bool) -> int:
        """Return the tokens of a prompt that a replica probably has to read."""
        uncached = self._memory.uncached_tokens(replica, parts)
        if not is_home:
            return uncached
        has_begun = len(parts) > SESSION_PART + 1
        return parts[-1].tokens if has_begun else max(0, uncached - HOME_TOKENS)

    def _has_room(self, replica: Replica, now_s: float) -> bool:
        if self._loads.is_ejected(replica.replica_id, now_s=now_s):
            return False
        requests = self._loads.requests_at(replica.replica_id, now_s=now_s)
        return requests < replica.slots * ROOM_PER_SLOT

    def _weigh(
        self, replica: Replica, request: SelectionInput, now_s: float, *, is_home: bool
    ) -> ReplicaSelection:
        requests = self._loads.requests_at(replica.replica_id, now_s=now_s)
        slowdown = self._loads.slowdown(replica.replica_id, now_s=now_s)
        uncached = self._uncached(replica, request.parts, is_home=is_home)
        share = requests / max(1, replica.slots)
        queued = max(0.0, requests + 1 - replica.slots) / max(1, replica.slots)
        cost_s = (
            request.typical_latency_s * slowdown * (1 + SHARING_COST * min(1.0, share) + queued)
        )
        cost_s += uncached / PREFILL_TOKENS_PER_S
        cost_s += 0.0 if replica.failure_domain == self._own_domain else FAR_COST_S
        cost_s *= 1 + CHOICE_NOISE * self._rng.random()
        return ReplicaSelection(
            replica=replica,
            cost_s=cost_s,
            requests=requests,
            slowdown=slowdown,
            uncached_tokens=uncached,
        )
