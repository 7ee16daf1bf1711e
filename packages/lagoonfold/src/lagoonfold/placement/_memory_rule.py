"""The rule that keeps the requests at a replica within its memory."""

from lagoonfold.placement._candidates import Candidate
from lagoonfold.placement._capacity_rules import capacity_rule


@capacity_rule("memory")
def _fits_memory(candidate: Candidate) -> bool:
    return candidate.knowledge.memory.has_room(candidate.replica, candidate.request)
