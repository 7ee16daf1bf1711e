"""Decide on retries and moves by the retry budgets of accounts and upstreams, and count them."""

import random

import trio
from result import Err, Result

from lagoonfold import AccountId
from lagoonfold.resilience import FailedAttempt, RetryBudget, RetryDelay, RetryStop, decide_retry
from lagoonfold_io.observe import Metrics
from lagoonfold_node._dispatch._table import UpstreamState


class Retries:
    """Decides whether a failed attempt is retried and whether a call is moved.

    retries.credit_first_attempt(account_id, state)
    match retries.decide(failed, account_id, state): ...
    """

    def __init__(self, metrics: Metrics, rng: random.Random) -> None:
        self._metrics = metrics
        self._rng = rng
        self._budgets_by_account: dict[AccountId, RetryBudget] = {}

    def credit_first_attempt(self, account_id: AccountId, state: UpstreamState) -> None:
        """Add the share that one first attempt earns to the account's and upstream's budgets."""
        self._budget(account_id).credit_first_attempt()
        state.retries.credit_first_attempt()

    def decide(
        self, failed: FailedAttempt, account_id: AccountId, state: UpstreamState | None
    ) -> Result[RetryDelay, RetryStop]:
        """Return the delay of the retry, or why there is none.

        `state` is the state of the upstream that failed.
        """
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
        """Charge the move of a call off an upstream to both budgets, as one retry.

        Return False, and charge neither, if one of them is exhausted.
        """
        budgets = [self._budget(account_id), *([state.retries] if state is not None else [])]
        is_covered = all(budget.can_retry() for budget in budgets)
        if is_covered:
            for budget in budgets:
                budget.spend()
        self._metrics.count("moves", "moved" if is_covered else "budget")
        return is_covered

    def _budget(self, account_id: AccountId) -> RetryBudget:
        return self._budgets_by_account.setdefault(account_id, RetryBudget())
