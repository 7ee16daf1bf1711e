"""What a call does when an upstream fails: retries within budgets, breakers, poison, progress."""

from lagoonfold.resilience._backoff import backoff_s
from lagoonfold.resilience._breaker import Breaker, BreakerState
from lagoonfold.resilience._poison import (
    MAX_BREAKS_PER_DIGEST,
    MAX_INCIDENTS_PER_DIGEST,
    PoisonNotice,
    PoisonRegistry,
)
from lagoonfold.resilience._progress import ProgressDeadline
from lagoonfold.resilience._retry import (
    FailedTry,
    RetryAfter,
    RetryBudget,
    RetryStop,
    decide_retry,
)

__all__ = [
    "MAX_BREAKS_PER_DIGEST",
    "MAX_INCIDENTS_PER_DIGEST",
    "Breaker",
    "BreakerState",
    "FailedTry",
    "PoisonNotice",
    "PoisonRegistry",
    "ProgressDeadline",
    "RetryAfter",
    "RetryBudget",
    "RetryStop",
    "backoff_s",
    "decide_retry",
]
