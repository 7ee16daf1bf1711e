"""A client account gets at most (rate x 5 s + burst) x 1.1 + 20 requests in any 5 s."""

from collections import defaultdict
from itertools import pairwise

from soak.run_checks._evidence import AccountLimit, Evidence
from soak.run_checks._registry import run_check

WINDOW_S = 5.0
OVERSHOOT = 1.1
SLACK_REQUESTS = 20
# A new limit applies within 2.0 s, and a gateway may be suspended for up to 2.5 s meanwhile.
APPLY_S = 5.0


@run_check("rate", is_timed=False)
def find_exceeded_rates(evidence: Evidence) -> list[str]:
    """Return the client accounts that got more than their limit allows, with the worst window.

    Counts the requests that were both sent by the caller and received by a replica within the
    window, as they must have been admitted in it. A request that several replicas received counts
    once.
    """
    faults = []
    for account, times in _times_by_account(evidence).items():
        limits = [each for each in evidence.limits if each.account == account]
        excesses = [
            (count - bound, count, bound, end_s)
            for end_s, count in _count_windows(times)
            if count > (bound := _bound(limits, end_s))
        ]
        if excesses:
            _, count, bound, end_s = max(excesses)
            faults.append(
                f"{account} got {count} requests in the {WINDOW_S:g} s before"
                f" {end_s - evidence.began_s:.3f}, {bound:.0f} allowed"
            )
    return faults


def _times_by_account(evidence: Evidence) -> dict[str, list[tuple[float, float]]]:
    """Return when each request that replicas received was sent and first received."""
    received_s_by_attempt: dict[str, float] = {}
    for arrival in evidence.checked_arrivals:
        received_s_by_attempt.setdefault(arrival.attempt, arrival.at_s)
    times_by_account: defaultdict[str, list[tuple[float, float]]] = defaultdict(list)
    for attempt, received_s in received_s_by_attempt.items():
        if sent := evidence.try_by_attempt.get(attempt):
            times_by_account[sent.account].append((sent.sent_s, received_s))
    return times_by_account


def _count_windows(times: list[tuple[float, float]]) -> list[tuple[float, int]]:
    """Return the number of requests within each window that ends when one is received."""
    return [
        (end_s, sum(end_s - WINDOW_S <= sent_s and at_s <= end_s for sent_s, at_s in times))
        for _, end_s in times
    ]


def _bound(limits: list[AccountLimit], end_s: float) -> float:
    """Return the number allowed by the most generous limit that may apply within a window."""
    begin_s = end_s - WINDOW_S - APPLY_S
    ends_s = [after.since_s for _, after in pairwise(limits)] + [end_s]
    return max(
        (limit.rate_per_s * WINDOW_S + limit.burst) * OVERSHOOT + SLACK_REQUESTS
        for limit, until_s in zip(limits, ends_s, strict=True)
        if limit.since_s <= end_s and until_s >= begin_s
    )
