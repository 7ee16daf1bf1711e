"""Lowers the priority of requests whose programs have missed their soft deadline.

In a burst that a service cannot serve in time, ordering by earliest soft deadline alone would serve
late programs before all others, which would then miss their own soft deadlines in turn.
"""

LATE_RANK_PENALTY = 100  # exceeds every rank that operators use
URGENCY_OF_RANK_0 = 3  # 0 is the most urgent; the engines' usual urgency is 5
LATE_URGENCY_PENALTY = 3  # puts late turns behind those of ranks 0 to 2 that are in time
LEAST_URGENT = 9  # end of the engines' scale


def queue_rank(rank: int, *, soft_deadline_s: float, now_s: float) -> int:
    """Return a request's rank in the wait queue of its service.

    `soft_deadline_s` is that of its program, on the same clock as `now_s`.
    """
    return rank + LATE_RANK_PENALTY if now_s >= soft_deadline_s else rank


def engine_urgency(rank: int, *, soft_deadline_s: float, now_s: float) -> int:
    """Return the urgency at which an engine admits a turn, from 0 to `LEAST_URGENT`."""
    penalty = LATE_URGENCY_PENALTY if now_s >= soft_deadline_s else 0
    return min(LEAST_URGENT, URGENCY_OF_RANK_0 + rank + penalty)
