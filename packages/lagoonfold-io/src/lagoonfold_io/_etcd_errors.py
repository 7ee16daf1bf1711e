"""Store errors for failed calls to the key-value service, by whether a write may have happened."""

import msgspec
from result import Err

from lagoonfold import StoreError, StoreErrorKind
from lagoonfold_io._etcd_messages import ErrorResponse
from lagoonfold_io._http_messages import HttpError, HttpResponse, SendStatus

_GRPC_CODE_NOT_FOUND = 5
_CLIENT_ERRORS = range(400, 500)
_STATUS_TOO_MANY_REQUESTS = 429


def as_read_failure(failed: Err[StoreError]) -> Err[StoreError]:
    """Return a read's error with a lost answer as `UNAVAILABLE`, since a read changes nothing."""
    if failed.err_value.kind is StoreErrorKind.LOST_ANSWER:
        return store_failure(StoreErrorKind.UNAVAILABLE, failed.err_value.detail)
    return failed


def store_failure(kind: StoreErrorKind, detail: str) -> Err[StoreError]:
    """Return a store error as the result of a call."""
    return Err(StoreError(kind=kind, detail=detail))


def transport_error(error: HttpError) -> StoreError:
    """Return the store error for a failed request: unless nothing was sent, a write is possible."""
    nothing_sent = error.sent is SendStatus.NOT_SENT
    kind = StoreErrorKind.UNAVAILABLE if nothing_sent else StoreErrorKind.LOST_ANSWER
    return StoreError(kind=kind, detail=error.detail)


def status_error(response: HttpResponse) -> StoreError:
    """Return the store error for a response with an error status.

    A server error is a lost answer, since it may come after the write took effect.
    """
    try:
        body = msgspec.json.decode(response.body, type=ErrorResponse)
    except msgspec.DecodeError:
        body = ErrorResponse(message=f"status {response.status}")
    if response.status == _STATUS_TOO_MANY_REQUESTS:
        return StoreError(kind=StoreErrorKind.THROTTLED, detail=body.message)
    if body.code == _GRPC_CODE_NOT_FOUND and "lease" in body.message:
        return StoreError(kind=StoreErrorKind.LEASE_EXPIRED, detail=body.message)
    refused = response.status in _CLIENT_ERRORS
    kind = StoreErrorKind.REFUSED if refused else StoreErrorKind.LOST_ANSWER
    return StoreError(kind=kind, detail=body.message)
