"""Simulates an instance's scheduler with the library's queue, chooser, caches and admission."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err

from bench.policy._clock import Clock
from bench.policy._engine import Engine, EngineCall
from bench.policy._monitor_driver import MONITOR_STEP_S, MonitorDriver
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
class _CompletionStats:
    completions: RateMeter = field(default_factory=RateMeter)
    call_s: DurationAverage = field(default_factory=lambda: DurationAverage(initial_s=2.0))


class Scheduler:
    """The scheduler of one instance, which sees the engines' load and cache with a delay."""

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
        self._completion_stats = _CompletionStats()
        self._running = 0
        self.monitor_driver = MonitorDriver(name, list(self._engines_by_id), clock)
        if policy.sees_pace:
            clock.after(MONITOR_STEP_S, self._step_monitor)

    def apply_load_report(self, number: int, load: tuple[int, int, int]) -> None:
        """Apply a load report, which shows the load some time ago."""
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
        self.dispatch()

    def apply_cache_event(
        self, number: int, sequence: int, kind: str, program_id: str, tokens: int
    ) -> None:
        """Apply a cache event, which arrives late."""
        event = CacheEvent(
            sequence=sequence,
            kind=CacheEventKind(kind),
            program_id=ProgramId(program_id),
            tokens=tokens,
        )
        self.prefixes.apply_event(UpstreamId(f"e-{number}"), event)

    def used_share(self, upstream_id: UpstreamId) -> float:
        """Return the used share of an engine's cache in its last load report."""
        load = self._loads_by_id[upstream_id]
        return load.cached_tokens / load.capacity_tokens if load.capacity_tokens else 0.0

    def submit(self, call: ModelCall) -> None:
        """Queue a call or refuse it immediately."""
        refused = self._admission.decide(self._admission_input(call))
        if isinstance(refused, Err):
            call.on_refused(refused.err_value)
            return
        self._push(call)
        self.dispatch()

    def _push(self, call: ModelCall) -> None:
        now_s = self._clock.now_s
        expires_s = call.deadline_s
        if call.is_first and not call.is_moved:
            expires_s = min(expires_s, now_s + self.policy.max_wait_s)
        queued = QueuedCall(
            call_id=CallId(call.call_id),
            program_id=ProgramId(call.program_id),
            account_id=AccountId(str(call.account)),
            arrived_s=now_s,
            deadline_s=expires_s,
            attained_s=call.attained_s,
            weight=self._weight(call.account),
            payload=call,
        )
        self.queue.push(queued, now_s=now_s)

    def _weight(self, account: int) -> float:
        """Return an account's weight: proportional to its rate, or 1 for all."""
        if not self.policy.has_weights:
            return 1.0
        return ACCOUNT_SHARES[account] * len(ACCOUNT_SHARES)

    def _admission_input(self, call: ModelCall) -> AdmissionInput:
        now_s = self._clock.now_s
        stats = self._completion_stats
        completions_per_s = max(
            stats.completions.rate_per_s(now_s=now_s), self._running / stats.call_s.mean_s
        )
        return AdmissionInput(
            calls_ahead=self.queue.count_ahead(call.attained_s, now_s=now_s),
            completions_per_s=completions_per_s,
            expected_call_s=stats.call_s.mean_s,
            max_wait_s=self.policy.max_wait_s,
            deadline_s=call.deadline_s,
            now_s=now_s,
            is_first=call.is_first,
        )

    def _step_monitor(self) -> None:
        """Monitor the running calls and move those that would end sooner at another engine."""
        moves = self.monitor_driver.step(list(self._loads_by_id.values()))
        if self.policy.moves_calls:
            for tracked in moves:
                self.monitor_driver.moved_calls += 1
                tracked.engine.cancel(tracked.call)
                tracked.call.on_moved(tracked.engine.generated_tokens(tracked.call))
        self._clock.after(MONITOR_STEP_S, self._step_monitor)
        self.dispatch()

    def dispatch(self) -> None:
        """Send waiting calls while an engine has a free slot; refuse those that waited too long."""
        now_s = self._clock.now_s
        for expired in self.queue.expire(now_s=now_s):
            expired.payload.on_refused(None)
        while len(self.queue):
            loads = self._available_loads()
            if (
                not loads
                or self.queue.pop(now_s=now_s, can_dispatch=self._dispatcher(loads)) is None
            ):
                return

    def _dispatcher(self, loads: list[ReplicaLoad]) -> Callable[[QueuedCall], bool]:
        return lambda queued: self._place(queued.payload, loads)

    def _available_loads(self) -> list[ReplicaLoad]:
        now_s = self._clock.now_s
        return [
            load
            for upstream_id, load in self._loads_by_id.items()
            if self._chooser.has_free_slot(load)
            and self._breakers_by_id[upstream_id].allows(now_s=now_s)
            and self.monitor_driver.monitor.detector.allows(upstream_id, now_s=now_s)
        ]

    def _place(self, call: ModelCall, loads: list[ReplicaLoad]) -> bool:
        placement = PlacementInput(
            program_id=ProgramId(call.program_id),
            prompt_tokens=call.prompt_tokens,
            cached_tokens_by_upstream=self.prefixes.tokens_by_upstream(ProgramId(call.program_id)),
            call_s=self._completion_stats.call_s.mean_s,
        )
        chosen = self._chooser.choose(placement, loads, self._rng)
        if chosen is None:
            return False
        cached = placement.cached_tokens_by_upstream.get(chosen, 0)
        added = max(0, call.prompt_tokens + call.completion_tokens - cached)
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
            on_end=lambda ended, finished: self._handle_end(
                call, chosen, monitored, ended, finished
            ),
            on_moved=lambda tokens: self._requeue_moved(
                call, chosen, monitored, engine_call, tokens
            ),
        )
        engine = self._engines_by_id[chosen]
        monitored = self.monitor_driver.start(
            chosen, engine, engine_call, can_move=not call.is_moved
        )
        engine.submit(engine_call)

    def _requeue_moved(
        self,
        call: ModelCall,
        upstream_id: UpstreamId,
        monitored: MonitoredCall,
        ended: EngineCall,
        tokens: int,
    ) -> None:
        """Queue a call that was cancelled at a slow replica again, with its generated tokens."""
        self._running -= 1
        self._loads_by_id[upstream_id].record_ended(now_s=self._clock.now_s)
        self.monitor_driver.end(monitored, is_finished=False)
        call.generated_tokens += tokens
        call.computed_tokens += ended.computed_tokens
        call.is_moved = True
        self._push(call)

    def _handle_end(
        self,
        call: ModelCall,
        upstream_id: UpstreamId,
        monitored: MonitoredCall,
        ended: EngineCall,
        is_finished: bool,
    ) -> None:
        now_s = self._clock.now_s
        self._running -= 1
        self._loads_by_id[upstream_id].record_ended(now_s=now_s)
        self.monitor_driver.end(monitored, is_finished=is_finished)
        if is_finished:
            call.computed_tokens += ended.computed_tokens
            self._record_completion(call, upstream_id)
        else:
            self._breakers_by_id[upstream_id].record_failure(now_s=now_s)
            self.prefixes.forget_upstream(upstream_id)
            self._clock.after(0.05, call.on_failed)
        self._clock.after(0.0, self.dispatch)

    def _record_completion(self, call: ModelCall, upstream_id: UpstreamId) -> None:
        now_s = self._clock.now_s
        self._breakers_by_id[upstream_id].record_success()
        self._completion_stats.completions.add(now_s=now_s)
        self._completion_stats.call_s.add(now_s - call.sent_s)
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
