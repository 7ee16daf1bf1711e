"""Runs the attempts of a forwarded request: selects a replica, sends, relays, retries."""

from collections import defaultdict
from dataclasses import dataclass, replace
from functools import partial

from result import Err, Ok, Result

from lagoonfold import ErrorKind, Ran, Refusal
from lagoonfold.forwarding import (
    AttemptOutcome,
    EventFilter,
    EventNumbers,
    OverdueHeads,
    Replica,
    RetryDecision,
    RouteKind,
    StreamOrigin,
    pick_service,
    queue_rank,
)
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._context import ForwardContext
from lagoonfold_gateway._request_state import RequestState
from lagoonfold_gateway.attempts._attempt_evidence import (
    describe_answer,
    describe_hedging,
    describe_replica,
    evidence_of,
)
from lagoonfold_gateway.attempts._attempt_refusals import answer_lost, no_path, unknown_origin
from lagoonfold_gateway.attempts._begun_programs import BegunPrograms
from lagoonfold_gateway.attempts._relay import (
    StreamState,
    finish_kept_turn,
    relay_plain,
    relay_stream,
)
from lagoonfold_gateway.attempts._upstream_attempt import (
    SUCCESS_BELOW,
    AttemptFailure,
    attempt_upstream,
    build_request,
    resume_from,
)
from lagoonfold_gateway.hedging import Claim, Hedger
from lagoonfold_gateway.placing import Placement, PlacementNeed
from lagoonfold_io import Exchange

MAX_PATH_FAULTS = 3  # replicas that neither this instance nor another could call


@dataclass(frozen=True, slots=True)
class _FailedAttempt:
    replica_id: str
    failure: AttemptFailure
    decision: RetryDecision


class AttemptRunner:
    """Runs the attempts of the requests of one instance."""

    def __init__(self, context: ForwardContext) -> None:
        self._context = context
        self._overdue_heads = OverdueHeads()
        self._hedger = Hedger(context, self._overdue_heads)
        self._begun_programs = BegunPrograms()
        self._numbers_by_service: defaultdict[str, EventNumbers] = defaultdict(EventNumbers)

    async def run(self, request_state: RequestState, exchange: Exchange) -> Refusal | None:
        """Attempt the request until it is answered; return the refusal if it cannot be."""
        service = pick_service(request_state.route.targets, request_state.stream_id)
        origin: StreamOrigin | None = None
        if request_state.is_stream_taken_up:
            found = await self._find_origin(service, request_state)
            if isinstance(found, Err):
                return found.err_value
            origin = found.ok_value
            service = origin.service if origin is not None else service
        self._count_tokens_by(service, request_state)
        last_event = request_state.parsed.last_event
        events = EventFilter(last_event, self._numbers_by_service[service])
        state = StreamState(events, delivered_id=last_event, origin=origin)
        only_id: str | None = None
        avoided_ids: set[str] = set()
        path_faults = 0
        while True:
            began_s = now_s()
            need = self._need(service, state, request_state, avoided_ids, only_id)
            placed = await self._context.placement_client.place(need)
            request_state.place_wait_s += now_s() - began_s
            if isinstance(placed, Err):
                return self._placement_refusal(placed.err_value, request_state)
            attempt = partial(self._attempt, state, request_state, exchange)
            *others, ended = await self._hedger.attempt(
                request_state, need, placed.ok_value, attempt
            )
            if isinstance(ended, Ok):
                self._begun_programs.record_answered(request_state)
                await finish_kept_turn(state, request_state, exchange, self._context)
                return None
            avoided_ids |= {other.err_value.replica_id for other in others}
            failed = ended.err_value
            failure, decision, replica_id = failed.failure, failed.decision, failed.replica_id
            if decision is RetryDecision.FAIL:
                return answer_lost(failure)
            path_faults += request_state.is_path_fault and failure.outcome.is_not_run
            if path_faults and (self._is_cut_off() or path_faults == MAX_PATH_FAULTS):
                return self._placement_refusal(no_path(failure), request_state)
            only_id = None
            if decision is RetryDecision.SAME_OR_GONE:
                only_id = self._id_if_available(replica_id, state.origin)
            elif failure.outcome is not AttemptOutcome.FULL:
                avoided_ids.add(replica_id)

    def _count_tokens_by(self, service: str, request_state: RequestState) -> None:
        """Count the tokens of a turn as the service does that serves it, of those of its route."""
        view, turn = self._context.board.config.read(), request_state.admitted_turn
        plan = view.config.services_by_name.get(service) if view is not None else None
        if turn is not None and plan is not None:
            turn.credit_meter.tokens_per_event = plan.tokens_per_event

    def _is_cut_off(self) -> bool:
        return self._context.replica_caller.is_cut_off

    async def _find_origin(
        self, service: str, request_state: RequestState
    ) -> Result[StreamOrigin | None, Refusal]:
        """Find out where a stream that the caller takes up began, if its route still allows it."""
        stream_id = request_state.parsed.resumed_request
        found = await self._context.version_controller.find(stream_id, service)
        if isinstance(found, Err):
            return Err(unknown_origin(found.err_value))
        origin = found.ok_value
        services = {target.service for target in request_state.route.targets}
        if origin is not None and origin.service not in services:
            reason = f"service {origin.service!r} no longer serves route"
            return Err(unknown_origin(f"{reason} {request_state.route.name!r}"))
        return found

    def record_no_room(self, request_state: RequestState) -> None:
        """Record that a request was refused since it got no place in time."""
        targets = request_state.route.targets
        self._hedger.record_no_room(pick_service(targets, request_state.stream_id))

    def _need(
        self,
        service: str,
        state: StreamState,
        request_state: RequestState,
        avoided_ids: set[str],
        only_id: str | None,
    ) -> PlacementNeed:
        version = state.origin.version if state.origin is not None else None
        replicas = self._context.board.replicas.read().available_for(service)
        if all(
            replica.replica_id in avoided_ids or version not in (None, replica.version)
            for replica in replicas
        ):
            avoided_ids = set()
        need = PlacementNeed(
            service=service,
            route=request_state.route.name,
            request_id=request_state.parsed.request_id,
            parts=request_state.parsed.parts,
            rank=queue_rank(
                request_state.rank, soft_deadline_s=request_state.soft_deadline_s, now_s=now_s()
            ),
            soft_deadline_s=request_state.soft_deadline_s,
            answer_deadline_s=request_state.answer_deadline_s,
            place_until_s=request_state.place_until_s,
            excluded=frozenset(avoided_ids) if only_id is None else frozenset(),
            only=only_id,
            expected_tokens=request_state.parsed.expected_tokens,
            version=version,
            affinity=request_state.affinity,
            prompt_tokens=request_state.parsed.prompt_tokens,
            output_tokens=request_state.parsed.output_tokens,
        )
        if not self._context.admits_by_program:
            return need
        return replace(
            need,
            account=request_state.account_name or None,
            is_begun=self._begun_programs.has_begun(request_state),
            program=request_state.program_with_objective,
            waiting_since_s=now_s(),
        )

    async def _attempt(
        self,
        state: StreamState,
        request_state: RequestState,
        exchange: Exchange,
        placement: Placement,
        claim: Claim,
    ) -> Result[None, _FailedAttempt]:
        """Make one attempt at the selected replica, and end the placement in any case."""
        replica = placement.selection.replica
        replica_id, attempts = replica.replica_id, request_state.attempts
        may_have_run_before = replica_id in attempts.may_have_run
        attempts.record_sent(replica_id)
        seen = request_state.fork()
        asked_after = state.events.last_id
        began_s = now_s()
        ended: Result[None, AttemptFailure] | None = None
        try:
            ended = await self._send(placement, state, request_state, seen, exchange, claim)
        finally:
            if claim.is_accepted:
                seen = request_state
            self._look_for_path_fault(ended, replica, seen)
            if not claim.is_overtaken:
                request_state.adopt_answer(seen)
            took_s = now_s() - began_s
            evidence = evidence_of(ended, seen, placement, claim, took_s)
            self._context.placement_client.end(placement, evidence)
            request_state.attempt_log.append(
                f"{describe_replica(placement)} {describe_answer(placement, seen)}"
                f" events={asked_after}..{state.events.last_id} delivered={state.delivered_id}"
                f" took={took_s:.3f}{describe_hedging(placement, claim)}"
            )
        if state.is_started and state.origin is None:
            state.origin = _origin_at(replica)
        if isinstance(ended, Ok):
            self._context.poison_tracker.record_completed(request_state.digest)
            return Ok(None)
        failure = ended.err_value
        request_state.attempt_log[-1] += f" {failure.outcome.value}: {failure.reason}"
        self._context.metrics.count("tries_failed", failure.outcome.value)
        self._look_for_crash(request_state, replica, failure)
        decision = attempts.record_outcome(
            replica_id, failure.outcome, may_have_run_before=may_have_run_before
        )
        can_go_on = request_state.route.can_resume and not state.has_unnumbered
        is_cut = state.is_started and not can_go_on
        if is_cut or failure.has_begun_answer:
            decision = RetryDecision.FAIL
        return Err(_FailedAttempt(replica_id, failure, decision))

    async def _send(
        self,
        placement: Placement,
        state: StreamState,
        request_state: RequestState,
        seen: RequestState,
        exchange: Exchange,
        claim: Claim,
    ) -> Result[None, AttemptFailure]:
        selection = placement.selection
        request = build_request(request_state, selection, self._context)
        if state.is_started and state.events.last_id is not None:
            name = self._context.dialect.headers.last_event
            request = resume_from(request, name, state.events.last_id)
        new_connection = request_state.attempts.losses > 0
        limit_s = self._head_limit_s(request_state, placement, state)
        began_s = now_s()
        async with attempt_upstream(
            seen,
            selection,
            request,
            self._context,
            new_connection=new_connection,
            head_limit_s=limit_s,
        ) as answered:
            if isinstance(answered, Err):
                is_overdue = limit_s is not None and now_s() - began_s >= limit_s
                if is_overdue and not request_state.is_hedged:
                    self._overdue_heads.record_overdue()
                    self._context.metrics.count("heads_overdue")
                return answered
            await claim.accept()
            request_state.adopt_answer(seen)
            response = answered.ok_value
            self._overdue_heads.record_head(request_state.route.name, seen.head_s or 0.0)
            is_success = response.head.status < SUCCESS_BELOW
            if request_state.route.kind is RouteKind.STREAM and is_success:
                self._record_begun(selection.replica, state, request_state)
                return await relay_stream(response, state, request_state, exchange, self._context)
            if state.is_started:
                reason = f"status {response.head.status} to a resumed stream"
                return Err(AttemptFailure(outcome=AttemptOutcome.LOST, reason=reason))
            return await relay_plain(response, request_state, exchange)

    def _record_begun(
        self, replica: Replica, state: StreamState, request_state: RequestState
    ) -> None:
        """Remember where a stream goes on, or where it begins once it does.

        An attempt that breaks off before the first event does not fix the version of the next.
        """
        record = partial(
            self._context.version_controller.record_begun,
            request_state.stream_id,
            state.origin or _origin_at(replica),
            is_split=len(request_state.route.targets) > 1,
        )
        if state.origin is not None:
            record()
        else:
            state.on_start = record

    def _look_for_path_fault(
        self, ended: Result[None, AttemptFailure] | None, replica: Replica, seen: RequestState
    ) -> None:
        """Note if an answer may have been lost on the path from a replica."""
        if isinstance(ended, Err) and ended.err_value.outcome is AttemptOutcome.LOST:
            is_faulty = self._context.replica_caller.must_relay(replica.address)
            seen.is_path_fault = is_faulty or seen.via is not None

    def _head_limit_s(
        self, request_state: RequestState, placement: Placement, state: StreamState
    ) -> float | None:
        """Return after how long the head of an answer is overdue; None if it may take all time.

        That is so for a request that may run once only, that has been sent before, that waits for a
        slot at the replica, or whose replica is cold.
        """
        selection = placement.selection
        is_sent_before = request_state.attempts.losses > 0 or placement.is_hedge
        is_first = not is_sent_before and not state.is_started
        has_slot = selection.requests < selection.replica.slots
        is_cold = self._context.cold.is_cold(selection.replica.replica_id, now_s=now_s())
        if is_cold or not (request_state.route.may_repeat and is_first and has_slot):
            return None
        return self._overdue_heads.limit_s(request_state.route.name)

    def _look_for_crash(
        self, request_state: RequestState, replica: Replica, failure: AttemptFailure
    ) -> None:
        """After a lost answer, find out whether the replica has crashed."""
        if failure.outcome is AttemptOutcome.LOST and failure.shows_fault:
            self._context.nursery.start_soon(
                self._record_crash, request_state.digest, replica, request_state.parsed.request_id
            )

    async def _record_crash(self, digest: str, replica: Replica, request_id: str) -> None:
        lost_s = now_s()
        if await self._context.replica_caller.is_down(replica.address):
            self._context.poison_tracker.record_crash(digest, replica, request_id, lost_s=lost_s)

    def _id_if_available(self, replica_id: str, origin: StreamOrigin | None) -> str | None:
        """Return the replica's id if it can go on with the request, otherwise None.

        It is to get new requests, and to be of the version that began the stream.
        """
        directory = self._context.board.replicas.read()
        replica = directory.get(replica_id)
        if replica is None or not directory.may_use(replica_id):
            return None
        return replica_id if origin in (None, _origin_at(replica)) else None

    def _placement_refusal(self, refusal: Refusal, request_state: RequestState) -> Refusal:
        """Return a placement refusal; it does not say "not run" if the request may have run."""
        if refusal.kind is ErrorKind.QUEUE_FULL:
            self.record_no_room(request_state)
        if request_state.attempts.has_not_run:
            return refusal
        return Refusal(kind=ErrorKind.UPSTREAM_FAILED, detail=refusal.detail, ran=Ran.UNKNOWN)


def _origin_at(replica: Replica) -> StreamOrigin:
    return StreamOrigin(replica.service, replica.version)
