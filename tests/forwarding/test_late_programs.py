"""Tests of the lower priority of requests whose programs are past their soft deadline."""

from lagoonfold.forwarding import WaitQueue, engine_urgency, queue_rank
from tests._suite import load_functions

SERVED_PER_S = 10
ARRIVING_PER_S = 15
SOFT_DEADLINE_AFTER_S = 1.0
DURATION_S = 20


def _count_served_in_time(*, demote_late: bool) -> int:
    """Simulate an overloaded service; return how many requests were served in time."""
    queue: WaitQueue[int] = WaitQueue()
    soft_deadline_s_by_number: dict[int, float] = {}
    in_time = 0
    steps_per_s = SERVED_PER_S * ARRIVING_PER_S
    for step in range(DURATION_S * steps_per_s):
        now_s = step / steps_per_s
        if step % SERVED_PER_S == 0:
            soft_deadline_s_by_number[step] = now_s + SOFT_DEADLINE_AFTER_S
            queue.enqueue(
                step,
                rank=0,
                tie_break=now_s + SOFT_DEADLINE_AFTER_S,
                wait_until_s=now_s + 4.0,
                now_s=now_s,
            )
        if step % ARRIVING_PER_S == 0 and len(queue):
            if demote_late:
                _demote_late(queue, soft_deadline_s_by_number, now_s)
            served = queue.head()
            assert served is not None
            queue.remove(served)
            queue.record_freed(now_s=now_s)
            in_time += now_s <= soft_deadline_s_by_number[served]
    return in_time


def _demote_late(
    queue: WaitQueue[int], soft_deadline_s_by_number: dict[int, float], now_s: float
) -> None:
    for number in queue.items():
        queue.change_rank(
            number,
            rank=queue_rank(0, soft_deadline_s=soft_deadline_s_by_number[number], now_s=now_s),
        )


def test_demotion_of_late_requests_keeps_others_in_time() -> None:
    """At 1.5 times a service's capacity, deadline order alone makes most requests late."""
    without_demotion = _count_served_in_time(demote_late=False)
    with_demotion = _count_served_in_time(demote_late=True)
    assert without_demotion < 0.3 * SERVED_PER_S * DURATION_S
    assert with_demotion > 0.9 * SERVED_PER_S * DURATION_S


def test_late_requests_rank_behind_all_others() -> None:
    """A late request of rank 0 is served after requests in time, whatever their rank."""
    late = queue_rank(0, soft_deadline_s=5.0, now_s=5.0)
    assert late > queue_rank(9, soft_deadline_s=5.0, now_s=4.9)
    assert engine_urgency(0, soft_deadline_s=5.0, now_s=5.0) > engine_urgency(
        2, soft_deadline_s=5.0, now_s=4.9
    )
    assert engine_urgency(50, soft_deadline_s=5.0, now_s=6.0) == 9


load_tests = load_functions(globals())
