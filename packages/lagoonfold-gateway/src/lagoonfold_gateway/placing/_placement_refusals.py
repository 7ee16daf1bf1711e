"""The refusals of requests that get no replica; none of them has run."""

from lagoonfold import ErrorKind, Refusal
from lagoonfold_gateway.placing._placement_needs import PlacementNeed

RETRY_AFTER_S = 0.2  # where an owner tells none; some waiting requests are served by then


def no_replica(service: str) -> Refusal:
    """Return the refusal of a request whose service has no replica that gets requests."""
    return Refusal(
        kind=ErrorKind.UPSTREAM_UNAVAILABLE,
        detail=f"service {service!r} has no replica",
        retry_after_s=RETRY_AFTER_S,
    )


def no_replica_of_version(service: str, version: str | None) -> Refusal:
    """Return the refusal of a stream that no replica of its software version can go on with."""
    return Refusal(
        kind=ErrorKind.UPSTREAM_UNAVAILABLE,
        detail=f"service {service!r} has no replica of software version {version!r}",
        retry_after_s=RETRY_AFTER_S,
    )


def queue_full(need: PlacementNeed, retry_after_s: float) -> Refusal:
    """Return the refusal of a request that gets no place in time; 0 stands for no known time.

    Owners that admit by program tell callers apart, and may have one return sooner.
    """
    is_spread = need.waiting_since_s is not None and retry_after_s > 0
    return Refusal(
        kind=ErrorKind.QUEUE_FULL,
        detail=f"no replica of service {need.service!r} has a slot in time",
        retry_after_s=retry_after_s if is_spread else max(RETRY_AFTER_S, retry_after_s),
    )
