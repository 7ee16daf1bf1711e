"""The cost term that favours the replica that has handled a request's object lately.

It is less than what one more request at a replica costs, and than some hundred tokens of prompt
that are not cached: load and cached prompts come first.
"""

from lagoonfold.placement._candidates import Candidate
from lagoonfold.placement._cost_terms import cost_term

MISS_SHARE = 0.035  # of the typical latency; one more request costs 0.0375 of it with eight slots
MAX_MISS_S = 0.005  # what 600 tokens of prompt cost that are not cached


@cost_term("affinity", applies=lambda knowledge, request: request.affinity is not None)
def _affinity_s(candidate: Candidate) -> float:
    key = candidate.request.affinity
    if key is None:
        return 0.0
    objects = candidate.knowledge.objects
    if objects.is_recent(key, candidate.replica, now_s=candidate.now_s):
        return 0.0
    return min(MAX_MISS_S, MISS_SHARE * candidate.request.typical_latency_s)
