"""One instance's scheduler in the model: the library's queue, chooser, caches and admission."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err

from bench.policy._clock import Clock
from bench.policy._engine import Engine, EngineCall
from bench.policy._pace import STEP_S, Pacer
from bench.policy._policy import ModelCall, Policy
from bench.policy._reported_load import ReportedLoad
from bench.policy._workloads import ACCOUNT_SHARES
from lagoonfold import AccountId, CallId, ProgramId, UpstreamId
from lagoonfold.rates import RateMeter
from lagoonfold.resilience import CircuitBreaker
from lagoonfold.scheduling import (
    ADMISSION_POLICIES_BY_NAME,
    CHOOSERS_BY_NAME,
    AdmissionInput,
    CachedPrefixes,
    CacheEvent,
    CacheEventKind,
    DispatchQueue,
    DurationAverage,
    LoadReport,
    MonitoredCall,
    PlacementInput,
    QueuedCall,
    ReplicaLoad,
    estimate_service_s,
    priority_of,
)


@dataclass(slots=True)
class _Measures:
    ends: RateMeter = field(default_factory=RateMeter)
    call_s: DurationAverage = field(default_factory=lambda: DurationAverage(initial_s=2.0))


class Scheduler:
    """The scheduler of one entry instance, with its own lagging view of the engines."""

    def __init__(
        self,
        policy: Policy,
        engines: list[Engine],
        clock: Clock,
        rng: random.Random,
        name: str = "",
    ) -> None:
        self.policy = policy
        self.prefixes = CachedPrefixes()
        self.queue = DispatchQueue(discipline=policy.order)
        self._chooser = CHOOSERS_BY_NAME[policy.chooser](overcommit_factor=policy.allowance)
        self._admission = ADMISSION_POLICIES_BY_NAME[policy.admission]()
        self._clock = clock
        self._rng = rng
        self._engines_by_id = {UpstreamId(f"e-{e.number}"): e for e in engines}
        load_type = ReplicaLoad if policy.counts_sent else ReportedLoad
        self._loads_by_id = {
            upstream_id: load_type(upstream_id, slots=engine.size.slots, lag_s=1.0)
            for upstream_id, engine in self._engines_by_id.items()
        }
        self._breakers_by_id = {
            upstream_id: CircuitBreaker() for upstream_id in self._engines_by_id
        }
        self._measures = _Measures()
        self._running = 0
        self.pacer = Pacer(name, list(self._engines_by_id), clock)
        if policy.sees_pace:
            clock.after(STEP_S, self._watch_paces)

    def note_report(self, number: int, load: tuple[int, int, int]) -> None:
        """Take in a lagging load report."""
        running, waiting, cached_tokens = load
        upstream_id = UpstreamId(f"e-{number}")
        size = self._engines_by_id[upstream_id].size
        report = LoadReport(
            running=running,
            waiting=waiting,
            slots=size.slots,
            cached_tokens=cached_tokens,
            capacity_tokens=size.cache_tokens,
        )
        self._loads_by_id[upstream_id].record_report(report, now_s=self._clock.now_s)
        self.pump()

    def note_cache_event(
        self, number: int, sequence: int, kind: str, program_id: str, tokens: int
    ) -> None:
        """Take in a late cache event."""
        event = CacheEvent(
            sequence=sequence,
            kind=CacheEventKind(kind),
            program_id=ProgramId(program_id),
            tokens=tokens,
        )
        self.prefixes.apply_event(UpstreamId(f"e-{number}"), event)

    def used_share(self, upstream_id: UpstreamId) -> float:
        """Return how full an engine's cache is, as last reported."""
        load = self._loads_by_id[upstream_id]
        return load.cached_tokens / load.capacity_tokens if load.capacity_tokens else 0.0

    def submit(self, call: ModelCall) -> None:
        """Queue a call or refuse it at once."""
        refused = self._admission.decide(self._admission_input(call))
        if isinstance(refused, Err):
            call.on_refused(refused.err_value)
            return
        self._push(call)
        self.pump()

    def _push(self, call: ModelCall) -> None:
        now_s = self._clock.now_s
        until_s = call.deadline_s
        if call.is_first and not call.is_moved:
            until_s = min(until_s, now_s + self.policy.max_wait_s)
        queued = QueuedCall(
            call_id=CallId(call.call_id),
            program_id=ProgramId(call.program_id),
            account_id=AccountId(str(call.account)),
            arrived_s=now_s,
            deadline_s=until_s,
            attained_s=call.attained_s,
            weight=self._weight(call.account),
            payload=call,
        )
        self.queue.push(queued, now_s=now_s)

    def _weight(self, account: int) -> float:
        """Return an account's weight: in proportion to its rate, or equal."""
        if not self.policy.has_weights:
            return 1.0
        return ACCOUNT_SHARES[account] * len(ACCOUNT_SHARES)

    def _admission_input(self, call: ModelCall) -> AdmissionInput:
        now_s = self._clock.now_s
        measures = self._measures
        drain = max(measures.ends.rate_per_s(now_s=now_s), self._running / measures.call_s.mean_s)
        return AdmissionInput(
            calls_ahead=self.queue.count_ahead(call.attained_s, now_s=now_s),
            completions_per_s=drain,
            expected_call_s=measures.call_s.mean_s,
            max_wait_s=self.policy.max_wait_s,
            deadline_s=call.deadline_s,
            now_s=now_s,
            is_first=call.is_first,
        )

    def _watch_paces(self) -> None:
        """Look at the running calls and move those that would end sooner elsewhere."""
        moved = self.pacer.step(list(self._loads_by_id.values()))
        if self.policy.moves_calls:
            for watched in moved:
                self.pacer.moved += 1
                watched.engine.cancel(watched.call)
                watched.call.on_moved(watched.engine.generated(watched.call))
        self._clock.after(STEP_S, self._watch_paces)
        self.pump()

    def pump(self) -> None:
        """Send what waits while there is room, and answer what has waited too long."""
        now_s = self._clock.now_s
        for expired in self.queue.expire(now_s=now_s):
            expired.payload.on_refused(None)
        while len(self.queue):
            loads = self._loads_with_room()
            if not loads or self.queue.pop(now_s=now_s, can_dispatch=self._sender(loads)) is None:
                return

    def _sender(self, loads: list[ReplicaLoad]) -> Callable[[QueuedCall], bool]:
        return lambda queued: self._try(queued.payload, loads)

    def _loads_with_room(self) -> list[ReplicaLoad]:
        now_s = self._clock.now_s
        return [
            load
            for upstream_id, load in self._loads_by_id.items()
            if self._chooser.has_free_slot(load)
            and self._breakers_by_id[upstream_id].allows(now_s=now_s)
            and self.pacer.watch.detector.allows(upstream_id, now_s=now_s)
        ]

    def _try(self, call: ModelCall, loads: list[ReplicaLoad]) -> bool:
        wanted = PlacementInput(
            program_id=ProgramId(call.program_id),
            prompt_tokens=call.prompt_tokens,
            cached_tokens_by_upstream=self.prefixes.tokens_by_upstream(ProgramId(call.program_id)),
            call_s=self._measures.call_s.mean_s,
        )
        chosen = self._chooser.choose(wanted, loads, self._rng)
        if chosen is None:
            return False
        held = wanted.cached_tokens_by_upstream.get(chosen, 0)
        added = max(0, call.prompt_tokens + call.completion_tokens - held)
        self._send(call, chosen, added)
        return True

    def _send(self, call: ModelCall, chosen: UpstreamId, added_tokens: int) -> None:
        now_s = self._clock.now_s
        self._loads_by_id[chosen].record_sent(now_s=now_s, added_tokens=added_tokens)
        self._breakers_by_id[chosen].record_sent(now_s=now_s)
        self._running += 1
        call.sent_s = now_s
        engine_call = EngineCall(
            program_id=call.program_id,
            prompt_tokens=call.prompt_tokens + call.generated_tokens,
            completion_tokens=call.completion_tokens - call.generated_tokens,
            priority=priority_of(call.attained_s) if self.policy.has_priorities else 0,
            imported_tokens=call.imported_tokens,
            on_end=lambda ended, finished: self._note_end(call, chosen, running, ended, finished),
            on_moved=lambda tokens: self._note_moved(call, chosen, running, engine_call, tokens),
        )
        engine = self._engines_by_id[chosen]
        running = self.pacer.start(chosen, engine, engine_call, can_move=not call.is_moved)
        engine.take(engine_call)

    def _note_moved(
        self,
        call: ModelCall,
        upstream_id: UpstreamId,
        running: MonitoredCall,
        ended: EngineCall,
        tokens: int,
    ) -> None:
        """Queue a call again that was cancelled at a slow replica, with the tokens that it has."""
        self._running -= 1
        self._loads_by_id[upstream_id].record_ended(now_s=self._clock.now_s)
        self.pacer.end(running, is_finished=False)
        call.generated_tokens += tokens
        call.computed_tokens += ended.computed_tokens
        call.is_moved = True
        self._push(call)

    def _note_end(
        self,
        call: ModelCall,
        upstream_id: UpstreamId,
        running: MonitoredCall,
        ended: EngineCall,
        is_finished: bool,
    ) -> None:
        now_s = self._clock.now_s
        self._running -= 1
        self._loads_by_id[upstream_id].record_ended(now_s=now_s)
        self.pacer.end(running, is_finished=is_finished)
        if is_finished:
            call.computed_tokens += ended.computed_tokens
            self._note_finished(call, upstream_id)
        else:
            self._breakers_by_id[upstream_id].record_failure(now_s=now_s)
            self.prefixes.forget_upstream(upstream_id)
            self._clock.after(0.05, call.on_failed)
        self._clock.after(0.0, self.pump)

    def _note_finished(self, call: ModelCall, upstream_id: UpstreamId) -> None:
        now_s = self._clock.now_s
        self._breakers_by_id[upstream_id].record_success()
        self._measures.ends.add(now_s=now_s)
        self._measures.call_s.add(now_s - call.sent_s)
        used_s = estimate_service_s(
            prompt_tokens=call.prompt_tokens,
            cached_tokens=call.prompt_tokens - call.computed_tokens,
            completion_tokens=call.completion_tokens,
        )
        weight = self._weight(call.account)
        self.queue.charge_service(AccountId(str(call.account)), used_s, weight=weight)
        tokens = call.prompt_tokens + call.completion_tokens
        self.prefixes.set_cached_tokens(ProgramId(call.program_id), upstream_id, tokens)
        call.on_done(upstream_id, call.computed_tokens)
