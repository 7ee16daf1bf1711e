"""Refusals of calls that no upstream may run."""

from lagoonfold import ErrorKind, Refusal
from lagoonfold_node._dispatch._requests import PlacementRequest
from lagoonfold_node._dispatch._target_queue import NO_UPSTREAM_RETRY_S


def poisonous_refusal() -> Refusal:
    """Return the refusal of a poison request."""
    return Refusal(kind=ErrorKind.POISONOUS, detail="this request has taken down upstreams")


def no_upstream_refusal(request: PlacementRequest) -> Refusal:
    """Return the refusal of a call whose target no available upstream serves."""
    return Refusal(
        kind=ErrorKind.UPSTREAM_UNAVAILABLE,
        detail=f"no upstream serves {request.target}",
        retry_after_s=NO_UPSTREAM_RETRY_S,
    )
