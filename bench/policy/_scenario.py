"""The input of a simulation run and the outcomes of its programs."""

from dataclasses import dataclass, field

from bench.policy._engine import EngineSize
from bench.policy._policy import Policy
from bench.policy._workloads import ProgramPlan, Surge, Workload


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """The input of a run; equal scenarios give equal runs.

    `speed_sigma` is the standard deviation of the logarithm of the engines' changing speed factors;
    zero means constant speed. `lag_s` is the delay of load reports.
    """

    workload: Workload
    policy: Policy
    programs_per_s: float
    seed: int
    engine_count: int = 5
    instance_count: int = 7
    size: EngineSize = field(default_factory=EngineSize)
    surge: Surge | None = None
    lag_s: float = 1.0
    call_timeout_s: float = 1e6
    dead_engine_at_s: float | None = None
    slow_engine_at_s: float | None = None
    speed_sigma: float = 0.0


@dataclass(slots=True, kw_only=True)
class ProgramOutcome:
    """The outcome of a program.

    `latency_s` counts from its arrival and is None if it did not finish. `completed_calls` holds
    the end time and the service time of each call in seconds.
    """

    plan: ProgramPlan
    latency_s: float | None = None
    refusals: int = 0
    lost_after_turns: int | None = None
    finished_s: float = 0.0
    completed_calls: list[tuple[float, float]] = field(default_factory=list)
