"""Refusals as RFC 9457 problem documents.

A document has the standard members and these extensions: `kind`, the error kind; `ran`, whether
the request reached an upstream; `request_id`; and `retry_after_s`, if a retry makes sense.
"""

import math

import msgspec

from lagoonfold import PROBLEM_TYPES_BY_KIND, ErrorKind, Refusal
from lagoonfold_io import HttpResponse, RequestFault

PROBLEM_CONTENT_TYPE = "application/problem+json"
MEMORY_RETRY_AFTER_S = 1.0  # after which calm requests have given back their memory
TYPE_PREFIX = "urn:lagoonfold:error:"
REQUEST_ID_HEADER = "lagoonfold-request-id"


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """The members of a problem document."""

    type: str
    title: str
    status: int
    detail: str
    kind: str
    ran: str
    request_id: str
    retry_after_s: float | msgspec.UnsetType = msgspec.UNSET


def problem_of(refusal: Refusal, request_id: str) -> Problem:
    """Return the problem document for a refusal."""
    problem_type = PROBLEM_TYPES_BY_KIND[refusal.kind]
    return Problem(
        type=TYPE_PREFIX + refusal.kind.value,
        title=problem_type.title,
        status=problem_type.status,
        detail=refusal.detail,
        kind=refusal.kind.value,
        ran=refusal.ran.value,
        request_id=request_id,
        retry_after_s=refusal.retry_after_s or msgspec.UNSET,
    )


def problem_response(refusal: Refusal, request_id: str) -> HttpResponse:
    """Return the response for a refusal; `Retry-After` is rounded up to whole seconds."""
    problem = problem_of(refusal, request_id)
    headers = [("content-type", PROBLEM_CONTENT_TYPE), (REQUEST_ID_HEADER, request_id)]
    if refusal.retry_after_s > 0:
        headers.append(("retry-after", str(math.ceil(refusal.retry_after_s))))
    if refusal.kind in (ErrorKind.UNAUTHENTICATED, ErrorKind.KEY_WITHDRAWN):
        headers.append(("www-authenticate", "Bearer"))
    body = msgspec.json.encode(problem)
    return HttpResponse(status=problem.status, headers=tuple(headers), body=body)


def refusal_for_unreadable(fault: RequestFault) -> Refusal:
    """Return the refusal for a request that the HTTP server could not read."""
    if fault is RequestFault.MEMORY_SHORT:
        return Refusal(
            kind=ErrorKind.QUEUE_FULL,
            detail="no memory for the request",
            retry_after_s=MEMORY_RETRY_AFTER_S,
        )
    return Refusal(
        kind=ErrorKind(fault.value), detail=f"the request could not be read: {fault.value}"
    )
