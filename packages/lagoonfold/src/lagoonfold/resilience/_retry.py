"""Decide whether a failed attempt is retried.

A call is not retried if it may have run and is not idempotent, if the retry could not start
before the deadline, or without a token from both the account's and the upstream's retry budget.
An attempt that reached no upstream costs no token: the next one is the first that loads one.

    failed = FailedAttempt(...)
    decide_retry(failed, account_budget=own, upstream_budget=other, rng=rng, now_s=12.0)
"""

import random
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from lagoonfold._errors import Ran
from lagoonfold.resilience._backoff import backoff_s

_RETRIES_PER_FIRST_ATTEMPT = 0.1
_MAX_SAVED_RETRIES = 10.0
_TOKENS_PER_RETRY = 1.0
_MAX_ATTEMPTS = 4


class RetryStop(Enum):
    """The reason why a failed attempt is not retried.

    REJECTED means that the upstream refused the request as such, which it would do again.
    """

    ATTEMPTS = "attempts"
    BUDGET = "budget"
    DEADLINE = "deadline"
    NOT_IDEMPOTENT = "not-idempotent"
    POISONOUS = "poisonous"
    REJECTED = "rejected"


class RetryBudget:
    """Limits retries to a share of first attempts: each first attempt earns a part of one retry.

    `max_tokens` bounds the saved retries, so that a long period without failures doesn't allow
    a retry storm afterwards.
    """

    __slots__ = ("_max_tokens", "_share", "_tokens")

    def __init__(
        self, *, share: float = _RETRIES_PER_FIRST_ATTEMPT, max_tokens: float = _MAX_SAVED_RETRIES
    ) -> None:
        self._share = share
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    @property
    def tokens(self) -> float:
        """The number of retries available now."""
        return self._tokens

    def credit_first_attempt(self) -> None:
        """Add the share that one first attempt earns."""
        self._tokens = min(self._max_tokens, self._tokens + self._share)

    def can_retry(self) -> bool:
        """Return whether the budget has a token for one retry."""
        return self._tokens >= _TOKENS_PER_RETRY

    def spend(self) -> None:
        """Deduct one retry."""
        self._tokens -= _TOKENS_PER_RETRY


@dataclass(frozen=True, slots=True, kw_only=True)
class FailedAttempt:
    """A failed attempt of a call.

    `attempt` counts from 1, `ran` says whether the upstream may have run the request, and
    `deadline_s` is the call's deadline. `was_sent` is False if no connection was made.
    """

    attempt: int
    ran: Ran
    is_idempotent: bool
    deadline_s: float
    is_poisonous: bool = False
    was_sent: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryDelay:
    """The seconds to wait before the next attempt."""

    delay_s: float


def decide_retry(
    failed: FailedAttempt,
    *,
    account_budget: RetryBudget,
    upstream_budget: RetryBudget,
    rng: random.Random,
    now_s: float,
) -> Result[RetryDelay, RetryStop]:
    """Return the delay of the retry, or the reason for not retrying.

    The retry of a request that was sent is charged to both budgets.
    """
    if failed.is_poisonous:
        return Err(RetryStop.POISONOUS)
    if not failed.is_idempotent and failed.ran is not Ran.NO:
        return Err(RetryStop.NOT_IDEMPOTENT)
    if failed.attempt >= _MAX_ATTEMPTS:
        return Err(RetryStop.ATTEMPTS)
    delay_s = backoff_s(failed.attempt, rng)
    if now_s + delay_s >= failed.deadline_s:
        return Err(RetryStop.DEADLINE)
    if not failed.was_sent:
        return Ok(RetryDelay(delay_s=delay_s))
    if not (account_budget.can_retry() and upstream_budget.can_retry()):
        return Err(RetryStop.BUDGET)
    account_budget.spend()
    upstream_budget.spend()
    return Ok(RetryDelay(delay_s=delay_s))
