"""What is measured of a run, and how runs of several seeds are put together."""

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
    """One run, as it comes back from the process that ran it."""

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
    """Return the least value that more than `percent` of them do not exceed, zero of nothing."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def goodput_of(outcomes: Sequence[ProgramOutcome], *, span_s: float) -> list[float]:
    """Return the service a second of the calls of completed programs, by `GOODPUT_BIN_S`.

    What ends long after the span counts in the last bin.
    """
    bins = [0.0] * (int(span_s / GOODPUT_BIN_S) + _BINS_AFTER_SPAN)
    for outcome in outcomes:
        for ended_s, served_s in outcome.served_s if outcome.latency_s is not None else ():
            bins[min(len(bins) - 1, int(ended_s / GOODPUT_BIN_S))] += served_s / GOODPUT_BIN_S
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
        alone_s = outcome.plan.alone_s(
            prefill_tokens_per_s=size.prefill_tokens_per_s,
            decode_tokens_per_s=size.decode_tokens_per_s,
        )
        if outcome.plan.arrives_s < MEASURED_FROM_S:
            continue
        run.samples.append(
            Sample(
                account=outcome.plan.account,
                kind=outcome.plan.kind,
                arrives_s=outcome.plan.arrives_s,
                latency_s=outcome.latency_s,
                slowdown=outcome.latency_s / alone_s,
            )
        )
    run.goodput = goodput_of(simulation.outcomes, span_s=scenario.workload.span_s)
    run.occupied_share = statistics.fmean(simulation.occupied_shares)
    run.prefill_share = simulation.prefill_share
    run.recomputed_share = simulation.recomputed_tokens / max(1, simulation.needed_tokens)
    pacers = [scheduler.pacer for scheduler in simulation.schedulers]
    run.put_aside = sum(pacer.put_aside for pacer in pacers)
    run.moved = sum(pacer.moved for pacer in pacers)
    run.herding = statistics.fmean(simulation.imbalances)
    return run


def measure_all(scenarios: Iterable[Scenario]) -> list[RunMeasures]:
    """Measure scenarios in a few processes, in their order."""
    with Pool(PROCESSES) as pool:
        return pool.map(measure, scenarios, chunksize=1)


def summarize(runs: Sequence[RunMeasures]) -> dict:
    """Return means over seeds with their spread, least to most."""
    summary: dict = {"seeds": len(runs)}
    for name in ("latency_s", "slowdown"):
        values = [[getattr(sample, name) for sample in run.samples] for run in runs]
        summary[name] = {
            "mean": _spread([statistics.fmean(value) for value in values]),
            **{f"p{percent}": _spread([percentile(v, percent) for v in values]) for percent in _P},
        }
    for kind in sorted({sample.kind for run in runs for sample in run.samples}):
        summary[f"latency_s {kind}"] = {
            f"p{percent}": _spread(
                [
                    percentile([s.latency_s for s in r.samples if s.kind == kind], percent)
                    for r in runs
                ]
            )
            for percent in _P
        }
    for name in _COUNTS:
        summary[name] = _spread([getattr(run, name) for run in runs])
    return summary


def by_account(
    runs: Sequence[RunMeasures], *, from_s: float = 0.0, to_s: float = float("inf")
) -> dict[int, dict[str, float]]:
    """Return each account's p95 over the programs of all seeds that arrived in a time."""
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
    """Return the parts of a policy that differ from the defaults."""
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
MEASURED_FROM_S = 300.0
_COUNTS = (
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
_P = (50, 95, 99)
