"""The experiment on a replica that dies or becomes ten times slower under load."""

from collections.abc import Sequence

from bench.policy._measure import RunMeasures, measure_all, percentile, summarize
from bench.policy._points import BASELINE, BASELINE_RATE_BY_WORKLOAD, scenarios
from bench.policy._report import write_report
from bench.policy._scheduler import Policy

FAULT_AT_S = 900.0
BIN_S = 60.0


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
