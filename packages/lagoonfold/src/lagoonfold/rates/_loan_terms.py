"""The terms of a loan that lender and borrower must agree on."""

LOAN_TTL_S = 0.5
MAX_CLOCK_DRIFT = 0.01


def lender_ttl_s(ttl_s: float) -> float:
    """Return how long a lender counts a loan, in seconds on its own clock.

    The borrower counts `ttl_s` from before it asked. Two monotonic clocks may run apart by
    `MAX_CLOCK_DRIFT` each, as a share of the time that passes.
    """
    return ttl_s * (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)
