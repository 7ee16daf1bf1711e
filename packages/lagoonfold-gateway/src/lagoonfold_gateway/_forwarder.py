"""Takes a request from its arrival to its final answer.

Reads `config` and `replicas`. The order is: route, key, rate, budget, replica. Every refusal before
the first byte has left for a replica says "not run"; after that none does. The final answer comes
at the route's timeout or the caller's deadline at the latest.
"""

import trio
from result import Err

from lagoonfold import PROBLEM_TYPES_BY_KIND, ErrorKind, Ran, Refusal
from lagoonfold.rates import ProgramCall
from lagoonfold_gateway._admission import admit
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._context import ForwardContext
from lagoonfold_gateway._dispatch import Dispatcher
from lagoonfold_gateway._journey import Journey
from lagoonfold_gateway._refusals import refusal_response
from lagoonfold_gateway._tries import Tries
from lagoonfold_io import Exchange, HttpRequest
from lagoonfold_io.observe import EventLog

_log = EventLog("requests")


class Forwarder:
    """Serves the forwarded requests of one instance."""

    def __init__(self, context: ForwardContext, dispatcher: Dispatcher) -> None:
        self._context = context
        self._tries = Tries(context, dispatcher)
        self.active = 0

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request; the handler of the border's HTTP server."""
        self.active += 1
        try:
            await self._handle(request, exchange)
        finally:
            self.active -= 1

    async def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        arrived_s = now_s()
        admitted = admit(request, self._context, arrived_s=arrived_s)
        if isinstance(admitted, Err):
            await self._refuse(admitted.err_value, request, exchange)
            return
        journey = admitted.ok_value
        try:
            with trio.move_on_after(journey.give_up_s - now_s()) as time:
                await self._serve(journey, exchange)
            if time.cancelled_caught:
                await self._end_late(journey, exchange)
        except BaseException:
            journey.outcome = "caller-left" if journey.outcome == "unfinished" else journey.outcome
            raise
        finally:
            self._settle(journey)
            self._report(journey)

    async def _serve(self, journey: Journey, exchange: Exchange) -> None:
        refused = await self._take_rate_and_budget(journey)
        if refused is None:
            refused = await self._tries.run(journey, exchange)
        if refused is None:
            journey.outcome = "answered"
            return
        await self._answer(refused, journey, exchange)

    async def _take_rate_and_budget(self, journey: Journey) -> Refusal | None:
        """Take what the request costs; a turn that the budget does not hold costs no rate."""
        account = journey.account
        if account is not None:
            began_s = now_s()
            call = _program_call(journey)
            taken = await self._context.loans.take(account, call, self._context.nursery)
            journey.rate_wait_s = now_s() - began_s
            if isinstance(taken, Err):
                return taken.err_value
        refused = await self._take_budget(journey)
        if refused is not None and account is not None:
            self._context.loans.refund(account)
            if refused.kind is ErrorKind.BUDGET_EXHAUSTED:
                self._context.loans.mark_budget_exhausted(call.program_id)
        return refused

    async def _take_budget(self, journey: Journey) -> Refusal | None:
        turn = journey.call.turn
        if turn is None or not journey.route.is_program_turn or not turn.budget_tokens:
            return None
        service = journey.route.targets[0].service
        view = self._context.board.config.read()
        plan = view.config.services_by_name.get(service) if view is not None else None
        started = await self._context.budgets.start_turn(
            program=turn.program,
            turn_id=journey.call.request_id,
            budget=turn.budget_tokens,
            max_tokens=turn.most_tokens,
            tokens_per_event=plan.tokens_per_event if plan is not None else 1,
            retention_s=journey.route.retention_s,
        )
        if isinstance(started, Err):
            return started.err_value
        journey.hold = started.ok_value
        return None

    async def _end_late(self, journey: Journey, exchange: Exchange) -> None:
        """Give the final answer of a request whose time is over."""
        if exchange.started:
            journey.outcome = "cut-at-timeout"
            exchange.abort()
            return
        if journey.record.has_not_run:
            detail = "no replica had room in time"
            await self._answer(Refusal(kind=ErrorKind.QUEUE_FULL, detail=detail), journey, exchange)
            return
        detail = "no answer in time"
        await self._answer(
            Refusal(kind=ErrorKind.DEADLINE_EXCEEDED, detail=detail, ran=Ran.UNKNOWN),
            journey,
            exchange,
        )

    async def _answer(self, refusal: Refusal, journey: Journey, exchange: Exchange) -> None:
        journey.outcome = refusal.kind.value
        journey.tries.append(refusal.detail)
        journey.status = PROBLEM_TYPES_BY_KIND[refusal.kind].status
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

    def _settle(self, journey: Journey) -> None:
        if journey.hold is not None:
            journey.hold.is_over = True
            self._context.nursery.start_soon(self._context.budgets.end_turn, journey.hold)

    def _report(self, journey: Journey) -> None:
        """Log how a request went, and count it."""
        took_s = now_s() - journey.arrived_s
        turn = journey.call.turn
        hold = journey.hold
        first_s = journey.first_byte_s
        self._context.metrics.count("requests", journey.outcome)
        self._context.metrics.record(f"{journey.route.kind.name.lower()}_requests", took_s)
        _log.info(
            "request.done",
            request_id=journey.call.request_id,
            program=turn.program if turn is not None else None,
            route=journey.route.name,
            account=journey.account.name if journey.account is not None else None,
            config_version=journey.config_version,
            outcome=journey.outcome,
            status=journey.status,
            took_s=round(took_s, 4),
            first_byte_s=None if first_s is None else round(first_s - journey.arrived_s, 4),
            rate_wait_s=round(journey.rate_wait_s, 4),
            place_wait_s=round(journey.place_wait_s, 4),
            limit_s=round(journey.give_up_s - journey.arrived_s, 3),
            program_left_s=turn.time_left_s if turn is not None else None,
            tries=journey.tries,
            owner=hold.owner if hold is not None else None,
            handed=hold.tally.delivered_tokens if hold is not None else None,
            credit=hold.tally.credit if hold is not None else None,
        )


def _program_call(journey: Journey) -> ProgramCall:
    turn = journey.call.turn
    return ProgramCall(
        program_id=turn.program if turn is not None else journey.call.request_id,
        is_turn=journey.route.is_program_turn,
        timeout_s=journey.give_up_s - journey.arrived_s,
        time_left_s=turn.time_left_s if turn is not None else None,
    )
