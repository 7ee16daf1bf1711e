"""Faults of requests that never reach a handler, and plain responses to them."""

from enum import Enum

from lagoonfold_io._http_messages import HttpResponse


class RequestFault(Enum):
    """Why a request is refused before it reaches the handler."""

    BODY_TOO_LARGE = "body-too-large"
    HEADERS_TOO_LARGE = "headers-too-large"
    MALFORMED = "malformed"
    REQUEST_TIMEOUT = "request-timeout"
    TOO_MANY_CONNECTIONS = "too-many-connections"


_STATUS_BY_FAULT = {
    RequestFault.BODY_TOO_LARGE: 413,
    RequestFault.HEADERS_TOO_LARGE: 431,
    RequestFault.MALFORMED: 400,
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
    """Return a response with the fault's status and its name as text."""
    headers = (("content-type", "text/plain"),)
    body = fault.value.encode()
    return HttpResponse(status=_STATUS_BY_FAULT[fault], headers=headers, body=body)
