"""Rules that say whether a replica has room for a request.

A replica gets a request only if every rule allows it. A rule is registered under the reason that
metrics and explanations give for a rejection. A rule that is of no effect for most requests names
a condition, `applies`, which is looked at once for a whole search.

    @capacity_rule("slots")
    def has_slot(candidate: Candidate) -> bool: ...

    @capacity_rule("limit", applies=lambda knowledge, request: knowledge.limits.has_any)
    def is_within_limit(candidate: Candidate) -> bool: ...
"""

from collections.abc import Callable

from lagoonfold.placement._candidates import Candidate, Condition, ReplicaKnowledge, always
from lagoonfold.placement._selection_input import SelectionInput

MAX_REQUESTS_PER_SLOT = 1.25  # a short queue keeps slots busy between two requests

CapacityRule = Callable[[Candidate], bool]

_RULES_BY_REASON: dict[str, tuple[CapacityRule, Condition]] = {}


def capacity_rule(
    reason: str, *, applies: Condition = always
) -> Callable[[CapacityRule], CapacityRule]:
    """Register a rule that returns whether a replica has room, where it `applies`."""

    def register(rule: CapacityRule) -> CapacityRule:
        assert reason not in _RULES_BY_REASON, reason
        _RULES_BY_REASON[reason] = (rule, applies)
        return rule

    return register


def rules_for(
    knowledge: ReplicaKnowledge, request: SelectionInput
) -> tuple[tuple[str, CapacityRule], ...]:
    """Return the rules that may reject a replica for a request, with their reasons."""
    return tuple(
        (reason, rule)
        for reason, (rule, applies) in _RULES_BY_REASON.items()
        if applies(knowledge, request)
    )


def find_rejection(
    candidate: Candidate, rules: tuple[tuple[str, CapacityRule], ...] | None = None
) -> str | None:
    """Return the reason of the first rule that rejects a replica, None if it has room.

    `rules` are those of `rules_for`, for the many candidates of one search.
    """
    if rules is None:
        rules = rules_for(candidate.knowledge, candidate.request)
    for reason, has_room in rules:
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


@capacity_rule("limit", applies=lambda knowledge, request: knowledge.limits.has_any)
def _is_within_limit(candidate: Candidate) -> bool:
    limits, replica_id = candidate.knowledge.limits, candidate.replica.replica_id
    if not limits.has_room(replica_id, now_s=candidate.now_s):
        return False
    min_fill = candidate.min_limit_fill
    return not min_fill or limits.fill(replica_id, now_s=candidate.now_s) >= min_fill
