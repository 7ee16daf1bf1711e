"""Handling of failed upstreams: retry budgets, circuit breakers, poison requests, timeouts."""

from lagoonfold.resilience._backoff import backoff_s
from lagoonfold.resilience._breaker import BreakerState, CircuitBreaker
from lagoonfold.resilience._poison import (
    MAX_DISCONNECTS_PER_DIGEST,
    MAX_INCIDENTS_PER_DIGEST,
    PoisonNotice,
    PoisonRegistry,
)
from lagoonfold.resilience._progress import ProgressDeadline
from lagoonfold.resilience._retry import (
    FailedAttempt,
    RetryBudget,
    RetryDelay,
    RetryStop,
    decide_retry,
)

__all__ = [
    "MAX_DISCONNECTS_PER_DIGEST",
    "MAX_INCIDENTS_PER_DIGEST",
    "BreakerState",
    "CircuitBreaker",
    "FailedAttempt",
    "PoisonNotice",
    "PoisonRegistry",
    "ProgressDeadline",
    "RetryBudget",
    "RetryDelay",
    "RetryStop",
    "backoff_s",
    "decide_retry",
]
