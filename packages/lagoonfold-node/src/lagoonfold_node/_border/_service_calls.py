"""The endpoint of plain services."""

from result import Err

from lagoonfold import ErrorKind, Refusal
from lagoonfold_node._border._border import Border, Call
from lagoonfold_node._border._endpoints import ANY_METHOD, REST, endpoint
from lagoonfold_node._border._plain_calls import OPEN_ACCOUNT, PlainCall
from lagoonfold_node._border._requests import read_token


@endpoint(ANY_METHOD, "/v1/services/{route}/" + REST, is_counted=True, may_be_open=True)
async def call_service(border: Border, call: Call) -> Refusal | None:
    """Call a plain service, with the path that follows the route's name."""
    name = call.values_by_name["route"]
    route = border.plain_calls.find_route(name)
    key = read_token(call.request, "idempotency-key", default="-")
    if route is None:
        return Refusal(kind=ErrorKind.NOT_FOUND, detail=f"no service route {name}")
    if isinstance(key, Err):
        return key.err_value
    account_id = call.caller.account_id if call.caller else OPEN_ACCOUNT
    if call.caller and not border.plain_calls.allows(account_id, route):
        detail = f"no profile of this account has the route {name}"
        return Refusal(kind=ErrorKind.FORBIDDEN, detail=detail)
    plain = PlainCall(
        route=route,
        request=call.request,
        rest=call.values_by_name.get("rest", ""),
        account_id=account_id,
        request_id=call.request_id,
        idempotency_key=key.ok_value.removeprefix("-"),
        timeout_s=call.timeout_s,
    )
    return await border.plain_calls.make(plain, call.sink)
