"""The choice of a replica for a request, its capacity, and the queue of its pool, without I/O.

Whether a replica has room is decided by capacity rules, how long a request would take there by cost
terms. Both are registries: a further reason is a function in a module of its own.
"""

from lagoonfold.placement import (  # noqa: F401, as they register rules and terms
    _affinity_term,
    _cold_rule,
    _pace_rules,
)
from lagoonfold.placement._candidates import Candidate, ReplicaKnowledge
from lagoonfold.placement._capacity_rules import capacity_rule, find_rejection
from lagoonfold.placement._cold_replicas import ColdReplicas
from lagoonfold.placement._cold_terms import ColdTerms, is_cold_time, read_cold_terms
from lagoonfold.placement._cost_terms import cost_term, cost_terms_s, estimate_cost_s
from lagoonfold.placement._fair_shares import FairShares
from lagoonfold.placement._hedge_room import is_clearly_free
from lagoonfold.placement._memory_tracker import MemoryClaim, MemoryTracker
from lagoonfold.placement._object_index import ObjectIndex
from lagoonfold.placement._owner_load import TIMER_S, OwnerLoad
from lagoonfold.placement._owner_trust import OwnerTrust
from lagoonfold.placement._pace_tracker import MAX_FIGURE, PaceTracker
from lagoonfold.placement._placement_queue import PlacementQueue
from lagoonfold.placement._placement_results import PlacementRefusal, PlacementShortage
from lagoonfold.placement._pool_duties import PoolDuties, PoolDuty
from lagoonfold.placement._program_admission import PlacementOrder, ProgramAdmission
from lagoonfold.placement._prompt_cache_index import PromptCacheIndex, PromptPart
from lagoonfold.placement._replica_limits import ReplicaLimits, parse_limit
from lagoonfold.placement._replica_pools import (
    ReplicaPool,
    pool_count,
    pool_of,
    pools_holding,
    rank_pools,
)
from lagoonfold.placement._replica_selection import ReplicaSelection, ReplicaSelector
from lagoonfold.placement._replica_tracker import ReplicaTracker
from lagoonfold.placement._return_times import ReturnTimes
from lagoonfold.placement._selection_input import SelectionInput
from lagoonfold.placement._work_ranking import WorkRanking

__all__ = [
    "MAX_FIGURE",
    "TIMER_S",
    "Candidate",
    "ColdReplicas",
    "ColdTerms",
    "FairShares",
    "MemoryClaim",
    "MemoryTracker",
    "ObjectIndex",
    "OwnerLoad",
    "OwnerTrust",
    "PaceTracker",
    "PlacementOrder",
    "PlacementQueue",
    "PlacementRefusal",
    "PlacementShortage",
    "PoolDuties",
    "PoolDuty",
    "ProgramAdmission",
    "PromptCacheIndex",
    "PromptPart",
    "ReplicaKnowledge",
    "ReplicaLimits",
    "ReplicaPool",
    "ReplicaSelection",
    "ReplicaSelector",
    "ReplicaTracker",
    "ReturnTimes",
    "SelectionInput",
    "WorkRanking",
    "capacity_rule",
    "cost_term",
    "cost_terms_s",
    "estimate_cost_s",
    "find_rejection",
    "is_clearly_free",
    "is_cold_time",
    "parse_limit",
    "pool_count",
    "pool_of",
    "pools_holding",
    "rank_pools",
    "read_cold_terms",
]
