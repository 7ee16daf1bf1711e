"""The effect of a replica's pace: on the cost of a request there, and on how many it gets at once.

A replica that tells no figure of its pace is chosen as if this module did not exist.
"""

from lagoonfold.placement._candidates import Candidate
from lagoonfold.placement._capacity_rules import MAX_REQUESTS_PER_SLOT, capacity_rule
from lagoonfold.placement._cost_terms import cost_term

# Up to this pace a replica gets as many requests as others, and beyond it fewer in proportion.
# Dividing by the whole pace would leave slots idle in overload.
CLEARLY_SLOW = 1.3
# The slowdown of the last seconds counts in place of the pace when it is so much higher: the
# replica has become slow in a way that its figures don't show. Noise alone rarely doubles it.
UNTOLD_SLOWNESS = 2.0


@cost_term("pace", applies=lambda knowledge, request: knowledge.pace.has_any)
def _pace_s(candidate: Candidate) -> float:
    """Return what the pace adds to the time of the request, or takes from it.

    It replaces the slowdown of the last seconds, which the service time contains.
    """
    pace, replica = candidate.knowledge.pace, candidate.replica
    if not pace.is_told(replica):
        return 0.0
    typical_s = candidate.request.typical_latency_s
    factor = pace.pace(replica, now_s=candidate.now_s, over_s=typical_s)
    if candidate.slowdown > UNTOLD_SLOWNESS * factor:
        return 0.0
    return typical_s * (factor - candidate.slowdown)


@capacity_rule("pace", applies=lambda knowledge, request: knowledge.pace.has_any)
def _is_within_pace(candidate: Candidate) -> bool:
    """Return whether a slow replica has fewer requests than its pace allows.

    At twice the usual time it gets two thirds as many at once, and always one.
    """
    pace, replica = candidate.knowledge.pace, candidate.replica
    if not candidate.requests or not pace.is_told(replica):
        return True
    factor = pace.pace(replica, now_s=candidate.now_s)
    if factor < CLEARLY_SLOW:
        return True
    share = CLEARLY_SLOW / factor
    return candidate.requests < max(1.0, replica.slots * MAX_REQUESTS_PER_SLOT * share)
