"""Exponential backoff with full jitter."""

import random

_BASE_S = 0.05
_CAP_S = 2.0


def backoff_s(
    attempt: int, rng: random.Random, *, base_s: float = _BASE_S, cap_s: float = _CAP_S
) -> float:
    """Return the seconds to wait before retry number `attempt`, counted from 1.

    Full jitter draws uniformly between zero and the exponential bound, which spreads the retries
    of calls that failed at the same time.
    """
    bound_s = min(cap_s, base_s * 2 ** (attempt - 1))
    return rng.uniform(0.0, bound_s)
