"""The tries of a forwarded request: place, send, relay, and what follows a failure."""

from result import Err, Ok, Result

from lagoonfold import ErrorKind, Ran, Refusal
from lagoonfold.forwarding import (
    AttemptOutcome,
    EventFilter,
    Replica,
    ReplicaSelection,
    RetryDecision,
    RouteKind,
    SelectionInput,
    pick_service,
    queue_rank,
)
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._context import ForwardContext
from lagoonfold_gateway._dispatch import Dispatcher
from lagoonfold_gateway._journey import Journey
from lagoonfold_gateway._relay import StreamState, relay_plain, relay_stream
from lagoonfold_gateway._upstream_try import (
    TryFailure,
    build_request,
    resume_from,
    try_upstream,
)
from lagoonfold_io import Exchange

SUCCESS_BELOW = 300


class Tries:
    """Runs the tries of requests at one instance."""

    def __init__(self, context: ForwardContext, dispatcher: Dispatcher) -> None:
        self._context = context
        self._dispatcher = dispatcher

    async def run(self, journey: Journey, exchange: Exchange) -> Refusal | None:
        """Try until the request is answered; return the refusal to answer with otherwise."""
        service = pick_service(journey.route.targets, self._context.rng)
        state = StreamState(EventFilter(journey.call.last_event))
        only: str | None = None
        avoid: set[str] = set()
        while True:
            began_s = now_s()
            placed = await self._place(service, journey, avoid, only)
            journey.place_wait_s += now_s() - began_s
            if isinstance(placed, Err):
                return self._refusal_of(placed.err_value, journey)
            placement = placed.ok_value
            replica_id = placement.replica.replica_id
            ended = await self._try(service, placement, state, journey, exchange)
            if isinstance(ended, Ok):
                return None
            failure, step = ended.err_value
            if step is RetryDecision.FAIL:
                return _lost(failure)
            only = None
            if step is RetryDecision.SAME_OR_GONE:
                only = self._listed(replica_id)
            elif failure.outcome is not AttemptOutcome.FULL:
                avoid.add(replica_id)

    async def _place(
        self, service: str, journey: Journey, avoid: set[str], only: str | None
    ) -> Result[ReplicaSelection, Refusal]:
        replicas = self._context.board.replicas.read().available_for(service)
        if only is not None:
            avoid = {replica.replica_id for replica in replicas if replica.replica_id != only}
        elif all(replica.replica_id in avoid for replica in replicas):
            avoid = set()
        request = SelectionInput(
            typical_latency_s=self._context.usual.get(journey.route.name, "answer"),
            parts=journey.call.parts,
            excluded=frozenset(avoid),
        )
        return await self._dispatcher.place(
            service,
            request,
            rank=queue_rank(journey.rank, soft_deadline_s=journey.soft_deadline_s, now_s=now_s()),
            soft_deadline_s=journey.soft_deadline_s,
            wait_until_s=journey.give_up_s,
        )

    async def _try(
        self,
        service: str,
        placement: ReplicaSelection,
        state: StreamState,
        journey: Journey,
        exchange: Exchange,
    ) -> Result[None, tuple[TryFailure, RetryDecision]]:
        """Make one try at a replica that counts the request as sent; release it in any case."""
        replica_id = placement.replica.replica_id
        may_have_run_before = replica_id in journey.record.may_have_run
        journey.record.record_sent(replica_id)
        began_s = now_s()
        try:
            ended = await self._send(placement, state, journey, exchange)
        finally:
            self._dispatcher.release(service, replica_id)
            journey.tries.append(
                f"{replica_id} load={placement.requests} pace={placement.slowdown:.2f}"
                f" uncached={placement.uncached_tokens} took={now_s() - began_s:.3f}"
            )
        if isinstance(ended, Ok):
            self._note_answer(journey, placement, began_s)
            return Ok(None)
        failure = ended.err_value
        journey.tries[-1] += f" {failure.outcome.value}: {failure.reason}"
        self._context.metrics.count("tries_failed", failure.outcome.value)
        self._note_failure(journey, placement.replica, failure)
        step = journey.record.record_outcome(
            replica_id, failure.outcome, may_have_run_before=may_have_run_before
        )
        if step is not RetryDecision.FAIL and state.is_started and not journey.route.can_resume:
            step = RetryDecision.FAIL
        return Err((failure, step))

    async def _send(
        self, placement: ReplicaSelection, state: StreamState, journey: Journey, exchange: Exchange
    ) -> Result[None, TryFailure]:
        request = build_request(journey, placement, self._context)
        if state.is_started and state.events.last_id is not None:
            name = self._context.dialect.headers.last_event
            request = resume_from(request, name, state.events.last_id)
        new_connection = journey.record.losses > 0
        async with try_upstream(
            journey, placement, request, self._context, new_connection=new_connection
        ) as answered:
            if isinstance(answered, Err):
                return answered
            response = answered.ok_value
            is_success = response.head.status < SUCCESS_BELOW
            if journey.route.kind is RouteKind.STREAM and is_success:
                return await relay_stream(
                    response, state, journey, placement, exchange, self._context
                )
            if state.is_started:
                reason = f"status {response.head.status} to a resumed stream"
                return Err(TryFailure(outcome=AttemptOutcome.LOST, reason=reason))
            return await relay_plain(response, journey, exchange)

    def _note_answer(self, journey: Journey, placement: ReplicaSelection, began_s: float) -> None:
        context = self._context
        replica = placement.replica
        context.loads.record_success(replica.replica_id)
        context.crashes.note_end(journey.digest, replica)
        context.memory.record(replica.replica_id, replica.started, journey.call.parts)
        took_s = now_s() - began_s
        ratio = context.usual.note(journey.route.name, "answer", took_s)
        if journey.route.kind is not RouteKind.STREAM:
            context.loads.record_slowdown(replica.replica_id, ratio, now_s=now_s())

    def _note_failure(self, journey: Journey, replica: Replica, failure: TryFailure) -> None:
        loads = self._context.loads
        replica_id = replica.replica_id
        if failure.outcome is AttemptOutcome.FULL:
            loads.record_full(replica_id, now_s=now_s())
        elif failure.outcome is AttemptOutcome.LOST:
            loads.record_lost_response(replica_id, now_s=now_s())
            self._context.nursery.start_soon(
                self._context.crashes.note_lost,
                journey.digest,
                replica,
                journey.call.request_id,
            )
        else:
            loads.record_connect_failure(replica_id, now_s=now_s())

    def _listed(self, replica_id: str) -> str | None:
        """Return the replica's id while it may take requests."""
        replica = self._context.board.replicas.read().get(replica_id)
        return replica_id if replica is not None and not replica.is_draining else None

    def _refusal_of(self, refusal: Refusal, journey: Journey) -> Refusal:
        """Return a refusal to place, without a promise where the request may have run."""
        if journey.record.has_not_run:
            return refusal
        return Refusal(kind=ErrorKind.UPSTREAM_FAILED, detail=refusal.detail, ran=Ran.UNKNOWN)


def _lost(failure: TryFailure) -> Refusal:
    return Refusal(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        detail=f"the answer was lost: {failure.reason}",
        ran=Ran.UNKNOWN,
    )
