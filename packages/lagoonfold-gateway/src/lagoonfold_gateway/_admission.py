"""Finds the route and the account of a request, or why it is not admitted.

Reads `config`. Nothing waits here: the decision rests on what is in memory.
"""

import math

from result import Err, Ok, Result

from lagoonfold import ErrorKind, Refusal
from lagoonfold.forwarding import AttemptHistory, ClientAccount, ForwardRoute
from lagoonfold_gateway._board import ConfigView
from lagoonfold_gateway._call import ForwardedCall, read_call
from lagoonfold_gateway._context import ForwardContext
from lagoonfold_gateway._crash_watch import digest_of_call
from lagoonfold_gateway._journey import Journey
from lagoonfold_io import HttpRequest

NO_CONFIG_RETRY_S = 0.3  # an instance that has just started has its configuration by then
MAX_TIME_S = 3_600.0  # of a request without a deadline on a route without a timeout


def admit(
    request: HttpRequest, context: ForwardContext, *, arrived_s: float
) -> Result[Journey, Refusal]:
    """Return the journey of a request that may go on."""
    view = context.board.config.read()
    if view is None:
        return Err(
            Refusal(
                kind=ErrorKind.CONFIG_STALE,
                detail="no configuration has been read yet",
                retry_after_s=NO_CONFIG_RETRY_S,
            )
        )
    read = read_call(request, context.dialect.headers)
    if isinstance(read, Err):
        return Err(Refusal(kind=ErrorKind.MALFORMED, detail=read.err_value))
    call = read.ok_value
    route = view.routes.find(call.host, request.path)
    if route is None:
        detail = f"no route for host {call.host!r} and path {request.path!r}"
        return Err(Refusal(kind=ErrorKind.NOT_FOUND, detail=detail))
    account = _account_of(call, route, view)
    if isinstance(account, Err):
        return account
    journey = _journey(call, route, account.ok_value, view, arrived_s)
    if context.crashes.is_refused(journey.digest):
        detail = f"request {call.request_id!r} has crashed the replicas that ran it"
        return Err(Refusal(kind=ErrorKind.POISONOUS, detail=detail))
    return Ok(journey)


def _account_of(
    call: ForwardedCall, route: ForwardRoute, view: ConfigView
) -> Result[ClientAccount | None, Refusal]:
    accounts_by_key = view.config.accounts_by_key
    if accounts_by_key is None or route.is_open:
        return Ok(None)
    account = accounts_by_key.get(call.api_key) if call.api_key is not None else None
    if account is None:
        return Err(Refusal(kind=ErrorKind.UNAUTHENTICATED, detail="the key is not known"))
    return Ok(account)


def _journey(
    call: ForwardedCall,
    route: ForwardRoute,
    account: ClientAccount | None,
    view: ConfigView,
    arrived_s: float,
) -> Journey:
    deadline_s = call.deadline_s if call.deadline_s is not None else math.inf
    limit_s = min(MAX_TIME_S, deadline_s, route.timeout_s)
    return Journey(
        call=call,
        route=route,
        account=account,
        config_version=view.config.version,
        arrived_s=arrived_s,
        give_up_s=arrived_s + limit_s,
        record=AttemptHistory(may_repeat=route.may_repeat, max_upstreams=route.max_upstreams),
        digest=digest_of_call(call, account.name if account is not None else ""),
    )
