"""Where a request would go now and why: what instances say of it, and what that comes to."""

from lagoonfold.explanations._conclusion import POOLS_ASKED_AT_ONCE, combine, conclude
from lagoonfold.explanations._documents import (
    AccountExplanation,
    Decision,
    Explanation,
    Outcome,
    PoolExplanation,
    Rejection,
    ReplicaExplanation,
    RouteExplanation,
    Verdict,
)

__all__ = [
    "POOLS_ASKED_AT_ONCE",
    "AccountExplanation",
    "Decision",
    "Explanation",
    "Outcome",
    "PoolExplanation",
    "Rejection",
    "ReplicaExplanation",
    "RouteExplanation",
    "Verdict",
    "combine",
    "conclude",
]
