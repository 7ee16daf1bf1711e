"""Admits a request by its route and client account, or refuses it.

Reads `config`. The decision needs nothing but data in memory and does not wait.
"""

import math

from result import Err, Ok, Result

from lagoonfold import ErrorKind, Refusal
from lagoonfold.forwarding import AttemptHistory, ClientAccount, ForwardRoute
from lagoonfold_gateway._board import ConfigView
from lagoonfold_gateway._context import ForwardContext
from lagoonfold_gateway._parsed_request import ParsedRequest, parse_request
from lagoonfold_gateway._poison_tracker import request_digest
from lagoonfold_gateway._request_state import RequestState
from lagoonfold_io import HttpRequest

NO_CONFIG_RETRY_S = 0.3  # an instance that has just started has its configuration by then
MAX_TIMEOUT_S = 3_600.0  # of a request without a deadline on a route without a timeout


def admit(
    request: HttpRequest, context: ForwardContext, *, arrived_s: float
) -> Result[RequestState, Refusal]:
    """Return the state of an admitted request, or the refusal."""
    view = context.board.config.read()
    if view is None:
        return Err(
            Refusal(
                kind=ErrorKind.CONFIG_STALE,
                detail="no configuration has been read yet",
                retry_after_s=NO_CONFIG_RETRY_S,
            )
        )
    read = parse_request(request, context.dialect.headers)
    if isinstance(read, Err):
        return Err(Refusal(kind=ErrorKind.MALFORMED, detail=read.err_value))
    parsed = read.ok_value
    route = view.routes.find(parsed.host, request.path)
    if route is None:
        detail = f"no route for host {parsed.host!r} and path {request.path!r}"
        return Err(Refusal(kind=ErrorKind.NOT_FOUND, detail=detail))
    account = _account_of(parsed, route, view)
    if isinstance(account, Err):
        return account
    request_state = _make_request_state(parsed, route, account.ok_value, view, arrived_s)
    if context.poison_tracker.is_poisonous(request_state.digest):
        detail = f"request {parsed.request_id!r} has crashed the replicas that ran it"
        return Err(Refusal(kind=ErrorKind.POISONOUS, detail=detail))
    return Ok(request_state)


def _account_of(
    parsed: ParsedRequest, route: ForwardRoute, view: ConfigView
) -> Result[ClientAccount | None, Refusal]:
    accounts_by_key = view.config.accounts_by_key
    if accounts_by_key is None or route.is_open:
        return Ok(None)
    account = accounts_by_key.get(parsed.api_key) if parsed.api_key is not None else None
    if account is None:
        return Err(Refusal(kind=ErrorKind.UNAUTHENTICATED, detail="the key is not known"))
    return Ok(account)


def _make_request_state(
    parsed: ParsedRequest,
    route: ForwardRoute,
    account: ClientAccount | None,
    view: ConfigView,
    arrived_s: float,
) -> RequestState:
    caller_timeout_s = parsed.caller_timeout_s if parsed.caller_timeout_s is not None else math.inf
    limit_s = min(MAX_TIMEOUT_S, caller_timeout_s, route.timeout_s)
    return RequestState(
        parsed=parsed,
        route=route,
        account=account,
        config_version=view.config.version,
        arrived_s=arrived_s,
        answer_deadline_s=arrived_s + limit_s,
        attempts=AttemptHistory(may_repeat=route.may_repeat, max_upstreams=route.max_upstreams),
        digest=request_digest(parsed, account.name if account is not None else ""),
    )
