"""The simulated engines and the measurements of a simulation: timing, eviction, lag, goodput."""

import random

from bench.policy._clock import Clock
from bench.policy._engine import CACHE_EVENT_LAG_S, Engine, EngineCall, EngineSize, LoadPublisher
from bench.policy._measure import GOODPUT_BIN_S, goodput_of, percentile
from bench.policy._policy import ModelCall, Policy
from bench.policy._scenario import ProgramOutcome
from bench.policy._scheduler import Scheduler
from bench.policy._workloads import ProgramPlan, TurnPlan
from lagoonfold import UpstreamId
from lagoonfold.scheduling import EjectionNotice
from tests._suite import load_functions

SIZE = EngineSize(slots=2, prefill_tokens_per_s=1000, decode_tokens_per_s=10, cache_tokens=1000)


class _EngineBench:
    """One simulated engine, the end times of its calls and the cache events it published."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.ended: dict[str, float] = {}
        self.events: list[tuple[float, str, str]] = []
        self.engine = Engine(0, SIZE, self.clock, random.Random(1), self._record_event)

    def _record_event(self, number: int, sequence: int, kind: str, program: str, size: int) -> None:
        self.events.append((self.clock.now_s, kind, program))

    def submit(self, name: str, prompt: int, answer: int, priority: int = 0) -> EngineCall:
        def end(call: EngineCall, is_finished: bool) -> None:
            self.ended[name] = round(self.clock.now_s, 6) if is_finished else -1.0

        call = EngineCall(
            program_id=name,
            prompt_tokens=prompt,
            completion_tokens=answer,
            priority=priority,
            on_end=end,
        )
        self.engine.submit(call)
        return call


def test_prefill_is_one_at_a_time_and_decode_is_not() -> None:
    """Two calls have 0.5 s of prefill each, one after the other, and 1 s of concurrent decode."""
    bench = _EngineBench()
    bench.submit("a", 500, 10)
    bench.submit("b", 500, 10)
    bench.clock.run(10.0)
    assert bench.ended == {"a": 1.5, "b": 2.0}


def test_slots_follow_priority_and_cached_tokens_are_not_computed() -> None:
    """Of the waiting calls, the lowest priority number starts first; cached tokens skip prefill."""
    bench = _EngineBench()
    bench.submit("a", 500, 10)
    bench.clock.run(10.0)
    bench.submit("b", 100, 10)
    bench.submit("c", 100, 20)
    bench.submit("late", 100, 10, priority=5)
    again = bench.submit("a", 510, 10, priority=1)
    bench.clock.run(20.0)
    assert bench.ended["b"] == 11.1
    assert (bench.ended["a"], bench.ended["late"]) == (12.1, 13.2)
    assert again.computed_tokens == 0


def test_slow_engine_slows_what_runs() -> None:
    """The rest of a running call takes ten times longer, and so do its tokens."""
    bench = _EngineBench()
    call = bench.submit("a", 500, 10)
    bench.clock.run(1.0)
    assert bench.engine.generated_tokens(call) == 5
    bench.engine.set_slowdown(10.0)
    bench.clock.run(2.0)
    assert bench.engine.generated_tokens(call) == 6
    bench.clock.run(20.0)
    assert bench.ended == {"a": 6.0}


def test_cancelled_call_gives_its_slot_back() -> None:
    """A cancelled call does not end and is not cached, and the next waiting call starts."""
    bench = _EngineBench()
    first = bench.submit("a", 100, 1000)
    bench.submit("b", 100, 1000)
    bench.submit("c", 100, 10)
    bench.clock.run(5.0)
    bench.engine.cancel(first)
    bench.clock.run(10.0)
    assert bench.ended == {"c": 6.1}
    assert not bench.engine.cached_tokens("a")


def test_least_recently_used_prefix_is_evicted() -> None:
    """A full cache evicts the least recently used prefix that is not running.

    The cache events arrive `CACHE_EVENT_LAG_S` late.
    """
    bench = _EngineBench()
    for name in ("a", "b"):
        bench.submit(name, 400, 10)
        bench.clock.run(bench.clock.now_s + 5.0)
    bench.submit("a", 410, 10)
    bench.clock.run(15.0)
    bench.submit("c", 400, 1)
    bench.clock.run(30.0)
    assert [bench.engine.cached_tokens(name) for name in ("a", "b", "c")] == [420, 0, 401]
    assert bench.events[0] == (1.4 + CACHE_EVENT_LAG_S, "stored", "a")


def test_prefix_of_a_running_call_is_not_evicted() -> None:
    """The oldest prefix is kept while its program runs; the next oldest is evicted."""
    bench = _EngineBench()
    for name in ("a", "b"):
        bench.submit(name, 400, 10)
        bench.clock.run(bench.clock.now_s + 5.0)
    bench.submit("a", 410, 1000)
    for name in ("b", "c"):
        bench.submit(name, 410, 10)
        bench.clock.run(bench.clock.now_s + 5.0)
    assert [bench.engine.cached_tokens(name) for name in ("a", "b", "c")] == [410, 0, 420]


def test_reports_are_delayed() -> None:
    """A load report shows the load at the time it was made, not at the time it arrives.

    A dead engine sends no reports.
    """
    bench = _EngineBench()
    reports: list[tuple[float, int]] = []
    board = LoadPublisher(lag_s=1.0, interval_s=0.5)
    board.listeners.append(lambda number, load: reports.append((bench.clock.now_s, load[0])))
    board.start([bench.engine], bench.clock)
    bench.clock.run(0.7)
    bench.submit("a", 100, 1000)
    bench.clock.run(1.2)
    bench.engine.crash()
    bench.clock.run(9.0)
    assert reports == [(1.5, 0), (2.0, 1)]


def test_percentile_is_a_value_of_the_sample() -> None:
    """More than the given share of the values is less than or equal to the percentile."""
    values = list(range(1, 101))
    assert [percentile(values, p) for p in (0, 50, 95, 99, 100)] == [1, 51, 96, 100, 100]
    assert percentile([], 95) == 0.0


def test_goodput_counts_the_service_of_completed_programs() -> None:
    """A call's service counts in the bin of its end, and only if its program completed."""
    plan = ProgramPlan(program_id="p", account=0, kind="k", arrives_s=0.0, turns=())
    served = [(1.0, 2.0), (7.0, 4.0), (999.0, 1.0)]
    done = ProgramOutcome(plan=plan, latency_s=999.0, completed_calls=served)
    lost = ProgramOutcome(plan=plan, lost_after_turns=1, completed_calls=[(1.0, 50.0)])
    bins = goodput_of([done, lost], span_s=10.0)
    assert bins[:3] == [2.0 / GOODPUT_BIN_S, 4.0 / GOODPUT_BIN_S, 0.0]
    assert bins[-1] == 1.0 / GOODPUT_BIN_S


def test_ideal_duration_is_the_work_and_the_pauses() -> None:
    """The reference duration of slowdown is the work at full speed and all pauses but the last."""
    turn = TurnPlan(new_tokens=1000, completion_tokens=10, pause_s=3.0)
    plan = ProgramPlan(program_id="p", account=0, kind="k", arrives_s=0.0, turns=(turn, turn))
    assert plan.ideal_latency_s(prefill_tokens_per_s=1000, decode_tokens_per_s=10) == 7.0


def test_moved_call_resumes_from_its_tokens() -> None:
    """The scheduler resumes a moved call on another engine from its generated tokens.

    Its program gets one answer.
    """
    clock = Clock()
    engines = [Engine(n, SIZE, clock, random.Random(1), lambda *event: None) for n in range(2)]
    scheduler = Scheduler(Policy(), engines, clock, random.Random(1), "i-0")
    done: list[tuple[float, int]] = []
    call = ModelCall(
        call_id="p/0",
        program_id="p",
        account=0,
        prompt_tokens=500,
        completion_tokens=100,
        attained_s=0.0,
        is_first=True,
        deadline_s=100.0,
        imported_tokens=0,
        on_done=lambda upstream_id, computed: done.append((round(clock.now_s, 6), computed)),
        on_refused=lambda refusal: None,
        on_failed=lambda: None,
    )
    scheduler.submit(call)
    clock.run(2.9)
    slow = next(engine for engine in engines if engine.running)
    detector = scheduler.monitor_driver.monitor.detector
    for number in range(2):
        detector.record_sample(UpstreamId(f"e-{number}"), tokens=10, seconds=1.0, now_s=2.9)
    notice = EjectionNotice(
        upstream_id=f"e-{slow.number}", prober="i-1", ejection_s=10.0, throughput=1.0
    )
    detector.apply_notice(notice, now_s=2.9)
    clock.run(50.0)
    assert done == [(3.0 + 0.525 + 7.5, 500 + 525)]
    assert call.generated_tokens == 25


load_tests = load_functions(globals())
