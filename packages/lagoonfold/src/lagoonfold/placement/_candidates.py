"""A replica that is considered for a request, and what is known of it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from lagoonfold.forwarding import Replica
from lagoonfold.placement._cold_replicas import ColdReplicas
from lagoonfold.placement._memory_tracker import MemoryTracker
from lagoonfold.placement._object_index import ObjectIndex
from lagoonfold.placement._pace_tracker import PaceTracker
from lagoonfold.placement._prompt_cache_index import PromptCacheIndex
from lagoonfold.placement._replica_limits import ReplicaLimits
from lagoonfold.placement._replica_tracker import ReplicaTracker
from lagoonfold.placement._selection_input import SelectionInput


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaKnowledge:
    """What this instance knows of all replicas, by subject."""

    tracker: ReplicaTracker
    prompt_index: PromptCacheIndex
    limits: ReplicaLimits
    cold: ColdReplicas
    objects: ObjectIndex
    memory: MemoryTracker = field(default_factory=MemoryTracker)
    pace: PaceTracker = field(default_factory=PaceTracker)


Condition = Callable[[ReplicaKnowledge, SelectionInput], bool]


def always(knowledge: ReplicaKnowledge, request: SelectionInput) -> bool:
    """Return true: the condition of what applies to all requests."""
    return True


# Not frozen: a search makes one for each replica, and a frozen one takes three times as long.
@dataclass(slots=True, kw_only=True)
class Candidate:
    """A replica that a request could be placed at.

    `requests` is the estimated number of requests there and `uncached_tokens` how much of the
    prompt it probably has to read. `min_limit_fill` is how much of a limit must be left for the
    request to use a limited replica, `min_cold_fill` how much of a burst to use a cold one.
    """

    replica: Replica
    request: SelectionInput
    knowledge: ReplicaKnowledge
    now_s: float
    requests: int
    slowdown: float
    uncached_tokens: int
    min_limit_fill: float = 0.0
    min_cold_fill: float = 0.0
