"""Loads of replicas that lose answers, and of a service that turns slow as a whole."""

import random

from lagoonfold.forwarding import OverdueHeads
from tests._suite import load_functions

DEADLINE_S = 1.2
LOST_SHARE = 0.05
REQUESTS = 4_000


def _serve(*, repeats: bool, lost_share: float, slow_from: int = REQUESTS) -> tuple[int, int]:
    """Send requests; return how many got no answer in time, and how many were sent once more."""
    rng, overdue = random.Random(24), OverdueHeads()
    unanswered = repeated = 0
    for number in range(REQUESTS):
        factor = 20.0 if number >= slow_from else 1.0

        def head_s(factor: float = factor) -> float | None:
            return (
                None if rng.random() < lost_share else 0.026 * rng.lognormvariate(0, 0.7) * factor
            )

        limit_s = overdue.limit_s("lookup") if repeats else None
        first_s = head_s()
        took_s = first_s
        if limit_s is not None and (first_s is None or first_s > limit_s):
            overdue.record_overdue()
            repeated += 1
            second_s = head_s()
            took_s = None if second_s is None else limit_s + second_s
        if took_s is None or took_s > DEADLINE_S:
            unanswered += 1
        else:
            overdue.record_head("lookup", took_s if took_s == first_s else second_s)
    return unanswered, repeated


def test_callers_of_replicas_that_lose_answers_are_answered_in_time() -> None:
    """Of one in twenty that got no answer, one in twenty is left."""
    without, _ = _serve(repeats=False, lost_share=LOST_SHARE)
    with_repeats, repeated = _serve(repeats=True, lost_share=LOST_SHARE)
    assert without > 0.04 * REQUESTS, without
    assert with_repeats < 0.01 * REQUESTS, with_repeats
    assert repeated < 0.08 * REQUESTS, repeated


def test_service_that_turns_slow_gets_few_requests_more() -> None:
    """Its heads are not overdue for long, and until then a tenth at most is sent once more."""
    _, repeated = _serve(repeats=True, lost_share=0.0, slow_from=1_000)
    assert repeated < 60, repeated


def test_heads_of_an_unknown_route_and_usual_ones_are_not_overdue() -> None:
    """Before some heads nothing is known; then the limit is far above what they take."""
    overdue = OverdueHeads()
    assert overdue.limit_s("turns") is None
    for number in range(100):
        overdue.record_head("turns", 0.1 + 0.001 * (number % 10))
    limit_s = overdue.limit_s("turns")
    assert limit_s is not None and 0.2 < limit_s < 0.4, limit_s
    assert overdue.limit_s("other") is None


load_tests = load_functions(globals())
