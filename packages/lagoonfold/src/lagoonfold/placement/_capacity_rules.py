"""Rules that say whether a replica has room for a request.

A replica gets a request only if every rule allows it. A rule is registered under the reason that
metrics and explanations give for a rejection.

    @capacity_rule("slots")
    def has_slot(candidate: Candidate) -> bool: ...
"""

from collections.abc import Callable

from lagoonfold.placement._candidates import Candidate

MAX_REQUESTS_PER_SLOT = 1.25  # a short queue keeps slots busy between two requests

CapacityRule = Callable[[Candidate], bool]

_RULES_BY_REASON: dict[str, CapacityRule] = {}


def capacity_rule(reason: str) -> Callable[[CapacityRule], CapacityRule]:
    """Register a rule that returns whether a replica has room."""

    def register(rule: CapacityRule) -> CapacityRule:
        assert reason not in _RULES_BY_REASON, reason
        _RULES_BY_REASON[reason] = rule
        return rule

    return register


def find_rejection(candidate: Candidate) -> str | None:
    """Return the reason of the first rule that rejects a replica, None if it has room."""
    for reason, has_room in _RULES_BY_REASON.items():
        if not has_room(candidate):
            return reason
    return None


@capacity_rule("ejected")
def _is_not_ejected(candidate: Candidate) -> bool:
    tracker = candidate.knowledge.tracker
    return not tracker.is_ejected(candidate.replica.replica_id, now_s=candidate.now_s)


@capacity_rule("slots")
def _has_slot(candidate: Candidate) -> bool:
    return candidate.requests < candidate.replica.slots * MAX_REQUESTS_PER_SLOT


@capacity_rule("limit")
def _is_within_limit(candidate: Candidate) -> bool:
    limits, replica_id = candidate.knowledge.limits, candidate.replica.replica_id
    if not limits.has_room(replica_id, now_s=candidate.now_s):
        return False
    min_fill = candidate.min_limit_fill
    return not min_fill or limits.fill(replica_id, now_s=candidate.now_s) >= min_fill
