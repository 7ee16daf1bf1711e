"""Explains the replicas of one pool, and what the pool's queue would decide.

All figures come from snapshots, so that looking at them changes nothing.
"""

import math

from result import Err

from lagoonfold.explanations import Decision, Outcome, ReplicaExplanation
from lagoonfold.forwarding import Replica
from lagoonfold.placement import (
    Candidate,
    PlacementOrder,
    ReplicaKnowledge,
    ReplicaPool,
    ReplicaSelector,
    SelectionInput,
    cost_terms_s,
    find_rejection,
)
from lagoonfold_gateway.placing._dispatch import Dispatcher, WaitingPlacement


def explain_replicas(
    selector: ReplicaSelector,
    replicas: list[Replica],
    evacuated: list[Replica],
    request: SelectionInput,
    *,
    now_s: float,
) -> tuple[ReplicaExplanation, ...]:
    """Return the replicas of a pool, those that may be selected first, by cost."""
    candidates = selector.candidates(replicas, request, now_s=now_s)
    explained = [_explain_candidate(candidate) for candidate in candidates]
    explained.sort(key=lambda each: (each.rejected_by is not None, each.cost_s))
    away = [
        ReplicaExplanation(
            replica_id=replica.replica_id,
            failure_domain=replica.failure_domain,
            slots=replica.slots,
            is_evacuated=True,
        )
        for replica in evacuated
    ]
    return (*explained, *away)


def decide(
    dispatcher: Dispatcher,
    pool: ReplicaPool,
    request: SelectionInput,
    order: PlacementOrder,
    *,
    now_s: float,
) -> Decision:
    """Return what the pool's queue, as this instance has it, would decide of a request now."""
    _, queue = dispatcher.snapshot(pool)
    replicas = dispatcher.replicas_of(pool)
    before, wait_s = queue.outlook(request, order, replicas, now_s=now_s)
    placed = queue.place(WaitingPlacement(pool), request, order, replicas, now_s=now_s)
    if isinstance(placed, Err):
        retry_after_s = placed.err_value.retry_after_s
        return Decision(
            outcome=Outcome.REJECTED, before=before, wait_s=wait_s, retry_after_s=retry_after_s
        )
    selection = placed.ok_value
    if selection is None:
        return Decision(outcome=Outcome.QUEUED, before=before, wait_s=wait_s)
    return Decision(outcome=Outcome.SERVED, replica_id=selection.replica.replica_id, wait_s=0.0)


def _explain_candidate(candidate: Candidate) -> ReplicaExplanation:
    replica, knowledge, now_s = candidate.replica, candidate.knowledge, candidate.now_s
    replica_id = replica.replica_id
    terms_s = cost_terms_s(candidate)
    cold_left_s = knowledge.cold.until_s(replica_id) - now_s
    return ReplicaExplanation(
        replica_id=replica_id,
        failure_domain=replica.failure_domain,
        slots=replica.slots,
        requests=candidate.requests,
        uncached_tokens=candidate.uncached_tokens,
        cost_s=sum(terms_s.values()),
        cost_terms_s=terms_s,
        rejected_by=find_rejection(candidate),
        is_ejected=knowledge.tracker.is_ejected(replica_id, now_s=now_s),
        cold_left_s=cold_left_s if 0 < cold_left_s < math.inf else None,
        limit_per_s=knowledge.limits.limit_per_s(replica_id),
        age_s_by_figure=_ages_s(replica, knowledge, now_s),
    )


def _ages_s(replica: Replica, knowledge: ReplicaKnowledge, now_s: float) -> dict[str, float]:
    """Return how old the data behind the figures of a replica is, where that is known."""
    ages_s = knowledge.tracker.ages_s(replica.replica_id, now_s=now_s)
    limit_s = knowledge.limits.named_age_s(replica.replica_id, now_s=now_s)
    pace_s = knowledge.pace.told_age_s(replica, now_s=now_s)
    if limit_s is not None:
        ages_s["limit"] = limit_s
    if pace_s is not None:
        ages_s["pace"] = pace_s
    return ages_s
