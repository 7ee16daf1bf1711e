"""The log of requests that reached a stand-in, served at `GET /_log`.

Tests read from it how often a request ran, how it ended and which headers it carried.
"""

import hashlib
import json
from dataclasses import asdict, dataclass
from enum import Enum

from lagoonfold_io import HttpRequest, HttpResponse

MAX_LOGGED = 100_000


class RequestState(Enum):
    """The progress of a logged request."""

    RUNNING = "running"
    ANSWERED = "answered"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(slots=True, kw_only=True)
class LoggedRequest:
    """A request that reached the stand-in."""

    number: int
    method: str
    path: str
    headers: dict[str, str]
    body_digest: str
    body: str
    state: str = RequestState.RUNNING.value


class RequestLog:
    """All requests that reached the stand-in, in the order of their arrival."""

    def __init__(self, *, keep_bodies: bool = True) -> None:
        self._requests: list[LoggedRequest] = []
        self._keep_bodies = keep_bodies
        self._count = 0

    def add(self, request: HttpRequest) -> LoggedRequest:
        """Log a request that is about to run and return its entry."""
        self._count += 1
        logged = LoggedRequest(
            number=self._count,
            method=request.method,
            path=request.path,
            headers=dict(request.headers),
            body_digest=hashlib.sha256(request.body).hexdigest(),
            body=request.body.decode("utf-8", "replace") if self._keep_bodies else "",
        )
        if len(self._requests) < MAX_LOGGED:
            self._requests.append(logged)
        return logged

    def response(self) -> HttpResponse:
        """Return the log as the response to `GET /_log`."""
        body = json.dumps([asdict(logged) for logged in self._requests]).encode()
        headers = (("content-type", "application/json"),)
        return HttpResponse(status=200, headers=headers, body=body)
