"""What a service says of its cold replicas, and whether the figures can be used."""

import math
from dataclasses import dataclass

from result import Err, Ok, Result

from lagoonfold.forwarding import ForwardService
from lagoonfold.rates import QuotaTerms, RateLimit

MAX_COLD_S = 600.0  # a longer warm-up is taken for a wrong unit
MAX_COLD_PER_S = 1e6  # above what any replica takes
OWNER_SHARE = 0.5  # of a replica's rate that one owner uses; two may place until both know
BURST_S = 0.1  # of an owner's share that may be placed at once, beyond one request
WINDOW_S = 1.0  # a cold replica's requests are bounded in each second

COLD_QUOTA_TERMS = QuotaTerms(window_s=WINDOW_S)


@dataclass(frozen=True, slots=True, kw_only=True)
class ColdTerms:
    """How long a replica of a service is cold, and how many requests a second it takes then.

    `per_s` is the number from all instances together.
    """

    start_s: float
    per_s: float

    @property
    def owner_limit(self) -> RateLimit:
        """Return the rate and burst that one owner of a pool may place at a cold replica.

        Two owners then place at most per_s x (1 + BURST_S) + 2 requests in any second, within the
        bound of 1.5 x per_s + 5 for all instances.
        """
        rate_per_s = OWNER_SHARE * self.per_s
        return RateLimit(rate_per_s=rate_per_s, burst=1 + BURST_S * rate_per_s)


def read_cold_terms(service: ForwardService) -> Result[ColdTerms | None, str]:
    """Return the terms of a service, None if its replicas are never cold.

    An error says which figure cannot be used; such a service's replicas are never cold.

        read_cold_terms(ForwardService(name="m", max_connections=9))    # Ok(None)
    """
    start_s, per_s = service.cold_start_s, service.cold_per_s
    if start_s == 0:
        return Ok(None)
    if not is_cold_time(start_s):
        return Err(f"a cold start of {start_s} s is not from 0 to {MAX_COLD_S:g} s")
    if not 0 < per_s <= MAX_COLD_PER_S:
        return Err(f"{per_s} requests a second while cold are not from 0 to {MAX_COLD_PER_S:g}")
    return Ok(ColdTerms(start_s=start_s, per_s=per_s))


def is_cold_time(seconds: float) -> bool:
    """Return whether a replica may be cold for that long."""
    return math.isfinite(seconds) and 0 <= seconds <= MAX_COLD_S
