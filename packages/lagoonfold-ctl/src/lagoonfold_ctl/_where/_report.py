"""The text that `lagoonfold where` prints for people."""

from collections.abc import Sequence

from lagoonfold.explanations import (
    AccountExplanation,
    Decision,
    Explanation,
    Outcome,
    PoolExplanation,
    ReplicaExplanation,
    Verdict,
)
from lagoonfold_ctl._render import render_fields, render_table
from lagoonfold_ctl._where._query import InstanceAnswer

_MS_PER_S = 1_000


def instance_rows(answers: Sequence[InstanceAnswer]) -> list[dict[str, object]]:
    """Return a row for each address: who answers, and by which version of the configuration."""
    rows: list[dict[str, object]] = []
    for each in answers:
        told = each.explanation
        rows.append(
            {
                "address": each.address,
                "instance": told.instance if told is not None else None,
                "answer": each.answer,
                "config": told.config_version if told is not None else None,
                "config_age": _age(told.config_age_s) if told is not None else None,
                "members": told.members if told is not None else None,
            }
        )
    return rows


def describe(answers: Sequence[InstanceAnswer], explanation: Explanation) -> str:
    """Return the whole report: instances, route, client account, pools and the verdict."""
    blocks = [render_table(instance_rows(answers))]
    route = explanation.route
    if route is not None:
        blocks.append(
            f"route {route.name} (prefix {route.prefix}) -> service {route.service}, at most "
            f"{route.timeout_s:g} s, by configuration {explanation.config_version}"
        )
    if explanation.account is not None:
        blocks.append(_account(explanation.account))
    blocks.extend(_pool(pool, position) for position, pool in enumerate(explanation.pools, start=1))
    if explanation.verdict is not None:
        blocks.append(_verdict(explanation.verdict))
    return "\n\n".join(blocks)


def _account(account: AccountExplanation) -> str:
    if account.rate_per_s is None:
        return f"client account {account.name}: its rate is not limited"
    title = (
        f"client account {account.name}: {account.rate_per_s:g} a second, burst "
        f"{account.burst:g}, owner {account.owner}"
    )
    if not account.is_owned:
        return f"{title}\n  owner {account.owner} was not asked"
    figures = f"{account.tokens:.1f} tokens left, {account.reserved:.1f} of them reserved"
    return f"{title}\n  {figures}, {account.waiting} calls wait{_decided(account.decision)}"


def _pool(pool: PoolExplanation, position: int) -> str:
    title = f"pool {pool.subject} (asked as number {position}), owner {pool.owner}"
    if pool.decision is None:
        return f"{title}: not looked at"
    title += f", {pool.waiting} requests wait{_decided(pool.decision)}"
    if not pool.is_owned:
        title += f"\n  owner {pool.owner} was not asked; this is what another instance knows"
    return f"{title}\n{render_table([_row(replica) for replica in pool.replicas])}"


def _row(replica: ReplicaExplanation) -> dict[str, object]:
    terms = " ".join(
        f"{name}={_ms(seconds)}" for name, seconds in replica.cost_terms_s.items() if seconds
    )
    ages = " ".join(f"{name}={_age(age)}" for name, age in replica.age_s_by_figure.items())
    return {
        "replica": replica.replica_id,
        "domain": replica.failure_domain,
        "requests": None if replica.requests is None else f"{replica.requests}/{replica.slots}",
        "cost_ms": _ms(replica.cost_s),
        "by_term_ms": terms,
        "rejected_by": replica.rejected_by,
        "state": ",".join(_states(replica)),
        "ages": ages,
    }


def _states(replica: ReplicaExplanation) -> list[str]:
    states = []
    if replica.is_evacuated:
        states.append("evacuated")
    if replica.is_ejected:
        states.append("ejected")
    if replica.cold_left_s is not None:
        states.append(f"cold for {replica.cold_left_s:.1f}s")
    if replica.limit_per_s is not None:
        states.append(f"limited to {replica.limit_per_s:g}/s")
    return states


def _decided(decision: Decision | None) -> str:
    if decision is None or decision.outcome is Outcome.SERVED:
        return ""
    if decision.outcome is Outcome.REJECTED:
        return f"; rejected, to come back after {_seconds(decision.retry_after_s)}"
    return f"; waits behind {decision.before}, for {_seconds(decision.wait_s)}"


def _verdict(verdict: Verdict) -> str:
    fields: dict[str, object] = {"outcome": verdict.outcome.value, "detail": verdict.detail}
    fields["status"] = verdict.status if verdict.status is not None else "the replica's"
    if verdict.outcome is Outcome.QUEUED:
        fields["expected_wait"] = _seconds(verdict.wait_s)
    if verdict.retry_after_s is not None:
        fields["retry_after"] = _seconds(verdict.retry_after_s)
    if verdict.not_asked:
        fields["incomplete"] = ", ".join(
            f"owner {name} was not asked" for name in verdict.not_asked
        )
    return render_fields(fields)


def _seconds(seconds: float | None) -> str:
    return "an unknown time" if seconds is None else f"{seconds:.2f} s"


def _age(seconds: float | None) -> str | None:
    return None if seconds is None else f"{seconds:.1f}s"


def _ms(seconds: float | None) -> str | None:
    return None if seconds is None else f"{seconds * _MS_PER_S:.1f}"
