"""How requests of late programs give way to those that can still be in time.

The load that this answers: a burst that a service cannot serve in time. With the earliest objective
first, programs that have missed theirs would be served before all others, and those would miss
theirs in turn.
"""

LATE_RANKS = 100  # ranks that a late program's request goes back; more than operators use
URGENCY_OF_RANK_0 = 3  # 0 is the most urgent; the engines' usual urgency is 5
LATE_URGENCY_STEPS = 3  # behind requests in time of the ranks 0 to 2
LEAST_URGENT = 9  # the engines' scale ends there


def queue_rank(rank: int, *, soft_deadline_s: float, now_s: float) -> int:
    """Return a request's rank in its service's line.

    `soft_deadline_s` is its program's objective.
    """
    return rank + LATE_RANKS if now_s >= soft_deadline_s else rank


def engine_urgency(rank: int, *, soft_deadline_s: float, now_s: float) -> int:
    """Return the urgency under which an engine admits a turn, from 0 to `LEAST_URGENT`."""
    late_steps = LATE_URGENCY_STEPS if now_s >= soft_deadline_s else 0
    return min(LEAST_URGENT, URGENCY_OF_RANK_0 + rank + late_steps)
