"""Terms of the time that a request is estimated to take at a replica.

The cost of a replica is the sum of all terms, in seconds.

    @cost_term("prefill")
    def prefill_s(candidate: Candidate) -> float: ...
"""

from collections.abc import Callable

from lagoonfold.placement._candidates import Candidate

PREFILL_TOKENS_PER_S = 120_000.0  # lower of the rates in the sheets; favours cached replicas
FULL_BATCH_SLOWDOWN = 0.3  # share of the typical latency that a full batch adds
CROSS_DOMAIN_ROUND_TRIP_S = 0.002  # between failure domains

CostTerm = Callable[[Candidate], float]

_TERMS_BY_NAME: dict[str, CostTerm] = {}


def cost_term(name: str) -> Callable[[CostTerm], CostTerm]:
    """Register a term that returns seconds."""

    def register(term: CostTerm) -> CostTerm:
        assert name not in _TERMS_BY_NAME, name
        _TERMS_BY_NAME[name] = term
        return term

    return register


def cost_terms_s(candidate: Candidate) -> dict[str, float]:
    """Return the value of each term by its name."""
    return {name: term(candidate) for name, term in _TERMS_BY_NAME.items()}


def estimate_cost_s(candidate: Candidate) -> float:
    """Return how long a request is estimated to take at a replica."""
    return sum(term(candidate) for term in _TERMS_BY_NAME.values())


@cost_term("service")
def _service_s(candidate: Candidate) -> float:
    """Return the time of the request at the replica's pace, with its load and its queue."""
    slots = max(1, candidate.replica.slots)
    utilization = candidate.requests / slots
    queueing = max(0.0, candidate.requests + 1 - candidate.replica.slots) / slots
    load_factor = 1 + FULL_BATCH_SLOWDOWN * min(1.0, utilization) + queueing
    return candidate.request.typical_latency_s * candidate.slowdown * load_factor


@cost_term("prefill")
def _prefill_s(candidate: Candidate) -> float:
    return candidate.uncached_tokens / PREFILL_TOKENS_PER_S


@cost_term("round_trip")
def _round_trip_s(candidate: Candidate) -> float:
    is_near = candidate.replica.failure_domain == candidate.request.failure_domain
    return 0.0 if is_near else CROSS_DOMAIN_ROUND_TRIP_S
