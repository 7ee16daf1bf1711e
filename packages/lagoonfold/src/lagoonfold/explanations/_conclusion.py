"""Combines what several instances say, and concludes what a request comes to."""

from collections.abc import Mapping, Sequence
from dataclasses import replace

from lagoonfold._errors import PROBLEM_TYPES_BY_KIND, ErrorKind
from lagoonfold.explanations._documents import (
    AccountExplanation,
    Decision,
    Explanation,
    Outcome,
    PoolExplanation,
    Verdict,
)

POOLS_ASKED_AT_ONCE = 2  # before a request waits at the first; see the placement client


def conclude(explanation: Explanation) -> Verdict:
    """Return what a request comes to by an explanation: the first step that rejects it, or none."""
    rejection, account = explanation.rejection, explanation.account
    if rejection is not None:
        return Verdict(
            outcome=Outcome.REJECTED,
            detail=f"{rejection.kind}: {rejection.detail}",
            status=rejection.status,
            retry_after_s=rejection.retry_after_s or None,
        )
    not_asked = _not_asked(account, explanation.pools)
    limited = account.decision if account is not None else None
    if limited is not None and limited.outcome is Outcome.REJECTED:
        detail = f"{ErrorKind.RATE_EXCEEDED.value}: the client account is over its rate"
        verdict = _rejected(ErrorKind.RATE_EXCEEDED, detail, limited)
    else:
        verdict = _place(explanation.pools, limited)
    return replace(verdict, not_asked=not_asked)


def combine(explanations: Sequence[Explanation]) -> Explanation:
    """Return the first explanation with all that has an owner as its owner tells it.

    An owner that is not among them leaves what the first instance knows.
    """
    first = explanations[0]
    by_instance = {each.instance: each for each in explanations}
    combined = replace(
        first,
        account=_owners_account(first.account, by_instance),
        pools=tuple(_owners_pool(pool, by_instance) for pool in first.pools),
    )
    return replace(combined, verdict=conclude(combined))


def _owners_account(
    account: AccountExplanation | None, by_instance: Mapping[str, Explanation]
) -> AccountExplanation | None:
    if account is None or account.owner is None:
        return account
    told = by_instance[account.owner].account if account.owner in by_instance else None
    is_same = told is not None and told.name == account.name and told.is_owned
    return told if is_same else account


def _owners_pool(pool: PoolExplanation, by_instance: Mapping[str, Explanation]) -> PoolExplanation:
    told = by_instance[pool.owner].pools if pool.owner in by_instance else ()
    owned = (each for each in told if each.subject == pool.subject and each.is_owned)
    return next(owned, pool)


def _not_asked(
    account: AccountExplanation | None, pools: Sequence[PoolExplanation]
) -> tuple[str, ...]:
    """Return the owners that decide and whose word is missing."""
    owners = [pool.owner for pool in pools[:POOLS_ASKED_AT_ONCE] if not pool.is_owned]
    if account is not None and account.owner is not None and not account.is_owned:
        owners.insert(0, account.owner)
    return tuple(dict.fromkeys(owners))


def _place(pools: Sequence[PoolExplanation], limited: Decision | None) -> Verdict:
    """Return what the pools make of a request that gets a token, at once or after a wait."""
    if len(pools) > 1:
        for pool in pools[:POOLS_ASKED_AT_ONCE]:
            if pool.at_once is not None and pool.at_once.outcome is Outcome.SERVED:
                return _served(pool.at_once, limited)
    decision = pools[0].decision if pools else None
    if decision is None:
        return Verdict(outcome=Outcome.REJECTED, detail="no pool of the service is known")
    if decision.outcome is Outcome.REJECTED:
        detail = f"{ErrorKind.QUEUE_FULL.value}: no replica has a slot in time"
        return _rejected(ErrorKind.QUEUE_FULL, detail, decision)
    if decision.outcome is Outcome.SERVED:
        return _served(decision, limited)
    return Verdict(
        outcome=Outcome.QUEUED,
        detail=f"waits in pool {pools[0].subject} behind {decision.before} requests",
        wait_s=_sum_s(decision.wait_s, limited),
    )


def _served(decision: Decision, limited: Decision | None) -> Verdict:
    if limited is not None and limited.outcome is Outcome.QUEUED:
        detail = f"waits for a token behind {limited.before} calls, then goes to a replica"
        return Verdict(
            outcome=Outcome.QUEUED,
            detail=detail,
            replica_id=decision.replica_id,
            wait_s=limited.wait_s,
        )
    detail = f"goes to replica {decision.replica_id}"
    return Verdict(outcome=Outcome.SERVED, detail=detail, replica_id=decision.replica_id)


def _rejected(kind: ErrorKind, detail: str, decision: Decision) -> Verdict:
    return Verdict(
        outcome=Outcome.REJECTED,
        detail=detail,
        status=PROBLEM_TYPES_BY_KIND[kind].status,
        retry_after_s=decision.retry_after_s,
    )


def _sum_s(wait_s: float | None, limited: Decision | None) -> float | None:
    """Return the time in the queue and that until a token; None if one of them is not known."""
    if limited is None or limited.outcome is not Outcome.QUEUED:
        return wait_s
    return None if wait_s is None or limited.wait_s is None else wait_s + limited.wait_s
