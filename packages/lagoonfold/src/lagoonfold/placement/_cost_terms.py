"""Terms of the time that a request is estimated to take at a replica.

The cost of a replica is the sum of all terms, in seconds. A term that is 0 for most requests names
a condition, `applies`, which is looked at once for a whole search.

    @cost_term("prefill", applies=lambda knowledge, request: bool(request.parts))
    def prefill_s(candidate: Candidate) -> float: ...
"""

from collections.abc import Callable

from lagoonfold.placement._candidates import Candidate, Condition, ReplicaKnowledge, always
from lagoonfold.placement._selection_input import SelectionInput

PREFILL_TOKENS_PER_S = 120_000.0  # lower of the rates in the sheets; favours cached replicas
FULL_BATCH_SLOWDOWN = 0.3  # share of the typical latency that a full batch adds
CROSS_DOMAIN_ROUND_TRIP_S = 0.002  # between failure domains

CostTerm = Callable[[Candidate], float]

_TERMS_BY_NAME: dict[str, tuple[CostTerm, Condition]] = {}


def cost_term(name: str, *, applies: Condition = always) -> Callable[[CostTerm], CostTerm]:
    """Register a term that returns seconds, 0 where it does not apply."""

    def register(term: CostTerm) -> CostTerm:
        assert name not in _TERMS_BY_NAME, name
        _TERMS_BY_NAME[name] = (term, applies)
        return term

    return register


def terms_for(knowledge: ReplicaKnowledge, request: SelectionInput) -> tuple[CostTerm, ...]:
    """Return the terms that may be other than 0 for a request."""
    return tuple(term for term, applies in _TERMS_BY_NAME.values() if applies(knowledge, request))


def cost_terms_s(candidate: Candidate) -> dict[str, float]:
    """Return the value of each term by its name, 0 for one that does not apply."""
    knowledge, request = candidate.knowledge, candidate.request
    return {
        name: term(candidate) if applies(knowledge, request) else 0.0
        for name, (term, applies) in _TERMS_BY_NAME.items()
    }


def estimate_cost_s(candidate: Candidate, terms: tuple[CostTerm, ...] | None = None) -> float:
    """Return how long a request is estimated to take at a replica.

    `terms` are those of `terms_for`, for the many candidates of one search.
    """
    if terms is None:
        terms = terms_for(candidate.knowledge, candidate.request)
    cost_s = 0.0
    for term in terms:
        cost_s += term(candidate)
    return cost_s


@cost_term("service")
def _service_s(candidate: Candidate) -> float:
    """Return the time of the request at the replica's pace, with its load and its queue."""
    slots, requests = candidate.replica.slots or 1, candidate.requests
    load_factor = 1 + FULL_BATCH_SLOWDOWN * (requests / slots if requests < slots else 1.0)
    if requests >= candidate.replica.slots:
        load_factor += (requests + 1 - candidate.replica.slots) / slots
    return candidate.request.typical_latency_s * candidate.slowdown * load_factor


@cost_term("prefill", applies=lambda knowledge, request: bool(request.parts))
def _prefill_s(candidate: Candidate) -> float:
    return candidate.uncached_tokens / PREFILL_TOKENS_PER_S


@cost_term("round_trip")
def _round_trip_s(candidate: Candidate) -> float:
    is_near = candidate.replica.failure_domain == candidate.request.failure_domain
    return 0.0 if is_near else CROSS_DOMAIN_ROUND_TRIP_S
