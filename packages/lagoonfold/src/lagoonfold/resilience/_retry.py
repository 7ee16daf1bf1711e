"""Whether a failed try is made again.

A retry is never made for a call that may have run and is not idempotent, never when it could not
start before the deadline, and never without a token of both the account's and the upstream's
budget.

    failed = FailedAttempt(...)
    decide_retry(failed, account_budget=own, upstream_budget=other, rng=rng, now_s=12.0)
"""

import random
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from lagoonfold._errors import Ran
from lagoonfold.resilience._backoff import backoff_s

_SHARE_OF_FIRST_TRIES = 0.1
_MAX_TOKENS = 10.0
_COST_OF_RETRY = 1.0
_MAX_ATTEMPTS = 4


class RetryStop(Enum):
    """Why a failed try is final."""

    ATTEMPTS = "attempts"
    BUDGET = "budget"
    DEADLINE = "deadline"
    NOT_IDEMPOTENT = "not-idempotent"
    POISONOUS = "poisonous"


class RetryBudget:
    """Retries as a share of first tries: each first try earns a part of one retry.

    `max_tokens` bounds what can be saved up, so a quiet hour buys no storm.
    """

    __slots__ = ("_max_tokens", "_share", "_tokens")

    def __init__(
        self, *, share: float = _SHARE_OF_FIRST_TRIES, max_tokens: float = _MAX_TOKENS
    ) -> None:
        self._share = share
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    @property
    def tokens(self) -> float:
        """Retries that could be made now."""
        return self._tokens

    def credit_first_attempt(self) -> None:
        """Earn the share of one first try."""
        self._tokens = min(self._max_tokens, self._tokens + self._share)

    def can_retry(self) -> bool:
        """Tell whether a whole retry is there."""
        return self._tokens >= _COST_OF_RETRY

    def spend(self) -> None:
        """Pay for one retry."""
        self._tokens -= _COST_OF_RETRY


@dataclass(frozen=True, slots=True, kw_only=True)
class FailedAttempt:
    """A try that failed: its number from 1, what is known of it, and the call's deadline."""

    attempt: int
    ran: Ran
    is_idempotent: bool
    deadline_s: float
    is_poisonous: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryDelay:
    """Make the next try after this many seconds."""

    delay_s: float


def decide_retry(
    failed: FailedAttempt,
    *,
    account_budget: RetryBudget,
    upstream_budget: RetryBudget,
    rng: random.Random,
    now_s: float,
) -> Result[RetryDelay, RetryStop]:
    """Decide on a retry and pay for it from both budgets."""
    if failed.is_poisonous:
        return Err(RetryStop.POISONOUS)
    if not failed.is_idempotent and failed.ran is not Ran.NO:
        return Err(RetryStop.NOT_IDEMPOTENT)
    if failed.attempt >= _MAX_ATTEMPTS:
        return Err(RetryStop.ATTEMPTS)
    delay_s = backoff_s(failed.attempt, rng)
    if now_s + delay_s >= failed.deadline_s:
        return Err(RetryStop.DEADLINE)
    if not (account_budget.can_retry() and upstream_budget.can_retry()):
        return Err(RetryStop.BUDGET)
    account_budget.spend()
    upstream_budget.spend()
    return Ok(RetryDelay(delay_s=delay_s))
