"""The rule that keeps the requests at a replica within its memory.

It is registered after the others, so that a replica that it rejects lacks memory only.
"""

from lagoonfold.placement._candidates import Candidate
from lagoonfold.placement._capacity_rules import capacity_rule

MEMORY = "memory"


@capacity_rule(MEMORY, applies=lambda knowledge, request: knowledge.memory.has_capacities)
def _fits_memory(candidate: Candidate) -> bool:
    return candidate.knowledge.memory.has_room(candidate.replica, candidate.request)
