"""Runs programs, schedulers and engines in simulated time."""

import random

from bench.policy._clock import Clock
from bench.policy._engine import Engine, LoadPublisher
from bench.policy._policy import ModelCall
from bench.policy._scenario import ProgramOutcome, Scenario
from bench.policy._scheduler import Scheduler
from bench.policy._workloads import make_programs
from lagoonfold import ProgramId, Refusal, UpstreamId
from lagoonfold.scheduling import (
    CACHE_POLICIES_BY_NAME,
    CacheAction,
    PauseAverage,
    PauseInput,
    estimate_service_s,
)

DRAIN_LIMIT_S = 20_000.0
PAUSE_CHECK_S = 2.0
MAX_CLIENT_ATTEMPTS = 3
WARM_UP_S = 600.0
SLOW_ENGINE_FACTOR = 10.0
SPEED_CHANGE_INTERVAL_S = 2.0


class Simulation:
    """One run of a scenario and its measurements."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.clock = Clock()
        self.outcomes: list[ProgramOutcome] = []
        self.recomputed_tokens = 0
        self.needed_tokens = 0
        self.occupied_shares: list[float] = []
        self.imbalances: list[float] = []
        self.prefill_share = 0.0
        self.open_programs = 0
        self._warm_up_prefill_s = 0.0
        self._rng = random.Random(f"run/{scenario.seed}")
        self._speed_rng = random.Random(f"uneven/{scenario.seed}")
        self.engines = [
            Engine(number, scenario.size, self.clock, self._rng, self._publish_cache_event)
            for number in range(scenario.engine_count)
        ]
        self.schedulers = [
            Scheduler(scenario.policy, self.engines, self.clock, self._rng, f"i-{number}")
            for number in range(scenario.instance_count)
        ]
        if scenario.policy.shares_pace:
            monitor_drivers = [scheduler.monitor_driver for scheduler in self.schedulers]
            for monitor_driver in monitor_drivers:
                monitor_driver.peers = [
                    other for other in monitor_drivers if other is not monitor_driver
                ]
        self._pauses_by_kind: dict[str, PauseAverage] = {}
        self._cache_policy = CACHE_POLICIES_BY_NAME[scenario.policy.cache]()

    def run(self) -> "Simulation":
        """Run until every program has ended, at most `DRAIN_LIMIT_S` after arrivals end."""
        scenario = self.scenario
        programs = make_programs(
            scenario.workload,
            programs_per_s=scenario.programs_per_s,
            seed=scenario.seed,
            surge=scenario.surge,
        )
        for plan in programs:
            outcome = ProgramOutcome(plan=plan)
            self.outcomes.append(outcome)
            self.open_programs += 1
            self.clock.at(plan.arrives_s, _Program(self, outcome).next_turn)
        load_publisher = LoadPublisher(lag_s=scenario.lag_s)
        load_publisher.listeners.extend(
            scheduler.apply_load_report for scheduler in self.schedulers
        )
        load_publisher.start(self.engines, self.clock)
        self._inject_faults()
        self.clock.after(WARM_UP_S, self._sample)
        self.clock.run(scenario.workload.span_s)
        end_s = scenario.workload.span_s + DRAIN_LIMIT_S
        while self.open_programs and self.clock.now_s < end_s:
            self.clock.run(self.clock.now_s + 30.0)
        return self

    def _sample(self) -> None:
        """Record slot use, load imbalance and prefill share each second until arrivals end."""
        slots = sum(engine.size.slots for engine in self.engines)
        running = sum(len(engine.running) for engine in self.engines)
        self.occupied_shares.append(running / slots)
        loads = [sum(engine.load()[:2]) for engine in self.engines if not engine.is_dead]
        self.imbalances.append(max(loads) - min(loads))
        prefill_s = sum(engine.totals.prefill_s for engine in self.engines) / len(self.engines)
        if len(self.occupied_shares) == 1:
            self._warm_up_prefill_s = prefill_s
        else:
            elapsed_s = self.clock.now_s - WARM_UP_S
            self.prefill_share = min(1.0, (prefill_s - self._warm_up_prefill_s) / elapsed_s)
        if self.clock.now_s < self.scenario.workload.span_s:
            self.clock.after(1.0, self._sample)

    def _vary_speeds(self) -> None:
        """Change the speed of each engine at an interval by a log-normal factor with median 1."""
        for engine in self.engines:
            engine.set_slowdown(self._speed_rng.lognormvariate(0.0, self.scenario.speed_sigma))
        self.clock.after(SPEED_CHANGE_INTERVAL_S, self._vary_speeds)

    def _inject_faults(self) -> None:
        scenario = self.scenario
        if scenario.speed_sigma:
            self.clock.after(SPEED_CHANGE_INTERVAL_S, self._vary_speeds)
        if scenario.dead_engine_at_s is not None:
            self.clock.at(scenario.dead_engine_at_s, self.engines[0].crash)
        if scenario.slow_engine_at_s is not None:
            self.clock.at(
                scenario.slow_engine_at_s, self.engines[0].set_slowdown, SLOW_ENGINE_FACTOR
            )

    def _publish_cache_event(self, *event: object) -> None:
        for scheduler in self.schedulers:
            scheduler.apply_cache_event(*event)

    def scheduler_of(self, program_id: str) -> Scheduler:
        """Return the scheduler of the program's owner."""
        number = random.Random(f"{program_id}/{self.scenario.seed}").randrange(10**6)
        return self.schedulers[number % len(self.schedulers)]

    def engine_of(self, upstream_id: UpstreamId) -> Engine:
        """Return an engine by its id."""
        return self.engines[int(upstream_id.removeprefix("e-"))]

    def pause_average(self, kind: str) -> PauseAverage:
        """Return the average duration of the tool pauses of a kind of program."""
        return self._pauses_by_kind.setdefault(kind, PauseAverage())

    def decide_pause(self, pause: PauseInput) -> CacheAction:
        """Decide whether a paused program's cache is kept, exported or freed."""
        return self._cache_policy.decide(pause)


class _Program:
    """A running program, which submits its turns one after another."""

    def __init__(self, simulation: Simulation, outcome: ProgramOutcome) -> None:
        self._simulation = simulation
        self._clock = simulation.clock
        self._outcome = outcome
        self._plan = outcome.plan
        self._scheduler = simulation.scheduler_of(outcome.plan.program_id)
        self._turn = 0
        self._history_tokens = 0
        self._attained_s = 0.0
        self._exported_tokens = 0
        self._paused_at: tuple[int, UpstreamId, float] | None = None

    def next_turn(self) -> None:
        """Submit the call of the current turn."""
        turn = self._plan.turns[self._turn]
        now_s = self._clock.now_s
        if self._paused_at is not None:
            self._simulation.pause_average(self._plan.kind).add(now_s - self._paused_at[2])
            self._paused_at = None
        call = ModelCall(
            call_id=f"{self._plan.program_id}/{self._turn}",
            program_id=self._plan.program_id,
            account=self._plan.account,
            prompt_tokens=self._history_tokens + turn.new_tokens,
            completion_tokens=turn.completion_tokens,
            attained_s=self._attained_s,
            is_first=self._turn == 0,
            deadline_s=now_s + self._simulation.scenario.call_timeout_s,
            imported_tokens=self._exported_tokens,
            on_done=self._handle_completion,
            on_refused=self._handle_refusal,
            on_failed=self.next_turn,
        )
        self._scheduler.submit(call)

    def _handle_refusal(self, refusal: Refusal | None) -> None:
        """Retry the first turn after the time in the refusal; give up at `MAX_CLIENT_ATTEMPTS`.

        A program that is refused after its first turn is lost.
        """
        self._outcome.refusals += 1
        if self._turn > 0 or refusal is None or self._outcome.refusals >= MAX_CLIENT_ATTEMPTS:
            self._outcome.lost_after_turns = self._turn
            self._release()
            return
        self._clock.after(max(0.1, refusal.retry_after_s), self.next_turn)

    def _handle_completion(self, upstream_id: UpstreamId, computed_tokens: int) -> None:
        turn = self._plan.turns[self._turn]
        now_s = self._clock.now_s
        simulation = self._simulation
        simulation.needed_tokens += turn.new_tokens
        simulation.recomputed_tokens += max(0, computed_tokens - turn.new_tokens)
        service_s = estimate_service_s(
            prompt_tokens=turn.new_tokens,
            cached_tokens=0,
            completion_tokens=turn.completion_tokens,
        )
        self._attained_s += service_s
        self._outcome.completed_calls.append((now_s, service_s))
        self._history_tokens += turn.new_tokens + turn.completion_tokens
        self._exported_tokens = 0
        self._turn += 1
        if self._turn == len(self._plan.turns):
            self._outcome.latency_s = now_s - self._plan.arrives_s
            self._outcome.finished_s = now_s
            self._release()
            return
        self._paused_at = (self._turn, upstream_id, now_s)
        self._check_pause(self._turn, upstream_id)
        self._clock.after(turn.pause_s, self.next_turn)

    def _check_pause(self, turn: int, upstream_id: UpstreamId) -> None:
        """Apply the cache policy to the pause before a turn, again while it keeps the cache."""
        if self._paused_at is None or self._paused_at[0] != turn:
            return
        average = self._simulation.pause_average(self._plan.kind)
        pause = PauseInput(
            tokens=self._history_tokens,
            elapsed_s=self._clock.now_s - self._paused_at[2],
            expected_s=average.mean_s,
            used_share=self._scheduler.used_share(upstream_id),
            can_export=True,
        )
        action = self._simulation.decide_pause(pause)
        if action is CacheAction.KEEP:
            self._clock.after(PAUSE_CHECK_S, self._check_pause, turn, upstream_id)
            return
        engine = self._simulation.engine_of(upstream_id)
        if action is CacheAction.EXPORT:
            self._exported_tokens = engine.cached_tokens(self._plan.program_id)
        engine.evict(self._plan.program_id)

    def _release(self) -> None:
        self._simulation.open_programs -= 1
        for upstream_id in self._scheduler.prefixes.forget_program(
            ProgramId(self._plan.program_id)
        ):
            self._simulation.engine_of(upstream_id).evict(self._plan.program_id)
