"""A non-idempotent request runs at most once, and not at all if its answer guarantees that."""

from collections import defaultdict

from soak.run_checks._evidence import Evidence
from soak.run_checks._registry import run_check

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@run_check("runs once", is_timed=False)
def find_repeated_runs(evidence: Evidence) -> list[str]:
    """Return the non-idempotent requests that replicas received too often."""
    replicas_by_attempt: defaultdict[str, list[str]] = defaultdict(list)
    for arrival in evidence.checked_arrivals:
        if arrival.attempt in evidence.once_attempts:
            replicas_by_attempt[arrival.attempt].append(arrival.replica)
    faults = []
    for attempt, replicas in replicas_by_attempt.items():
        if len(replicas) > 1:
            faults.append(f"{attempt} ran at {', '.join(replicas)}")
        status = evidence.try_by_attempt[attempt].status
        if status in NOT_RUN_STATUSES:
            faults.append(f"{attempt} ran at {replicas[0]} but was answered with {status}")
    return faults
