"""The state and the need that a request would have, from what an operator says of it."""

import math

from result import Err, Ok, Result

from lagoonfold import PROBLEM_TYPES_BY_KIND, ErrorKind, Refusal
from lagoonfold.explanations import Rejection
from lagoonfold.forwarding import AttemptHistory, ClientAccount, ForwardRoute, queue_rank
from lagoonfold.placement import PromptPart
from lagoonfold_gateway._admission import MAX_TIMEOUT_S
from lagoonfold_gateway._board import ConfigView
from lagoonfold_gateway._parsed_request import MILLISECONDS_PER_S, ParsedRequest
from lagoonfold_gateway._request_state import RequestState
from lagoonfold_gateway.explaining._requests import ExplainRequest
from lagoonfold_gateway.placing import PlacementNeed
from lagoonfold_gateway.placing._placement_orders import SESSION_PART_INDEX
from lagoonfold_io import HttpRequest


def find_account(
    wanted: ExplainRequest, route: ForwardRoute, view: ConfigView
) -> Result[ClientAccount | None, Rejection]:
    """Return the named account; without a name, neither key nor rate are looked at."""
    accounts_by_key = view.config.accounts_by_key
    if accounts_by_key is None or route.is_open or wanted.account is None:
        return Ok(None)
    for account in accounts_by_key.values():
        if account.name == wanted.account:
            return Ok(account)
    detail = f"no key of a client account {wanted.account!r} is known"
    return Err(rejection(ErrorKind.UNAUTHENTICATED, detail))


def make_state(
    wanted: ExplainRequest,
    route: ForwardRoute,
    account: ClientAccount | None,
    view: ConfigView,
    now_s: float,
) -> RequestState:
    """Return the state that the request would have on arrival."""
    deadline_ms = wanted.deadline_ms
    timeout_s = math.inf if deadline_ms is None else deadline_ms / MILLISECONDS_PER_S
    parsed = ParsedRequest(
        request=HttpRequest(method="POST", path=wanted.path),
        request_id=wanted.request_id,
        host=wanted.host,
        api_key=None,
        caller_timeout_s=timeout_s,
        turn=None,
        parts=tuple(PromptPart(part.id, part.tokens) for part in wanted.parts),
        last_event=None,
        prompt_tokens=wanted.prompt_tokens,
        output_tokens=wanted.output_tokens,
    )
    return RequestState(
        parsed=parsed,
        route=route,
        account=account,
        config_version=view.config.version,
        arrived_s=now_s,
        answer_deadline_s=now_s + min(MAX_TIMEOUT_S, timeout_s, route.timeout_s),
        attempts=AttemptHistory(may_repeat=route.may_repeat, max_upstreams=route.max_upstreams),
        digest="",
    )


def make_need(
    state: RequestState, service: str, now_s: float, *, admits_by_program: bool
) -> PlacementNeed:
    """Return what the request would need of a replica."""
    return PlacementNeed(
        service=service,
        route=state.route.name,
        request_id=state.parsed.request_id,
        parts=state.parsed.parts,
        rank=queue_rank(state.rank, soft_deadline_s=state.soft_deadline_s, now_s=now_s),
        soft_deadline_s=state.soft_deadline_s,
        answer_deadline_s=state.answer_deadline_s,
        place_until_s=state.place_until_s,
        prompt_tokens=state.parsed.prompt_tokens,
        output_tokens=state.parsed.output_tokens,
        account=(state.account_name or None) if admits_by_program else None,
        is_begun=not admits_by_program or len(state.parsed.parts) > SESSION_PART_INDEX + 1,
        waiting_since_s=now_s if admits_by_program else None,
    )


def rejection(kind: ErrorKind, detail: str, retry_after_s: float = 0.0) -> Rejection:
    """Return the rejection of a kind with its status."""
    return Rejection(
        status=PROBLEM_TYPES_BY_KIND[kind].status,
        kind=kind.value,
        detail=detail,
        retry_after_s=retry_after_s,
    )


def rejection_of(refusal: Refusal) -> Rejection:
    """Return the rejection that a refusal is for its caller."""
    return rejection(refusal.kind, refusal.detail, refusal.retry_after_s)
