"""The callers' border: every request is identified, counted, performed and answered here.

Reads the cells `config` and `stopping`; writes none. What goes wrong on the way is answered by a
problem document, with one counter for each kind.
"""

import re
from dataclasses import dataclass, replace

import trio
from result import Err

from lagoonfold import ErrorKind, Ran, Refusal, new_id
from lagoonfold_io import (
    ClientGoneError,
    Exchange,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    RequestFault,
)
from lagoonfold_io.observe import EventLog, Metrics
from lagoonfold_node._board import Board
from lagoonfold_node._caller_api._caller_sink import CallerSink
from lagoonfold_node._caller_api._endpoints import Matched, find_endpoint
from lagoonfold_node._caller_api._keys import Caller, KeyAuthenticator, TrackedRequest
from lagoonfold_node._caller_api._operation_forwarder import OperationForwarder
from lagoonfold_node._caller_api._requests import read_timeout_s
from lagoonfold_node._caller_api._service_proxy import ServiceProxy
from lagoonfold_node._decisions import DecisionLog
from lagoonfold_node._problems import problem_response, refusal_for_unreadable
from lagoonfold_node._rates import RateLimiter

OWNER_ANSWER_S = 0.25
OVERDUE_RETRY_S = 1.0

_INTERNAL = Refusal(
    kind=ErrorKind.INTERNAL, detail="the request failed here; it is logged", ran=Ran.UNKNOWN
)

_REQUEST_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")


@dataclass(slots=True, kw_only=True)
class CallerRequest:
    """One request on its way through the border; `caller` is None on open routes."""

    request: HttpRequest
    request_id: str
    values_by_name: dict[str, str]
    caller: Caller | None
    timeout_s: float
    sink: CallerSink
    exchange: Exchange


class CallerApi:
    """Serves callers."""

    def __init__(
        self,
        *,
        board: Board,
        authenticator: KeyAuthenticator,
        rates: RateLimiter,
        forwarder: OperationForwarder,
        service_proxy: ServiceProxy,
        metrics: Metrics,
        decisions: DecisionLog,
        limits: HttpLimits,
        max_streams: int,
    ) -> None:
        self.board = board
        self.authenticator = authenticator
        self.forwarder = forwarder
        self.service_proxy = service_proxy
        self.decisions = decisions
        self._rates = rates
        self._metrics = metrics
        self._max_streams = max_streams
        self._log = EventLog("border")
        self._active = 0
        self.server = HttpServer(
            self.handle,
            limits=limits,
            respond_to_fault=self._respond_to_fault,
        )

    @property
    def active(self) -> int:
        """Return the number of requests under way."""
        return self._active

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Answer one request."""
        request_id = _request_id(request)
        sink = CallerSink(exchange, request_id)
        started_s = trio.current_time()
        self._active += 1
        try:
            refusal = await self._perform(request, request_id, exchange, sink)
            if refusal is not None:
                self._count(refusal, request, request_id)
                await sink.refuse(refusal)
        except ClientGoneError:
            self._metrics.count("client_gone")
            raise
        except Exception as error:
            self._log.error("border.request_failed", error, request_id=request_id)
            self._count(_INTERNAL, request, request_id)
            await sink.refuse(_INTERNAL)
        finally:
            self._active -= 1
            self._metrics.record("request", trio.current_time() - started_s)

    async def _perform(
        self, request: HttpRequest, request_id: str, exchange: Exchange, sink: CallerSink
    ) -> Refusal | None:
        found = find_endpoint(request.method, request.path)
        timeout_s = read_timeout_s(request)
        if isinstance(found, Err):
            return found.err_value
        if isinstance(timeout_s, Err):
            return timeout_s.err_value
        if self._active > self._max_streams:
            detail = f"{self._max_streams} requests are under way"
            return Refusal(kind=ErrorKind.QUEUE_FULL, detail=detail, retry_after_s=1.0)
        matched = found.ok_value
        call = CallerRequest(
            request=request,
            request_id=request_id,
            values_by_name=matched.values_by_name,
            caller=None,
            timeout_s=timeout_s.ok_value,
            sink=sink,
            exchange=exchange,
        )
        if matched.entry.may_be_open and self.service_proxy.is_open(call.values_by_name):
            return await self._within_deadline(matched, call)
        identified = self.authenticator.identify(request)
        if isinstance(identified, Err):
            return identified.err_value
        call.caller = identified.ok_value
        return await self._perform_keyed(matched, call)

    async def _perform_keyed(self, matched: Matched, call: CallerRequest) -> Refusal | None:
        """Perform a request for as long as its key is good."""
        tracked = TrackedRequest(call.caller)
        self.authenticator.track(tracked)
        refusal: Refusal | None = None
        try:
            with tracked.scope:
                refusal = await self._perform_counted(matched, call)
        finally:
            self.authenticator.untrack(tracked)
        if tracked.scope.cancelled_caught and tracked.cut is not None:
            return replace(tracked.cut, ran=Ran.UNKNOWN)
        return refusal

    async def _perform_counted(self, matched: Matched, call: CallerRequest) -> Refusal | None:
        if matched.entry.is_counted:
            started_s = trio.current_time()
            admitted = await self._rates.admit(call.caller.account_id)
            self._metrics.record("admission", trio.current_time() - started_s)
            if isinstance(admitted, Err):
                return admitted.err_value
        return await self._within_deadline(matched, call)

    async def _within_deadline(self, matched: Matched, call: CallerRequest) -> Refusal | None:
        # The owner's own deadline comes first: it knows whether the call ran. A program's call runs
        # on or is recorded, so its repeat is safe; a plain service's may be neither.
        with trio.move_on_after(call.timeout_s + OWNER_ANSWER_S):
            return await matched.entry.perform(self, call)
        return Refusal(
            kind=ErrorKind.DEADLINE_EXCEEDED,
            detail=f"not answered within {call.timeout_s:g} s",
            ran=Ran.UNKNOWN,
            retry_after_s=0.0 if matched.entry.may_be_open else OVERDUE_RETRY_S,
        )

    def _count(self, refusal: Refusal, request: HttpRequest, request_id: str) -> None:
        self._metrics.count("refusals", refusal.kind.value)
        self.decisions.add(
            "refusal",
            request_id,
            error_kind=refusal.kind.value,
            detail=refusal.detail,
            ran=refusal.ran.value,
            path=request.path,
        )
        self._log.info(
            "request.refused",
            request_id=request_id,
            kind=refusal.kind.value,
            detail=refusal.detail,
        )

    def _respond_to_fault(self, fault: RequestFault) -> HttpResponse:
        refusal = refusal_for_unreadable(fault)
        self._metrics.count("refusals", refusal.kind.value)
        return problem_response(refusal, new_id("req"))


def _request_id(request: HttpRequest) -> str:
    """Return the caller's request id if it is well-formed, else a new one."""
    given = request.header("lagoonfold-request-id") or request.header("x-request-id") or ""
    return given if _REQUEST_ID.fullmatch(given) else new_id("req")
