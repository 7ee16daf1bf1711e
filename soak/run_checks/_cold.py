"""A cold replica gets at most 27 x 1.5 + 5 requests in any second, from all gateways together."""

from collections import defaultdict

from soak.run_checks._evidence import Arrival, Evidence
from soak.run_checks._registry import run_check

WINDOW_S = 1.0
COLD_PER_S = 27.0  # of the services' configuration
OVERSHOOT = 1.5
SLACK_REQUESTS = 5
MOST_PER_WINDOW = COLD_PER_S * OVERSHOOT * WINDOW_S + SLACK_REQUESTS


@run_check("cold", is_timed=True)
def find_cold_excesses(evidence: Evidence) -> list[str]:
    """Return the starts of replicas at which a cold one got too many requests, and how many.

    Requests that reach the replicas' process while its loop stands still are all received
    afterwards, so windows with a stall are left out.
    """
    arrivals_by_start: defaultdict[tuple[str, int], list[Arrival]] = defaultdict(list)
    for arrival in evidence.checked_arrivals:
        if arrival.is_cold:
            arrivals_by_start[arrival.replica, arrival.started].append(arrival)
    faults = []
    for (replica, _), arrivals in arrivals_by_start.items():
        most, end_s = max(_count_windows(evidence, arrivals))
        if most > MOST_PER_WINDOW:
            faults.append(
                f"{replica} got {most} requests while cold in the {WINDOW_S:g} s before"
                f" {end_s - evidence.began_s:.3f}, {MOST_PER_WINDOW:g} allowed"
            )
    return faults


def _count_windows(evidence: Evidence, arrivals: list[Arrival]) -> list[tuple[int, float]]:
    """Return the number of requests within each window that ends at an arrival."""
    counts = []
    for last in arrivals:
        begin_s = last.at_s - WINDOW_S
        has_stall = any(
            stall.begun_s < last.at_s and stall.ended_s > begin_s for stall in evidence.stalls
        )
        count = sum(begin_s < each.at_s <= last.at_s for each in arrivals)
        counts.append((0 if has_stall else count, last.at_s))
    return counts
