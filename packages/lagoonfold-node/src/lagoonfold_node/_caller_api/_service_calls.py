"""The endpoint that proxies calls to plain services."""

from result import Err

from lagoonfold import ErrorKind, Refusal
from lagoonfold_node._caller_api._caller_api import CallerApi, CallerRequest
from lagoonfold_node._caller_api._endpoints import ANY_METHOD, REST, endpoint
from lagoonfold_node._caller_api._requests import read_identifier
from lagoonfold_node._caller_api._service_proxy import NO_ACCOUNT, ProxiedCall


@endpoint(ANY_METHOD, "/v1/services/{route}/" + REST, is_rate_limited=True, may_be_open=True)
async def call_service(caller_api: CallerApi, call: CallerRequest) -> Refusal | None:
    """Call a plain service at the path that follows the route's name."""
    name = call.values_by_name["route"]
    route = caller_api.service_proxy.find_route(name)
    key = read_identifier(call.request, "idempotency-key", default="-")
    if route is None:
        return Refusal(kind=ErrorKind.NOT_FOUND, detail=f"no service route {name}")
    if isinstance(key, Err):
        return key.err_value
    account_id = call.caller.account_id if call.caller else NO_ACCOUNT
    if call.caller and not caller_api.service_proxy.allows(account_id, route):
        detail = f"no profile of this account has the route {name}"
        return Refusal(kind=ErrorKind.FORBIDDEN, detail=detail)
    proxied = ProxiedCall(
        route=route,
        request=call.request,
        subpath=call.values_by_name.get("rest", ""),
        account_id=account_id,
        request_id=call.request_id,
        idempotency_key=key.ok_value.removeprefix("-"),
        timeout_s=call.timeout_s,
    )
    return await caller_api.service_proxy.make(proxied, call.sink)
