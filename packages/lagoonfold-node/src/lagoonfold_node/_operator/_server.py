"""The operators' HTTP API: health, metrics, status, explanations and engine orders.

It has its own port and requires no key, so it must be reachable only from an operators' network.
"""

from collections.abc import Awaitable, Callable

import msgspec

from lagoonfold import ErrorKind, Refusal, new_id
from lagoonfold_io import Exchange, HttpLimits, HttpRequest, HttpResponse, HttpServer
from lagoonfold_io.observe import Metrics
from lagoonfold_node._decisions import DecisionLog
from lagoonfold_node._problems import problem_response

JSON_HEADERS = (("content-type", "application/json"),)
TEXT_HEADERS = (("content-type", "text/plain; version=0.0.4; charset=utf-8"),)
LIMITS = HttpLimits(max_body_bytes=65_536, max_connections=200)
MAX_EXPLAINED = 1_000

Respond = Callable[[HttpRequest], Awaitable[HttpResponse]]


class OperatorApi:
    """Serves the operators' HTTP API."""

    def __init__(
        self,
        *,
        metrics: Metrics,
        decisions: DecisionLog,
        not_ready_reason: Callable[[], str],
        status: Callable[[], dict],
        owner_of: Callable[[str], str | None],
        send_order: Callable[[bytes], Awaitable[HttpResponse]],
    ) -> None:
        self._metrics = metrics
        self._decisions = decisions
        self._not_ready_reason = not_ready_reason
        self._status = status
        self._owner_of = owner_of
        self._send_order = send_order
        self.server = HttpServer(self.handle, limits=LIMITS)

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Answer one request."""
        await exchange.respond(await self._respond(request))

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        head, _, subject = request.path.removeprefix("/v1/").partition("/")
        if request.method == "POST" and request.path == "/v1/orders":
            return await self._send_order(request.body)
        if request.method != "GET":
            return _problem(ErrorKind.METHOD_NOT_ALLOWED, f"{request.method} is not allowed")
        match request.path, head:
            case "/livez", _:
                return json_response({"live": True})
            case "/readyz", _:
                return self._ready()
            case "/metrics", _:
                body = self._metrics.render().encode()
                return HttpResponse(status=200, headers=TEXT_HEADERS, body=body)
            case "/v1/status", _:
                return json_response(self._status())
            case _, "explain" if subject:
                return json_response({"decisions": self._decisions.entries_for(subject)})
            case _, "owner" if subject:
                return self._owner(subject)
        return _problem(ErrorKind.NOT_FOUND, "no such path")

    def _ready(self) -> HttpResponse:
        reason = self._not_ready_reason()
        return json_response({"ready": not reason, "reason": reason}, 503 if reason else 200)

    def _owner(self, program_id: str) -> HttpResponse:
        owner = self._owner_of(program_id)
        if owner is None:
            return _problem(ErrorKind.OWNER_UNAVAILABLE, "no owner is known")
        return json_response(owner)


def json_response(value: object, status: int = 200) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(status=status, headers=JSON_HEADERS, body=msgspec.json.encode(value))


def _problem(kind: ErrorKind, detail: str) -> HttpResponse:
    return problem_response(Refusal(kind=kind, detail=detail), new_id("req"))
