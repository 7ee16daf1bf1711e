"""The loan terms that lender and borrower must agree on."""

LOAN_TTL_S = 0.5
MAX_CLOCK_DRIFT = 0.01  # of elapsed time, for each clock


def lender_ttl_s(ttl_s: float) -> float:
    """Return for how many seconds of its own clock a lender counts a loan as outstanding.

    The borrower uses a loan for `ttl_s` from before it sent the request. The result is longer, as
    each of the two monotonic clocks may drift by `MAX_CLOCK_DRIFT`.
    """
    return ttl_s * (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)
