"""The rule for hedges: a second attempt of a request goes to a clearly free replica only.

A hedge that waits at its replica, or takes the last slot before a first attempt, costs others more
than it saves its caller. Slow replicas are left to the cost: the slowdown of one whose answers take
a few milliseconds is mostly noise, and a bound of 2 on it refused hedges at sound replicas.
"""

from lagoonfold.placement._candidates import Candidate
from lagoonfold.placement._capacity_rules import capacity_rule

SPARE_SLOTS = 1  # left for first attempts


def is_clearly_free(requests: int, slots: int) -> bool:
    """Return whether a replica with so many requests has a slot for a hedge and one to spare."""
    return requests == 0 or requests + 1 + SPARE_SLOTS <= slots


@capacity_rule("hedge", applies=lambda knowledge, request: request.is_hedge)
def has_room_for_hedge(candidate: Candidate) -> bool:
    """Return whether a replica may get the request, which is so for one that is no hedge."""
    if not candidate.request.is_hedge:
        return True
    replica, limits = candidate.replica, candidate.knowledge.limits
    is_limited = limits.limit_per_s(replica.replica_id) is not None
    is_cold = candidate.knowledge.cold.is_cold(replica.replica_id, now_s=candidate.now_s)
    is_bounded = is_limited or is_cold
    return not is_bounded and is_clearly_free(candidate.requests, replica.slots)
