"""The capacity rule of cold replicas."""

from lagoonfold.placement._candidates import Candidate
from lagoonfold.placement._capacity_rules import capacity_rule


@capacity_rule("cold", applies=lambda knowledge, request: knowledge.cold.has_terms)
def _may_place_while_cold(candidate: Candidate) -> bool:
    """Return whether a cold replica may get a request; the most costly ones need a full bucket."""
    cold, replica_id = candidate.knowledge.cold, candidate.replica.replica_id
    if not cold.has_room(replica_id, now_s=candidate.now_s):
        return False
    is_read = bool(candidate.request.parts) and not candidate.uncached_tokens
    if not candidate.min_cold_fill or is_read:
        return True
    return cold.fill(replica_id, now_s=candidate.now_s) >= candidate.min_cold_fill
