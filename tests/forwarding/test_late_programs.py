"""Requests of late programs give way to those that can still be in time."""

from lagoonfold.forwarding import WaitQueue, engine_urgency, queue_rank
from tests._suite import load_functions

SERVED_PER_S = 10
ARRIVING_PER_S = 15
OBJECTIVE_S = 1.0
SECONDS = 20


def _count_in_time(*, late_go_back: bool) -> int:
    """Play a service that serves fewer requests than arrive; return those served in time."""
    line: WaitQueue[int] = WaitQueue()
    soft_deadline_s_by_number: dict[int, float] = {}
    in_time = 0
    steps_per_s = SERVED_PER_S * ARRIVING_PER_S
    for step in range(SECONDS * steps_per_s):
        now_s = step / steps_per_s
        if step % SERVED_PER_S == 0:
            soft_deadline_s_by_number[step] = now_s + OBJECTIVE_S
            line.enqueue(
                step, rank=0, tie_break=now_s + OBJECTIVE_S, wait_until_s=now_s + 4.0, now_s=now_s
            )
        if step % ARRIVING_PER_S == 0 and len(line):
            if late_go_back:
                _move_late(line, soft_deadline_s_by_number, now_s)
            served = line.head()
            assert served is not None
            line.remove(served)
            line.record_freed(now_s=now_s)
            in_time += now_s <= soft_deadline_s_by_number[served]
    return in_time


def _move_late(
    line: WaitQueue[int], soft_deadline_s_by_number: dict[int, float], now_s: float
) -> None:
    for number in line.items():
        line.change_rank(
            number,
            rank=queue_rank(0, soft_deadline_s=soft_deadline_s_by_number[number], now_s=now_s),
        )


def test_overloaded_service_keeps_serving_in_time() -> None:
    """Load: half as much again as the service can do, for twenty seconds."""
    plain = _count_in_time(late_go_back=False)
    better = _count_in_time(late_go_back=True)
    assert plain < 0.3 * SERVED_PER_S * SECONDS
    assert better > 0.9 * SERVED_PER_S * SECONDS


def test_late_requests_stand_behind_every_usual_rank() -> None:
    """The most urgent request of a late program goes behind the least urgent one in time."""
    late = queue_rank(0, soft_deadline_s=5.0, now_s=5.0)
    assert late > queue_rank(9, soft_deadline_s=5.0, now_s=4.9)
    assert engine_urgency(0, soft_deadline_s=5.0, now_s=5.0) > engine_urgency(
        2, soft_deadline_s=5.0, now_s=4.9
    )
    assert engine_urgency(50, soft_deadline_s=5.0, now_s=6.0) == 9


load_tests = load_functions(globals())
