"""Faults of requests that never reach a handler, and plain responses to them."""

from enum import Enum

import h11

from lagoonfold_io._http_messages import Headers, HttpResponse


class RequestFault(Enum):
    """Why a request is refused before it reaches the handler."""

    BODY_TOO_LARGE = "body-too-large"
    HEADERS_TOO_LARGE = "headers-too-large"
    MALFORMED = "malformed"
    MEMORY_SHORT = "memory-short"
    REQUEST_TIMEOUT = "request-timeout"
    TOO_MANY_CONNECTIONS = "too-many-connections"


RETRY_AFTER_S = 1  # after which calm requests have given back what was short
_PASSING_FAULTS = (RequestFault.MEMORY_SHORT, RequestFault.TOO_MANY_CONNECTIONS)
_STATUS_BY_FAULT = {
    RequestFault.BODY_TOO_LARGE: 413,
    RequestFault.HEADERS_TOO_LARGE: 431,
    RequestFault.MALFORMED: 400,
    RequestFault.MEMORY_SHORT: 503,
    RequestFault.REQUEST_TIMEOUT: 408,
    RequestFault.TOO_MANY_CONNECTIONS: 503,
}


class FaultError(Exception):
    """Raised for a request that is refused before it reaches the handler."""

    def __init__(self, fault: RequestFault) -> None:
        super().__init__(fault.value)
        self.fault = fault
        self.is_head = False


def plain_fault_response(fault: RequestFault) -> HttpResponse:
    """Return a response with the fault's status and its name as text.

    The request has not run; if the fault passes, `retry-after` says when to try again.
    """
    headers: Headers = (("content-type", "text/plain"),)
    if fault in _PASSING_FAULTS:
        headers = (*headers, ("retry-after", str(RETRY_AFTER_S)))
    body = fault.value.encode()
    return HttpResponse(status=_STATUS_BY_FAULT[fault], headers=headers, body=body)


def parse_event(protocol: h11.Connection) -> object:
    """Return the next event of a request, or `h11.NEED_DATA`; raise `FaultError` if it is none."""
    try:
        return protocol.next_event()
    except h11.RemoteProtocolError as error:
        too_large = error.error_status_hint == 431
        fault = RequestFault.HEADERS_TOO_LARGE if too_large else RequestFault.MALFORMED
        raise FaultError(fault) from error
