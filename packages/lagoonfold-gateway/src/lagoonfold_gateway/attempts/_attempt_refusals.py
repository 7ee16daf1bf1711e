"""Refusals of requests whose attempts have ended without an answer."""

from lagoonfold import ErrorKind, Ran, Refusal
from lagoonfold_gateway.attempts._upstream_attempt import AttemptFailure

UNKNOWN_ORIGIN_RETRY_S = 0.2  # an instance that knows the stream may be back
NO_PATH_RETRY_S = 0.2


def unknown_origin(reason: str) -> Refusal:
    """Return the refusal of a stream that cannot be taken up."""
    return Refusal(
        kind=ErrorKind.UPSTREAM_UNAVAILABLE,
        detail=f"the stream cannot be taken up: {reason}",
        retry_after_s=UNKNOWN_ORIGIN_RETRY_S,
    )


def no_path(failure: AttemptFailure) -> Refusal:
    """Return the refusal of a request whose replicas cannot be called from anywhere."""
    return Refusal(
        kind=ErrorKind.UPSTREAM_UNAVAILABLE,
        detail=failure.reason,
        retry_after_s=NO_PATH_RETRY_S,
    )


def answer_lost(failure: AttemptFailure) -> Refusal:
    """Return the refusal of a request whose answer was lost; it may have run."""
    return Refusal(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        detail=f"the answer was lost: {failure.reason}",
        ran=Ran.UNKNOWN,
    )
