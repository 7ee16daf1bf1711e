"""One run: programs, schedulers and engines in simulated time."""

import random

from bench.policy._clock import Clock
from bench.policy._engine import Engine, LoadBoard
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

DRAIN_S = 20_000.0
PAUSE_CHECK_S = 2.0
CLIENT_TRIES = 3
WARM_UP_S = 600.0
SLOWDOWN = 10.0
PACE_INTERVAL_S = 2.0


class Simulation:
    """Runs one scenario."""

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
        self._prefill_before_s = 0.0
        self._rng = random.Random(f"run/{scenario.seed}")
        self._uneven = random.Random(f"uneven/{scenario.seed}")
        self.engines = [
            Engine(number, scenario.size, self.clock, self._rng, self._publish_cache_event)
            for number in range(scenario.engine_count)
        ]
        self.schedulers = [
            Scheduler(scenario.policy, self.engines, self.clock, self._rng, f"i-{number}")
            for number in range(scenario.instance_count)
        ]
        if scenario.policy.shares_pace:
            pacers = [scheduler.pacer for scheduler in self.schedulers]
            for pacer in pacers:
                pacer.peers = [other for other in pacers if other is not pacer]
        self._pauses_by_kind: dict[str, PauseAverage] = {}
        self._cache_policy = CACHE_POLICIES_BY_NAME[scenario.policy.cache]()

    def run(self) -> "Simulation":
        """Let all programs arrive and finish."""
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
        board = LoadBoard(lag_s=scenario.lag_s)
        board.listeners.extend(scheduler.note_report for scheduler in self.schedulers)
        board.start(self.engines, self.clock)
        self._inject_faults()
        self.clock.after(WARM_UP_S, self._sample)
        self.clock.run(scenario.workload.span_s)
        end_s = scenario.workload.span_s + DRAIN_S
        while self.open_programs and self.clock.now_s < end_s:
            self.clock.run(self.clock.now_s + 30.0)
        return self

    def _sample(self) -> None:
        """Note the share of slots that are taken, each second of the span after the warm-up."""
        slots = sum(engine.size.slots for engine in self.engines)
        running = sum(len(engine.running) for engine in self.engines)
        self.occupied_shares.append(running / slots)
        loads = [sum(engine.load()[:2]) for engine in self.engines if not engine.is_dead]
        self.imbalances.append(max(loads) - min(loads))
        prefill_s = sum(engine.totals.prefill_s for engine in self.engines) / len(self.engines)
        if len(self.occupied_shares) == 1:
            self._prefill_before_s = prefill_s
        else:
            passed_s = self.clock.now_s - WARM_UP_S
            self.prefill_share = min(1.0, (prefill_s - self._prefill_before_s) / passed_s)
        if self.clock.now_s < self.scenario.workload.span_s:
            self.clock.after(1.0, self._sample)

    def _vary_paces(self) -> None:
        """Give each engine another pace, around the usual, at an interval."""
        for engine in self.engines:
            engine.slow_down(self._uneven.lognormvariate(0.0, self.scenario.unevenness))
        self.clock.after(PACE_INTERVAL_S, self._vary_paces)

    def _inject_faults(self) -> None:
        scenario = self.scenario
        if scenario.unevenness:
            self.clock.after(PACE_INTERVAL_S, self._vary_paces)
        if scenario.dead_engine_at_s is not None:
            self.clock.at(scenario.dead_engine_at_s, self.engines[0].die)
        if scenario.slow_engine_at_s is not None:
            self.clock.at(scenario.slow_engine_at_s, self.engines[0].slow_down, SLOWDOWN)

    def _publish_cache_event(self, *event: object) -> None:
        for scheduler in self.schedulers:
            scheduler.note_cache_event(*event)

    def scheduler_of(self, program_id: str) -> Scheduler:
        """Return the scheduler of the instance that owns a program."""
        number = random.Random(f"{program_id}/{self.scenario.seed}").randrange(10**6)
        return self.schedulers[number % len(self.schedulers)]

    def engine_of(self, upstream_id: UpstreamId) -> Engine:
        """Return an engine by its id."""
        return self.engines[int(upstream_id.removeprefix("e-"))]

    def pause_meter(self, kind: str) -> PauseAverage:
        """Return the meter of pauses of one kind of programs."""
        return self._pauses_by_kind.setdefault(kind, PauseAverage())

    def decide_pause(self, pause: PauseInput) -> CacheAction:
        """Decide what becomes of a paused program's cache."""
        return self._cache_policy.decide(pause)


class _Program:
    """A program that runs: its turns one after another."""

    def __init__(self, simulation: Simulation, outcome: ProgramOutcome) -> None:
        self._simulation = simulation
        self._clock = simulation.clock
        self._outcome = outcome
        self._plan = outcome.plan
        self._scheduler = simulation.scheduler_of(outcome.plan.program_id)
        self._turn = 0
        self._history = 0
        self._attained_s = 0.0
        self._exported = 0
        self._paused_at: tuple[int, UpstreamId, float] | None = None

    def next_turn(self) -> None:
        """Submit the call of the present turn."""
        turn = self._plan.turns[self._turn]
        now_s = self._clock.now_s
        if self._paused_at is not None:
            self._simulation.pause_meter(self._plan.kind).add(now_s - self._paused_at[2])
            self._paused_at = None
        call = ModelCall(
            call_id=f"{self._plan.program_id}/{self._turn}",
            program_id=self._plan.program_id,
            account=self._plan.account,
            prompt_tokens=self._history + turn.new_tokens,
            completion_tokens=turn.completion_tokens,
            attained_s=self._attained_s,
            is_first=self._turn == 0,
            deadline_s=now_s + self._simulation.scenario.call_timeout_s,
            imported_tokens=self._exported,
            on_done=self._note_done,
            on_refused=self._note_refused,
            on_failed=self.next_turn,
        )
        self._scheduler.submit(call)

    def _note_refused(self, refusal: Refusal | None) -> None:
        """Come back when told to, a few times; a program that had begun is lost."""
        self._outcome.refusals += 1
        if self._turn > 0 or refusal is None or self._outcome.refusals >= CLIENT_TRIES:
            self._outcome.lost_after_turns = self._turn
            self._free()
            return
        self._clock.after(max(0.1, refusal.retry_after_s), self.next_turn)

    def _note_done(self, upstream_id: UpstreamId, computed_tokens: int) -> None:
        turn = self._plan.turns[self._turn]
        now_s = self._clock.now_s
        simulation = self._simulation
        simulation.needed_tokens += turn.new_tokens
        simulation.recomputed_tokens += max(0, computed_tokens - turn.new_tokens)
        used_s = estimate_service_s(
            prompt_tokens=turn.new_tokens,
            cached_tokens=0,
            completion_tokens=turn.completion_tokens,
        )
        self._attained_s += used_s
        self._outcome.served_s.append((now_s, used_s))
        self._history += turn.new_tokens + turn.completion_tokens
        self._exported = 0
        self._turn += 1
        if self._turn == len(self._plan.turns):
            self._outcome.latency_s = now_s - self._plan.arrives_s
            self._outcome.finished_s = now_s
            self._free()
            return
        self._paused_at = (self._turn, upstream_id, now_s)
        self._check_pause(self._turn, upstream_id)
        self._clock.after(turn.pause_s, self.next_turn)

    def _check_pause(self, turn: int, upstream_id: UpstreamId) -> None:
        """Decide on the cache of the pause before a turn, again and again while it lasts."""
        if self._paused_at is None or self._paused_at[0] != turn:
            return
        meter = self._simulation.pause_meter(self._plan.kind)
        pause = PauseInput(
            tokens=self._history,
            elapsed_s=self._clock.now_s - self._paused_at[2],
            expected_s=meter.mean_s,
            used_share=self._scheduler.used_share(upstream_id),
            can_export=True,
        )
        action = self._simulation.decide_pause(pause)
        if action is CacheAction.KEEP:
            self._clock.after(PAUSE_CHECK_S, self._check_pause, turn, upstream_id)
            return
        engine = self._simulation.engine_of(upstream_id)
        if action is CacheAction.EXPORT:
            self._exported = engine.cached(self._plan.program_id)
        engine.free(self._plan.program_id)

    def _free(self) -> None:
        self._simulation.open_programs -= 1
        for upstream_id in self._scheduler.prefixes.forget_program(
            ProgramId(self._plan.program_id)
        ):
            self._simulation.engine_of(upstream_id).free(self._plan.program_id)
