"""Passes requests on to replicas for other gateways that cannot reach them.

Reads `replicas`. Only listed replicas are called, and only directly, so that a request takes one
more hop at most. The answer is passed on as it arrives; one that breaks off is broken off here. A
request that comes again is sent on a new connection: a late copy of the answer before has its id.
"""

from result import Err

from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway._dialect import HeaderNames
from lagoonfold_gateway._parsed_request import headers_to_return, without_hop_by_hop
from lagoonfold_gateway._proxy_faults import (
    ProxyFault,
    fault_response,
    without_proxy_status,
)
from lagoonfold_gateway._replica_caller import ReplicaCaller, is_unreached
from lagoonfold_gateway.attempts._upstream_attempt import MAX_IDLE_AT_MOST_ONCE_S, says_not_run
from lagoonfold_io import (
    Exchange,
    Headers,
    HttpClient,
    HttpError,
    HttpRequest,
    ResponseStream,
    StreamError,
    find_header,
)

SCHEME = "http://"
MAX_ANSWER_S = 3_600.0  # the gateway that sent the request gives it up long before
MAX_REMEMBERED_REQUESTS = 4_096  # of many seconds; a request comes again within a few


class ReplicaRelay:
    """Serves the requests that other gateways send to replicas by way of this one."""

    def __init__(
        self, board: GatewayBoard, caller: ReplicaCaller, client: HttpClient, names: HeaderNames
    ) -> None:
        self._board = board
        self._caller = caller
        self._client = client
        self._names = names
        self._seen_ids: dict[str, None] = {}

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request, whose target is a whole URL."""
        address, _, target = request.target.removeprefix(SCHEME).partition("/")
        if not self._may_use(address):
            await exchange.respond(fault_response(ProxyFault.NOT_RELAYED))
        elif self._caller.cannot_tell(address):
            await exchange.respond(fault_response(ProxyFault.CUT_OFF))
        else:
            await self._pass_on(address, f"/{target}", request, exchange)

    def _may_use(self, address: str) -> bool:
        """Return whether a replica with that address is listed and not evacuated."""
        directory = self._board.replicas.read()
        return any(
            replica.address == address and replica.failure_domain not in directory.evacuated_domains
            for replica in directory.all()
        )

    async def _pass_on(
        self, address: str, target: str, request: HttpRequest, exchange: Exchange
    ) -> None:
        passed_on = HttpRequest(
            method=request.method,
            path=target.partition("?")[0],
            target=target,
            headers=without_hop_by_hop(request.headers),
            body=request.body,
        )
        request_id = request.header(self._names.request_id)

        def is_own(headers: Headers) -> bool:
            return find_header(headers, self._names.request_id) in (None, request_id)

        async with self._client.stream(
            address,
            passed_on,
            progress_timeout_s=MAX_ANSWER_S,
            new_connection=self._has_seen(request_id),
            max_idle_s=MAX_IDLE_AT_MOST_ONCE_S,
            is_own=is_own,
        ) as answer:
            self._caller.record_direct(address, answer)
            if isinstance(answer, Err):
                await exchange.respond(fault_response(self._fault(answer, address)))
                return
            response = answer.ok_value
            # A copy of the refusal could come as the answer when the request is sent once more.
            response.is_last_on_connection = says_not_run(response.head, self._names)
            await _relay(response, exchange)

    def _has_seen(self, request_id: str | None) -> bool:
        """Return whether a request came before, and remember it."""
        if request_id is None:
            return False
        if request_id in self._seen_ids:
            return True
        self._seen_ids[request_id] = None
        if len(self._seen_ids) > MAX_REMEMBERED_REQUESTS:
            del self._seen_ids[next(iter(self._seen_ids))]
        return False

    def _fault(self, answer: Err[HttpError], address: str) -> ProxyFault:
        if answer.err_value.is_pool_exhausted:
            return ProxyFault.NOT_RELAYED
        if not is_unreached(answer):
            return ProxyFault.ANSWER_LOST
        is_own_fault = self._caller.cannot_tell(address)
        return ProxyFault.CUT_OFF if is_own_fault else ProxyFault.REPLICA_UNREACHED


async def _relay(response: ResponseStream, exchange: Exchange) -> None:
    head = response.head
    await exchange.start(head.status, without_proxy_status(headers_to_return(head.headers)))
    try:
        while data := await response.read(use_timeout=False):
            await exchange.send(data)
    except StreamError:
        exchange.abort()
        return
    await exchange.finish()
