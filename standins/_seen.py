"""What a stand-in saw: the judge of tests that ask how often a request ran, and with which key."""

import hashlib
import json
from dataclasses import asdict, dataclass
from enum import Enum

from lagoonfold_io import HttpRequest, HttpResponse

MAX_SEEN = 100_000


class SeenState(Enum):
    """How far a request got."""

    RUNNING = "running"
    ANSWERED = "answered"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(slots=True, kw_only=True)
class Seen:
    """A request that reached the stand-in."""

    number: int
    method: str
    path: str
    headers: dict[str, str]
    body_digest: str
    body: str
    state: str = SeenState.RUNNING.value


class SeenLog:
    """All requests that reached the stand-in, in the order of their arrival."""

    def __init__(self, *, keep_bodies: bool = True) -> None:
        self._seen: list[Seen] = []
        self._keep_bodies = keep_bodies
        self._count = 0

    def add(self, request: HttpRequest) -> Seen:
        """Note a request that is about to run."""
        self._count += 1
        seen = Seen(
            number=self._count,
            method=request.method,
            path=request.path,
            headers=dict(request.headers),
            body_digest=hashlib.sha256(request.body).hexdigest(),
            body=request.body.decode("utf-8", "replace") if self._keep_bodies else "",
        )
        if len(self._seen) < MAX_SEEN:
            self._seen.append(seen)
        return seen

    def response(self) -> HttpResponse:
        """Return the log as a response to `GET /_log`."""
        body = json.dumps([asdict(seen) for seen in self._seen]).encode()
        headers = (("content-type", "application/json"),)
        return HttpResponse(status=200, headers=headers, body=body)
