"""Measures simulation runs and summarizes the runs of several seeds."""

import statistics
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, field
from multiprocessing import Pool

from bench.policy._policy import Policy
from bench.policy._scenario import ProgramOutcome, Scenario
from bench.policy._simulation import Simulation

PROCESSES = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """One finished program."""

    account: int
    kind: str
    arrives_s: float
    latency_s: float
    slowdown: float


@dataclass(slots=True, kw_only=True)
class RunMeasures:
    """Measurements of one run.

    `occupied_share` is the share of busy slots, `prefill_share` the share of time in prefill.
    `recomputed_share` relates tokens computed again to new tokens; `herding` is the mean difference
    of calls between the most and the least loaded engine. `put_aside` counts ejections and `moved`
    the calls moved off ejected engines. Programs that are refused count as `refused` if no turn
    was completed, otherwise as `lost`. `goodput` is the result of `goodput_of`.
    """

    seed: int
    samples: list[Sample] = field(default_factory=list)
    programs: int = 0
    refused: int = 0
    lost: int = 0
    unfinished: int = 0
    occupied_share: float = 0.0
    prefill_share: float = 0.0
    recomputed_share: float = 0.0
    herding: float = 0.0
    put_aside: int = 0
    moved: int = 0
    goodput: list[float] = field(default_factory=list)


def percentile(values: Sequence[float], percent: float) -> float:
    """Return the least value that more than `percent` of them do not exceed, zero if empty."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def goodput_of(outcomes: Sequence[ProgramOutcome], *, span_s: float) -> list[float]:
    """Return the service seconds a second of completed programs, in bins of `GOODPUT_BIN_S`.

    Calls that end after the last bin count in it.
    """
    bins = [0.0] * (int(span_s / GOODPUT_BIN_S) + _BINS_AFTER_SPAN)
    for outcome in outcomes:
        for ended_s, service_s in outcome.completed_calls if outcome.latency_s is not None else ():
            bins[min(len(bins) - 1, int(ended_s / GOODPUT_BIN_S))] += service_s / GOODPUT_BIN_S
    return [round(value, 2) for value in bins]


def measure(scenario: Scenario) -> RunMeasures:
    """Run a scenario and measure it."""
    simulation = Simulation(scenario).run()
    size = scenario.size
    run = RunMeasures(seed=scenario.seed)
    for outcome in simulation.outcomes:
        run.programs += 1
        if outcome.latency_s is None:
            run.unfinished += outcome.lost_after_turns is None
            run.lost += outcome.lost_after_turns not in (None, 0)
            run.refused += outcome.lost_after_turns == 0
            continue
        ideal_latency_s = outcome.plan.ideal_latency_s(
            prefill_tokens_per_s=size.prefill_tokens_per_s,
            decode_tokens_per_s=size.decode_tokens_per_s,
        )
        if outcome.plan.arrives_s < SAMPLES_FROM_S:
            continue
        run.samples.append(
            Sample(
                account=outcome.plan.account,
                kind=outcome.plan.kind,
                arrives_s=outcome.plan.arrives_s,
                latency_s=outcome.latency_s,
                slowdown=outcome.latency_s / ideal_latency_s,
            )
        )
    run.goodput = goodput_of(simulation.outcomes, span_s=scenario.workload.span_s)
    run.occupied_share = statistics.fmean(simulation.occupied_shares)
    run.prefill_share = simulation.prefill_share
    run.recomputed_share = simulation.recomputed_tokens / max(1, simulation.needed_tokens)
    monitor_drivers = [scheduler.monitor_driver for scheduler in simulation.schedulers]
    run.put_aside = sum(monitor_driver.ejections for monitor_driver in monitor_drivers)
    run.moved = sum(monitor_driver.moved_calls for monitor_driver in monitor_drivers)
    run.herding = statistics.fmean(simulation.imbalances)
    return run


def measure_all(scenarios: Iterable[Scenario]) -> list[RunMeasures]:
    """Measure scenarios in `PROCESSES` processes; return the results in the scenarios' order."""
    with Pool(PROCESSES) as pool:
        return pool.map(measure, scenarios, chunksize=1)


def summarize(runs: Sequence[RunMeasures]) -> dict:
    """Return the mean, the least and the most over the seeds for each measurement."""
    summary: dict = {"seeds": len(runs)}
    for name in ("latency_s", "slowdown"):
        values = [[getattr(sample, name) for sample in run.samples] for run in runs]
        summary[name] = {
            "mean": _spread([statistics.fmean(value) for value in values]),
            **{
                f"p{percent}": _spread([percentile(v, percent) for v in values])
                for percent in _PERCENTILES
            },
        }
    for kind in sorted({sample.kind for run in runs for sample in run.samples}):
        summary[f"latency_s {kind}"] = {
            f"p{percent}": _spread(
                [
                    percentile([s.latency_s for s in r.samples if s.kind == kind], percent)
                    for r in runs
                ]
            )
            for percent in _PERCENTILES
        }
    for name in _SUMMARIZED_FIELDS:
        summary[name] = _spread([getattr(run, name) for run in runs])
    return summary


def by_account(
    runs: Sequence[RunMeasures], *, from_s: float = 0.0, to_s: float = float("inf")
) -> dict[int, dict[str, float]]:
    """Return each account's p95 over all seeds for the programs that arrived in an interval."""
    samples = [s for run in runs for s in run.samples if from_s <= s.arrives_s < to_s]
    return {
        account: {
            "programs": len(own),
            "latency_p95_s": round(percentile([s.latency_s for s in own], 95), 2),
            "slowdown_p95": round(percentile([s.slowdown for s in own], 95), 3),
        }
        for account in sorted({sample.account for sample in samples})
        for own in [[sample for sample in samples if sample.account == account]]
    }


def policy_name(policy: Policy) -> str:
    """Return the fields of a policy that differ from the default policy."""
    default = asdict(Policy())
    changed = {k: v for k, v in asdict(policy).items() if v != default[k]}
    return ", ".join(f"{key}={value}" for key, value in changed.items()) or "default"


def _spread(values: Sequence[float]) -> dict[str, float]:
    return {
        "mean": round(statistics.fmean(values), 3),
        "least": round(min(values), 3),
        "most": round(max(values), 3),
    }


GOODPUT_BIN_S = 5.0
_BINS_AFTER_SPAN = 60
SAMPLES_FROM_S = 300.0
_SUMMARIZED_FIELDS = (
    "occupied_share",
    "prefill_share",
    "recomputed_share",
    "herding",
    "put_aside",
    "moved",
    "refused",
    "lost",
    "unfinished",
    "programs",
)
_PERCENTILES = (50, 95, 99)
