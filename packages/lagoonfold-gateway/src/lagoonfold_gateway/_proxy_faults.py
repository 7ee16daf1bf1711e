"""What a gateway tells another one that it could not pass a request on to a replica.

The `proxy-status` header and the names of the errors are those of RFC 9209.
"""

from enum import Enum

from result import Err, Result

from lagoonfold_io import (
    Headers,
    HttpError,
    HttpResponse,
    ResponseStream,
    SendStatus,
    find_header,
)

HEADER = "proxy-status"
STATUS_BAD_GATEWAY = 502
_PROXY_NAME = "lagoonfold"


class ProxyFault(Enum):
    """Why a request got no answer of a replica through another gateway.

    With `ANSWER_LOST` the replica may have run it, otherwise it was not sent to a replica.
    `NOT_RELAYED` means that the other gateway itself was not reached, does not know the replica, or
    has no connection left.
    """

    REPLICA_UNREACHED = "connection_refused"
    CUT_OFF = "destination_ip_unroutable"
    NOT_RELAYED = "connection_limit_reached"
    ANSWER_LOST = "connection_terminated"


def fault_response(fault: ProxyFault) -> HttpResponse:
    """Return the response that tells a fault."""
    header = (HEADER, f"{_PROXY_NAME}; error={fault.value}")
    return HttpResponse(status=STATUS_BAD_GATEWAY, headers=(header,))


def without_proxy_status(headers: Headers) -> Headers:
    """Return a replica's headers without one that would tell a fault of this gateway."""
    return tuple((name, value) for name, value in headers if name != HEADER)


def fault_of(answer: Result[ResponseStream, HttpError]) -> ProxyFault | None:
    """Return why another gateway did not pass a request on.

    None stands for an answer of the replica, and for one that was lost on the way, which may have
    run.
    """
    if isinstance(answer, Err):
        return ProxyFault.NOT_RELAYED if answer.err_value.sent is SendStatus.NOT_SENT else None
    told = find_header(answer.ok_value.head.headers, HEADER)
    _, _, error = (told or "").partition("; error=")
    fault = next((each for each in ProxyFault if each.value == error), None)
    return None if fault is ProxyFault.ANSWER_LOST else fault
