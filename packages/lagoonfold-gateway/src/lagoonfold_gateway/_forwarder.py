"""Handles a forwarded request from its arrival to its final answer.

Reads `config` and `replicas`. The order is: route, API key, rate, budget, replica. As long as no
replica can have begun the request, a refusal says "not run"; after that none does. The final answer
is sent at the route's timeout or the caller's deadline at the latest, and before a stop ends.
"""

import math

import trio
from result import Err

from lagoonfold import PROBLEM_TYPES_BY_KIND, ErrorKind, Ran, Refusal
from lagoonfold.rates import ProgramCall
from lagoonfold_gateway._admission import admit
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._context import ForwardContext
from lagoonfold_gateway._rate_limiter import MAX_WAIT_SHARE, TokenReceipt
from lagoonfold_gateway._refusals import refusal_response
from lagoonfold_gateway._request_state import RequestState
from lagoonfold_gateway.attempts._attempt_runner import AttemptRunner
from lagoonfold_io import Exchange, HttpRequest
from lagoonfold_io.observe import EventLog

_log = EventLog("requests")


class Forwarder:
    """Serves the forwarded requests of one instance."""

    def __init__(self, context: ForwardContext) -> None:
        self._context = context
        self._attempt_runner = AttemptRunner(context)
        self.active_requests = 0
        self._until_s = math.inf
        self._scopes: set[trio.CancelScope] = set()

    def answer_all_until(self, until_s: float) -> None:
        """Send each final answer until then, in seconds on this instance's clock, at the latest."""
        self._until_s = until_s
        latest = trio.current_time() + until_s - now_s()
        for scope in self._scopes:
            scope.deadline = min(scope.deadline, latest)

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request from the HTTP server."""
        self.active_requests += 1
        try:
            await self._handle(request, exchange)
        finally:
            self.active_requests -= 1

    async def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        arrived_s = now_s()
        admitted = admit(request, self._context, arrived_s=arrived_s)
        if isinstance(admitted, Err):
            await self._refuse(admitted.err_value, request, exchange)
            return
        request_state = admitted.ok_value
        try:
            time = await self._serve_in_time(request_state, exchange)
            if time.cancelled_caught:
                await self._answer_timeout(request_state, exchange)
        except BaseException:
            request_state.outcome = (
                "caller-left" if request_state.outcome == "unfinished" else request_state.outcome
            )
            raise
        finally:
            request_state.chain.close()
            self._end_turn(request_state)
            self._log_request(request_state)

    async def _serve_in_time(
        self, request_state: RequestState, exchange: Exchange
    ) -> trio.CancelScope:
        """Serve a request until its deadline; return the scope that says whether it was over."""
        deadline_s = min(request_state.answer_deadline_s, self._until_s)
        request_state.answer_deadline_s = deadline_s
        with trio.move_on_after(deadline_s - now_s()) as time:
            self._scopes.add(time)
            try:
                await self._serve(request_state, exchange)
            finally:
                self._scopes.discard(time)
        return time

    async def _serve(self, request_state: RequestState, exchange: Exchange) -> None:
        refused = await self._acquire_rate_and_budget(request_state)
        if refused is None:
            refused = await self._attempt_runner.run(request_state, exchange)
        if refused is None:
            request_state.outcome = "answered"
            return
        await self._answer(refused, request_state, exchange)

    async def _acquire_rate_and_budget(self, request_state: RequestState) -> Refusal | None:
        """Acquire a rate token and admission of the turn; refund the token of a refused turn."""
        account = request_state.account
        receipt: TokenReceipt | None = None
        if account is not None:
            began_s = now_s()
            call = _program_call(request_state)
            taken = await self._context.rate_limiter.acquire_token(account, call)
            request_state.rate_wait_s = now_s() - began_s
            if isinstance(taken, Err):
                return taken.err_value
            receipt = taken.ok_value
        refused = await self._read_history(request_state)
        if refused is None:
            refused = await self._admit_turn(request_state)
        if refused is not None and receipt is not None:
            is_exhausted = refused.kind is ErrorKind.BUDGET_EXHAUSTED
            self._context.rate_limiter.give_back(
                receipt, exhausted_program=call.program_id if is_exhausted else None
            )
        return refused

    async def _read_history(self, request_state: RequestState) -> Refusal | None:
        """Read what a turn continues from, on a route that keeps histories."""
        if not request_state.route.keeps_history:
            return None
        if request_state.is_stream_taken_up:
            # The text of the events that the caller has is at the instance that sent them.
            return Refusal(
                kind=ErrorKind.HISTORY_UNAVAILABLE,
                detail="a turn that is kept is answered from its start",
                retry_after_s=0.1,
            )
        history_client = self._context.history_client
        refused = history_client.refuse_if_disks_are_missing()
        parsed = request_state.parsed
        if refused is not None or parsed.previous_turn is None:
            return refused
        began_s = now_s()
        found = await history_client.find_chain(
            parsed.previous_turn,
            request_state.account_name,
            parsed.turn.program if parsed.turn is not None else parsed.request_id,
        )
        request_state.chain_wait_s = now_s() - began_s
        if isinstance(found, Err):
            return found.err_value
        request_state.chain = found.ok_value
        return None

    async def _admit_turn(self, request_state: RequestState) -> Refusal | None:
        turn = request_state.parsed.turn
        if turn is None or not request_state.route.is_program_turn or not turn.budget_tokens:
            return None
        started = await self._context.budget_client.start_turn(
            program=turn.program,
            turn_id=request_state.parsed.request_id,
            budget=turn.budget_tokens,
            max_tokens=turn.max_tokens,
            retention_s=request_state.route.retention_s,
        )
        if isinstance(started, Err):
            return started.err_value
        request_state.admitted_turn = started.ok_value
        return None

    async def _answer_timeout(self, request_state: RequestState, exchange: Exchange) -> None:
        """Answer a request whose deadline has passed, or cut an answer that has been started."""
        if exchange.started:
            request_state.outcome = "cut-at-timeout"
            exchange.abort()
            return
        if request_state.attempts.has_not_run:
            self._attempt_runner.record_no_room(request_state)
            detail = "no replica had capacity in time"
            await self._answer(
                Refusal(kind=ErrorKind.QUEUE_FULL, detail=detail), request_state, exchange
            )
            return
        detail = "no answer in time"
        await self._answer(
            Refusal(kind=ErrorKind.DEADLINE_EXCEEDED, detail=detail, ran=Ran.UNKNOWN),
            request_state,
            exchange,
        )

    async def _answer(
        self, refusal: Refusal, request_state: RequestState, exchange: Exchange
    ) -> None:
        request_state.outcome = refusal.kind.value
        request_state.attempt_log.append(refusal.detail)
        request_state.status = PROBLEM_TYPES_BY_KIND[refusal.kind].status
        self._context.metrics.count("refusals", refusal.kind.value)
        if exchange.started:
            exchange.abort()
            return
        await exchange.respond(refusal_response(refusal))

    async def _refuse(self, refusal: Refusal, request: HttpRequest, exchange: Exchange) -> None:
        """Answer a request that was not admitted."""
        self._context.metrics.count("refusals", refusal.kind.value)
        view = self._context.board.config.read()
        _log.info(
            "request.refused",
            request_id=request.header(self._context.dialect.headers.request_id),
            kind=refusal.kind.value,
            detail=refusal.detail,
            config_version=view.config.version if view is not None else None,
        )
        await exchange.respond(refusal_response(refusal))

    def _end_turn(self, request_state: RequestState) -> None:
        if request_state.admitted_turn is not None:
            request_state.admitted_turn.has_ended = True
            self._context.nursery.start_soon(
                self._context.budget_client.end_turn, request_state.admitted_turn
            )

    def _log_request(self, request_state: RequestState) -> None:
        """Log the outcome of a request and count it."""
        took_s = now_s() - request_state.arrived_s
        turn = request_state.parsed.turn
        admitted_turn = request_state.admitted_turn
        first_s = request_state.first_byte_s
        self._context.metrics.count("requests", request_state.outcome)
        self._context.metrics.record(f"{request_state.route.kind.name.lower()}_requests", took_s)
        _log.info(
            "request.done",
            request_id=request_state.parsed.request_id,
            program=turn.program if turn is not None else None,
            route=request_state.route.name,
            account=request_state.account.name if request_state.account is not None else None,
            config_version=request_state.config_version,
            outcome=request_state.outcome,
            status=request_state.status,
            took_s=round(took_s, 4),
            first_byte_s=None if first_s is None else round(first_s - request_state.arrived_s, 4),
            rate_wait_s=round(request_state.rate_wait_s, 4),
            place_wait_s=round(request_state.place_wait_s, 4),
            previous_turn=request_state.parsed.previous_turn,
            chain_turns=len(request_state.chain.turns),
            chain_wait_s=round(request_state.chain_wait_s, 4),
            keep_wait_s=round(request_state.keep_wait_s, 4),
            limit_s=round(request_state.answer_deadline_s - request_state.arrived_s, 3),
            program_left_s=turn.time_left_s if turn is not None else None,
            last_event=request_state.parsed.last_event,
            resumes=request_state.parsed.resumed_request,
            tries=request_state.attempt_log,
            owner=admitted_turn.owner if admitted_turn is not None else None,
            handed=(
                admitted_turn.credit_meter.delivered_tokens if admitted_turn is not None else None
            ),
            credit=admitted_turn.credit_meter.credit if admitted_turn is not None else None,
        )


def _program_call(request_state: RequestState) -> ProgramCall:
    turn = request_state.parsed.turn
    return ProgramCall(
        program_id=turn.program if turn is not None else request_state.parsed.request_id,
        is_turn=request_state.route.is_program_turn,
        wait_s=MAX_WAIT_SHARE * (request_state.answer_deadline_s - request_state.arrived_s),
        time_left_s=turn.time_left_s if turn is not None else None,
    )
