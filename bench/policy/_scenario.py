"""What a run of the model is made of, and how its programs fared."""

from dataclasses import dataclass, field

from bench.policy._engine import EngineSize
from bench.policy._policy import Policy
from bench.policy._workloads import ProgramPlan, Surge, Workload


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """What a run is made of; the same scenario and seed give the same run."""

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
    unevenness: float = 0.0


@dataclass(slots=True, kw_only=True)
class ProgramOutcome:
    """How a program fared; `latency_s` counts from its arrival, None if it did not finish."""

    plan: ProgramPlan
    latency_s: float | None = None
    refusals: int = 0
    lost_after_turns: int | None = None
    finished_s: float = 0.0
    served_s: list[tuple[float, float]] = field(default_factory=list)
