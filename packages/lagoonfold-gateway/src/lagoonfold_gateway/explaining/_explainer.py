"""Explains where a request would go now by what this instance knows.

Reads `config`, `replicas` and `live`. The steps are those of a request that arrives: route, client
account, rate, pools. What they decide is asked of snapshots, so nothing is sent, drawn or counted.
"""

from dataclasses import replace

from result import Err, Ok

from lagoonfold import ErrorKind
from lagoonfold.explanations import (
    AccountExplanation,
    Decision,
    Explanation,
    Outcome,
    RouteExplanation,
    conclude,
)
from lagoonfold.forwarding import pick_service
from lagoonfold.rates import ProgramCall
from lagoonfold_gateway._board import ConfigView, GatewayBoard
from lagoonfold_gateway._member_controller import MemberController
from lagoonfold_gateway._pool_owners import PoolOwners
from lagoonfold_gateway._rate_limiter import MAX_WAIT_SHARE, MIN_RETRY_AFTER_S
from lagoonfold_gateway._rate_owner import RateOwner
from lagoonfold_gateway._request_state import RequestState
from lagoonfold_gateway.explaining._arrivals import (
    find_account,
    make_need,
    make_state,
    rejection,
    rejection_of,
)
from lagoonfold_gateway.explaining._pools import PoolExplainer
from lagoonfold_gateway.explaining._requests import ExplainRequest
from lagoonfold_gateway.placing import Dispatcher
from lagoonfold_gateway.placing._placement_refusals import no_replica


class Explainer:
    """Explains requests as if they arrived at this instance."""

    def __init__(
        self,
        board: GatewayBoard,
        members: MemberController,
        pool_owners: PoolOwners,
        rate_owner: RateOwner,
        dispatcher: Dispatcher,
        *,
        failure_domain: str,
        admits_by_program: bool,
    ) -> None:
        self._board = board
        self._members = members
        self._rate_owner = rate_owner
        self._pools = PoolExplainer(
            board, members.instance_id, pool_owners, dispatcher, failure_domain
        )
        self._admits_by_program = admits_by_program

    def explain(self, wanted: ExplainRequest, *, now_s: float) -> Explanation:
        """Return where a request would go now, and why."""
        view, live = self._board.config.read(), self._board.live.read()
        explanation = Explanation(
            instance=self._members.instance_id,
            config_version=view.config.version if view is not None else None,
            config_age_s=now_s - view.since_s if view is not None else None,
            members=len(live.ids),
            members_age_s=now_s - live.since_s,
        )
        explanation = self._follow(explanation, wanted, view, now_s)
        return replace(explanation, verdict=conclude(explanation))

    def _follow(
        self,
        explanation: Explanation,
        wanted: ExplainRequest,
        view: ConfigView | None,
        now_s: float,
    ) -> Explanation:
        """Follow the steps of a request up to the one that rejects it."""
        if view is None:
            detail = "no configuration has been read yet"
            return replace(explanation, rejection=rejection(ErrorKind.CONFIG_STALE, detail))
        route = view.routes.find(wanted.host, wanted.path)
        if route is None:
            detail = f"no route for host {wanted.host!r} and path {wanted.path!r}"
            return replace(explanation, rejection=rejection(ErrorKind.NOT_FOUND, detail))
        account = find_account(wanted, route, view)
        if isinstance(account, Err):
            explanation = replace(explanation, rejection=account.err_value)
        known = account.ok_value if isinstance(account, Ok) else None
        state = make_state(wanted, route, known, view, now_s)
        service = pick_service(route.targets, state.stream_id)
        explanation = replace(
            explanation,
            route=RouteExplanation(
                name=route.name, prefix=route.prefix, service=service, timeout_s=route.timeout_s
            ),
            account=self._explain_account(state, now_s),
        )
        directory = self._board.replicas.read()
        if explanation.rejection is None and not directory.available_for(service):
            explanation = replace(explanation, rejection=rejection_of(no_replica(service)))
        need = make_need(state, service, now_s, admits_by_program=self._admits_by_program)
        return replace(explanation, pools=self._pools.explain(need, now_s=now_s))

    def _explain_account(self, state: RequestState, now_s: float) -> AccountExplanation | None:
        account = state.account
        if account is None or account.limit is None:
            return None if account is None else AccountExplanation(name=account.name)
        owner = self._members.owner(account.name)
        explained = AccountExplanation(
            name=account.name,
            rate_per_s=account.limit.rate_per_s,
            burst=account.limit.burst,
            owner=owner,
            is_owned=owner == self._members.instance_id,
        )
        queue = self._rate_owner.snapshot(account.name) if explained.is_owned else None
        if queue is None:
            return explained
        call = ProgramCall(
            program_id=state.parsed.request_id,
            is_turn=state.route.is_program_turn,
            wait_s=MAX_WAIT_SHARE * (state.answer_deadline_s - state.arrived_s),
        )
        explained = replace(
            explained,
            tokens=queue.available(now_s=now_s),
            reserved=queue.reserved(now_s=now_s),
            waiting=len(queue),
        )
        wait_s = queue.expected_wait_s(call, now_s=now_s)
        asked, before = queue.request(object(), call, now_s=now_s), explained.waiting or 0
        if isinstance(asked, Err):
            retry_after_s = max(MIN_RETRY_AFTER_S, asked.err_value.retry_after_s)
            decision = Decision(
                outcome=Outcome.REJECTED, before=before, retry_after_s=retry_after_s
            )
        elif asked.ok_value:
            decision = Decision(outcome=Outcome.SERVED, wait_s=0.0)
        else:
            decision = Decision(outcome=Outcome.QUEUED, before=before, wait_s=wait_s)
        return replace(explained, decision=decision)
