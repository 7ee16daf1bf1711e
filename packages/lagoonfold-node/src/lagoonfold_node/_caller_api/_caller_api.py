"""The callers' HTTP API: authenticates, rate-limits, performs and answers each request.

Reads the cell `config`; writes none. A refusal is answered with a problem document and counted by
its kind.
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
    MemoryBudget,
    RequestFault,
)
from lagoonfold_io.observe import EventLog, Metrics
from lagoonfold_node._board import Board
from lagoonfold_node._caller_api._caller_sink import CallerSink
from lagoonfold_node._caller_api._endpoints import EndpointMatch, find_endpoint
from lagoonfold_node._caller_api._keys import Caller, KeyAuthenticator, TrackedRequest
from lagoonfold_node._caller_api._operation_forwarder import OperationForwarder
from lagoonfold_node._caller_api._requests import read_timeout_s
from lagoonfold_node._caller_api._service_proxy import ServiceProxy
from lagoonfold_node._decisions import DecisionLog
from lagoonfold_node._problems import problem_response, refusal_for_unreadable
from lagoonfold_node._rates import RateLimiter

OWNER_REPLY_MARGIN_S = 0.25  # wait beyond the deadline for the refusal that the owner sends at it
DEADLINE_RETRY_AFTER_S = 1.0

_INTERNAL = Refusal(
    kind=ErrorKind.INTERNAL, detail="internal error; it was logged", ran=Ran.UNKNOWN
)

_REQUEST_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")


@dataclass(slots=True, kw_only=True)
class CallerRequest:
    """A request that is being performed; `caller` is None on an open route."""

    request: HttpRequest
    request_id: str
    values_by_name: dict[str, str]
    caller: Caller | None
    timeout_s: float
    sink: CallerSink
    exchange: Exchange


class CallerApi:
    """Serves the callers' HTTP API."""

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
        memory: MemoryBudget | None = None,
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
            memory=memory,
            on_limit=lambda cause: metrics.count("caller_limits", cause),
        )

    @property
    def active(self) -> int:
        """Return the number of requests in progress."""
        return self._active

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Perform a request and answer it."""
        request_id = _request_id(request)
        sink = CallerSink(exchange, request_id)
        started_s = trio.current_time()
        self._active += 1
        try:
            refusal = await self._perform(request, request_id, exchange, sink)
            if refusal is not None:
                self._record_refusal(refusal, request, request_id)
                await sink.refuse(refusal)
        except ClientGoneError:
            self._metrics.count("client_gone")
            raise
        except Exception as error:
            self._log.error("border.request_failed", error, request_id=request_id)
            self._record_refusal(_INTERNAL, request, request_id)
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
            detail = f"{self._max_streams} requests are in progress"
            return Refusal(kind=ErrorKind.QUEUE_FULL, detail=detail, retry_after_s=1.0)
        match = found.ok_value
        call = CallerRequest(
            request=request,
            request_id=request_id,
            values_by_name=match.values_by_name,
            caller=None,
            timeout_s=timeout_s.ok_value,
            sink=sink,
            exchange=exchange,
        )
        if match.entry.may_be_open and self.service_proxy.is_open(call.values_by_name):
            return await self._perform_within_deadline(match, call)
        identified = self.authenticator.identify(request)
        if isinstance(identified, Err):
            return identified.err_value
        call.caller = identified.ok_value
        return await self._perform_authenticated(match, call)

    async def _perform_authenticated(
        self, match: EndpointMatch, call: CallerRequest
    ) -> Refusal | None:
        """Perform a request, and cancel it if its key becomes invalid."""
        tracked = TrackedRequest(call.caller)
        self.authenticator.track(tracked)
        refusal: Refusal | None = None
        try:
            with tracked.scope:
                refusal = await self._perform_rate_limited(match, call)
        finally:
            self.authenticator.untrack(tracked)
        if tracked.scope.cancelled_caught and tracked.cancel_refusal is not None:
            return replace(tracked.cancel_refusal, ran=Ran.UNKNOWN)
        return refusal

    async def _perform_rate_limited(
        self, match: EndpointMatch, call: CallerRequest
    ) -> Refusal | None:
        if match.entry.is_rate_limited:
            started_s = trio.current_time()
            admitted = await self._rates.admit(call.caller.account_id)
            self._metrics.record("admission", trio.current_time() - started_s)
            if isinstance(admitted, Err):
                return admitted.err_value
        return await self._perform_within_deadline(match, call)

    async def _perform_within_deadline(
        self, match: EndpointMatch, call: CallerRequest
    ) -> Refusal | None:
        # The owner applies the same deadline and knows whether the call ran, so its refusal is
        # awaited first. A retry is suggested only for programs: their calls continue or are
        # recorded, so a repeat is safe. A call to a plain service may be neither.
        with trio.move_on_after(call.timeout_s + OWNER_REPLY_MARGIN_S):
            return await match.entry.perform(self, call)
        return Refusal(
            kind=ErrorKind.DEADLINE_EXCEEDED,
            detail=f"not answered within {call.timeout_s:g} s",
            ran=Ran.UNKNOWN,
            retry_after_s=0.0 if match.entry.may_be_open else DEADLINE_RETRY_AFTER_S,
        )

    def _record_refusal(self, refusal: Refusal, request: HttpRequest, request_id: str) -> None:
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
