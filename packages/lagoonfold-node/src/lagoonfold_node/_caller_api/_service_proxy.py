"""Calls to plain services outside programs.

A call to an idempotent route, without an idempotency key or without an account is made by the
instance where it arrives. Any other is made as the only call of a program created for it, whose id
is the digest of account, route and idempotency key: at whichever instance the call is repeated,
the same owner finds its record.
"""

from dataclasses import dataclass
from functools import partial

import trio
from result import Err, Ok, Result

from lagoonfold import (
    AccountId,
    CallId,
    ErrorKind,
    ProgramId,
    Ran,
    Refusal,
    RouteName,
    new_id,
)
from lagoonfold.config import Configuration, Route, RouteKind
from lagoonfold.records import digest_of_content
from lagoonfold_io import BeforeRead, HttpRequest, MemoryBudget, MemoryGate
from lagoonfold_node._board import Board
from lagoonfold_node._caller_api._caller_sink import CallerSink
from lagoonfold_node._caller_api._charged_answer import ChargedAnswer
from lagoonfold_node._caller_api._operation_forwarder import OperationForwarder
from lagoonfold_node._dispatch import Placement, PlacementRequest
from lagoonfold_node._execution import (
    AttemptResult,
    CreateProgram,
    RetryableCall,
    RunCall,
    ServiceRequest,
    encode_service_request,
    make_service_call,
    run_attempts,
)
from lagoonfold_node._problems import MEMORY_RETRY_AFTER_S
from lagoonfold_node._upstreams import (
    RequestIdentity,
    ServiceAnswer,
    UpstreamClients,
    UpstreamFailure,
)

NO_ACCOUNT = AccountId("")
UNLIMITED = 10**15
RECORD_RETENTION_S = 86_400.0  # wall-time limit of the program that holds the record
NO_PROFILE = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ProxiedCall:
    """A request to a service, from an account or on an open route."""

    route: Route
    request: HttpRequest
    subpath: str
    account_id: AccountId
    request_id: str
    idempotency_key: str
    timeout_s: float

    def upstream_request(self) -> ServiceRequest:
        """Return the request for the service."""
        return ServiceRequest(
            method=self.request.method,
            path=f"/{self.subpath}",
            query=self.request.query,
            content_type=self.request.header("content-type") or "",
            accept=self.request.header("accept") or "",
            body=self.request.body,
        )


class _NullSink:
    """Discards the answer to the program's creation."""

    has_streamed = False

    async def start(self, status: int, content_type: str) -> None:
        """Discard the head."""

    async def send(self, data: bytes) -> None:
        """Discard a part."""

    def write(self, data: bytes) -> bool:
        """Discard a part."""
        return True

    async def drain(self) -> None:
        """Return at once."""

    async def finish(self) -> None:
        """Discard the end."""


class ServiceProxy:
    """Makes calls to plain services for callers."""

    def __init__(
        self,
        board: Board,
        forwarder: OperationForwarder,
        upstream_clients: UpstreamClients,
        memory: MemoryGate | None = None,
    ) -> None:
        self._board = board
        self._forwarder = forwarder
        self._upstream_clients = upstream_clients
        self._memory = memory or MemoryGate(MemoryBudget(), lambda cause: None)

    def find_route(self, name: str) -> Route | None:
        """Return the route of a plain service, or None."""
        route = self._configuration().routes_by_name.get(RouteName(name))
        return route if route is not None and route.kind is RouteKind.SERVICE else None

    def is_open(self, values_by_name: dict[str, str]) -> bool:
        """Return whether a request's route needs no key."""
        route = self.find_route(values_by_name.get("route", ""))
        return route is not None and route.is_open

    def allows(self, account_id: AccountId, route: Route) -> bool:
        """Return whether one of the account's profiles has the route."""
        return any(
            account_id in profile.account_ids and route.name in profile.routes
            for profile in self._configuration().profiles_by_name.values()
        )

    async def make(self, call: ProxiedCall, sink: CallerSink) -> Refusal | None:
        """Make a call and write its answer to the sink."""
        is_recorded = call.idempotency_key and not call.route.is_idempotent
        if is_recorded and call.account_id != NO_ACCOUNT:
            return await self._make_recorded(call, sink)
        answer = ChargedAnswer(self._memory)
        try:
            return await self._make_charged(call, sink, answer)
        finally:
            answer.close()

    async def _make_charged(
        self, call: ProxiedCall, sink: CallerSink, charged: ChargedAnswer
    ) -> Refusal | None:
        answered = await charged.read(partial(self._make_locally, call))
        if answered is None:
            return _evicted(call.route)
        if isinstance(answered, Err):
            return answered.err_value
        answer = answered.ok_value
        await sink.start(answer.status, answer.content_type)
        await sink.send(answer.body)
        await sink.finish()
        return None

    def _configuration(self) -> Configuration:
        return self._board.config.read().configuration

    async def _make_recorded(self, call: ProxiedCall, sink: CallerSink) -> Refusal | None:
        """Make a call in its own program, so that it runs at most once for its key."""
        parts = (call.account_id, call.route.name, call.idempotency_key)
        program_id = f"svc-{digest_of_content(*(part.encode() for part in parts))}"
        common = {
            "request_id": call.request_id,
            "account_id": call.account_id,
            "program_id": program_id,
            "timeout_s": call.timeout_s,
        }
        create = CreateProgram(
            **common,
            profile=NO_PROFILE,
            parent_id="",
            tokens=UNLIMITED,
            calls=UNLIMITED,
            cost_micros=UNLIMITED,
            wall_s=RECORD_RETENTION_S,
        )
        refusal = await self._forwarder.perform(create, _NullSink())
        if refusal is not None:
            return refusal
        run = RunCall(
            **common,
            turn=1,
            route=call.route.name,
            idempotency_key=call.idempotency_key,
            body=encode_service_request(call.upstream_request()),
        )
        return await self._forwarder.perform(run, sink)

    async def _make_locally(
        self, call: ProxiedCall, before_read: BeforeRead
    ) -> Result[ServiceAnswer, Refusal]:
        call_id = CallId(new_id("call"))
        deadline_s = trio.current_time() + min(call.timeout_s, call.route.timeout_s)
        service_request = call.upstream_request()
        identity = RequestIdentity(request_id=call.request_id, idempotency_key=call.idempotency_key)

        async def send(
            placement: Placement,
        ) -> Result[AttemptResult[ServiceAnswer], UpstreamFailure]:
            sent = make_service_call(
                service_request,
                address=placement.address,
                identity=identity,
                is_idempotent=call.route.is_idempotent,
                deadline_s=deadline_s,
            )
            called = await self._upstream_clients.services.call(sent, before_read)
            return called.map(lambda answer: AttemptResult(value=answer))

        content = encode_service_request(service_request)
        request = PlacementRequest(
            call_id=call_id,
            program_id=ProgramId(call_id),
            account_id=call.account_id,
            target=call.route.target,
            content_digest=digest_of_content(call.route.name.encode(), content),
            deadline_s=deadline_s,
            is_model=False,
        )
        retryable_call = RetryableCall(
            request=request, send=send, is_idempotent=call.route.is_idempotent
        )
        answered = await run_attempts(self._upstream_clients.dispatcher, retryable_call)
        if isinstance(answered, Ok) or call.route.is_idempotent:
            return answered
        return Err(_outcome_unknown(answered.err_value))


def _evicted(route: Route) -> Refusal:
    """Return the refusal of a call whose answer there was no memory for."""
    refusal = Refusal(
        kind=ErrorKind.QUEUE_FULL,
        detail="no memory for the answer",
        ran=Ran.UNKNOWN,
        retry_after_s=MEMORY_RETRY_AFTER_S if route.is_idempotent else 0.0,
    )
    return refusal if route.is_idempotent else _outcome_unknown(refusal)


def _outcome_unknown(refusal: Refusal) -> Refusal:
    """Return a refusal that reports an unknown outcome unless the call did not run."""
    if refusal.ran is Ran.NO:
        return refusal
    detail = f"{refusal.detail}; the outcome is unknown and it was not run again"
    return Refusal(kind=ErrorKind.OUTCOME_UNKNOWN, detail=detail, ran=Ran.UNKNOWN)
