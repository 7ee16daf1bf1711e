"""Retry budgets of accounts and upstreams, and the counters of what was decided."""

import random

import trio
from result import Err, Result

from lagoonfold import AccountId
from lagoonfold.resilience import FailedAttempt, RetryBudget, RetryDelay, RetryStop, decide_retry
from lagoonfold_io.observe import Metrics
from lagoonfold_node._dispatch._table import UpstreamState


class Retries:
    """Decides on retries of failed tries.

    retries.credit_first_attempt(account_id, state)
    match retries.decide(failed, account_id, state): ...
    """

    def __init__(self, metrics: Metrics, rng: random.Random) -> None:
        self._metrics = metrics
        self._rng = rng
        self._budgets_by_account: dict[AccountId, RetryBudget] = {}

    def credit_first_attempt(self, account_id: AccountId, state: UpstreamState) -> None:
        """Earn a share of a retry for the account and for the upstream."""
        self._budget(account_id).credit_first_attempt()
        state.retries.credit_first_attempt()

    def decide(
        self, failed: FailedAttempt, account_id: AccountId, state: UpstreamState | None
    ) -> Result[RetryDelay, RetryStop]:
        """Return when to try again, or why not; `state` is of the upstream that failed."""
        decision = decide_retry(
            failed,
            account_budget=self._budget(account_id),
            upstream_budget=state.retries if state is not None else RetryBudget(),
            rng=self._rng,
            now_s=trio.current_time(),
        )
        reason = decision.err_value.value if isinstance(decision, Err) else "retried"
        self._metrics.count("retries", reason)
        return decision

    def spend_move(self, account_id: AccountId, state: UpstreamState | None) -> bool:
        """Pay for moving a call off an upstream; return whether both budgets bear it."""
        budgets = [self._budget(account_id), *([state.retries] if state is not None else [])]
        can_pay = all(budget.can_retry() for budget in budgets)
        if can_pay:
            for budget in budgets:
                budget.spend()
        self._metrics.count("moves", "moved" if can_pay else "budget")
        return can_pay

    def _budget(self, account_id: AccountId) -> RetryBudget:
        return self._budgets_by_account.setdefault(account_id, RetryBudget())
