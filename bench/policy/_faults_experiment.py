"""The experiment on a replica that dies or becomes ten times slower under load."""

from collections.abc import Sequence

from bench.policy._measure import RunMeasures, measure_all, percentile, summarize
from bench.policy._points import (
    BASELINE,
    BASELINE_RATE_BY_WORKLOAD,
    DEFAULT_RATE_BY_WORKLOAD,
    scenarios,
)
from bench.policy._policy import Policy
from bench.policy._report import write_report
from bench.policy._scheduling_experiments import FLOOD

FAULT_AT_S = 900.0
BIN_S = 60.0
UNEVENNESS = 0.4
PACE_POLICIES = {
    "none": Policy(sees_pace=False),
    "seen": Policy(shares_pace=False, moves_calls=False),
    "seen, moved": Policy(shares_pace=False),
    "shared": Policy(moves_calls=False),
    "shared, moved": Policy(),
}
HARM_CASES = frozenset({"well", "well, 85%", "uneven", "uneven, 85%", "flood", "flood, slow"})
HARM_POLICIES = {label: PACE_POLICIES[label] for label in ("none", "shared, moved")}


def run_faults(workload: str, seeds: int) -> dict:
    """Compare the default with the baseline, each with one of five replicas at fault."""
    results: dict = {}
    for fault in ("none", "dead", "slow"):
        changes = {} if fault == "none" else {f"{fault}_engine_at_s": FAULT_AT_S}
        for label, policy in (("baseline", BASELINE), ("default", Policy())):
            todo = scenarios(
                workload,
                policy,
                programs_per_s=BASELINE_RATE_BY_WORKLOAD[workload],
                seeds=seeds,
                **changes,
            )
            runs = measure_all(todo)
            summary = summarize(runs)
            results[f"{label}, {fault}"] = {
                "slowdown p95 by minute after the fault": _after(runs),
                "latency p95 s": summary["latency_s"]["p95"],
                "recomputed": summary["recomputed_share"]["mean"],
                "unfinished": summary["unfinished"]["mean"],
            }
    write_report(f"faults-{workload}", results)
    return results


def run_pace(workload: str, seeds: int) -> dict:
    """Compare what is done about a slow replica: with one, without one, and under a flood.

    Where paces are uneven, all replicas are well but each has another pace every few seconds.
    """
    calm, busy = BASELINE_RATE_BY_WORKLOAD[workload], DEFAULT_RATE_BY_WORKLOAD[workload]
    slow = {"slow_engine_at_s": FAULT_AT_S}
    cases = {
        "slow": {"programs_per_s": calm, **slow},
        "slow, 85%": {"programs_per_s": busy, **slow},
        "well": {"programs_per_s": calm},
        "well, 85%": {"programs_per_s": busy},
        "uneven": {"programs_per_s": calm, "unevenness": UNEVENNESS},
        "uneven, 85%": {"programs_per_s": busy, "unevenness": UNEVENNESS},
        "flood": {"programs_per_s": busy, "surge": FLOOD},
        "flood, slow": {"programs_per_s": busy, "surge": FLOOD, **slow},
    }
    results: dict = {}
    for case, changes in cases.items():
        compared = HARM_POLICIES if case in HARM_CASES else PACE_POLICIES
        for label, policy in compared.items():
            runs = measure_all(scenarios(workload, policy, seeds=seeds, **changes))
            summary = summarize(runs)
            results[f"{case}: {label}"] = {
                "slowdown p95 by minute after the fault": _after(runs),
                "slowdown p95": summary["slowdown"]["p95"],
                "slowdown p99": summary["slowdown"]["p99"],
                "recomputed": summary["recomputed_share"],
                "put aside": summary["put_aside"]["mean"],
                "moved": summary["moved"]["mean"],
                "unfinished": summary["unfinished"]["mean"],
            }
    write_report(f"pace-{workload}", results)
    return results


def _after(runs: Sequence[RunMeasures]) -> list[float]:
    """Return the p95 slowdown of programs that arrive in each minute, from one before the fault."""
    rows = []
    for number in range(-1, 10):
        from_s = FAULT_AT_S + number * BIN_S
        slowdowns = [
            sample.slowdown
            for run in runs
            for sample in run.samples
            if from_s <= sample.arrives_s < from_s + BIN_S
        ]
        rows.append(round(percentile(slowdowns, 95), 2))
    return rows
