"""Measures program latency when a replica fails or becomes ten times slower under load."""

from collections.abc import Sequence

from bench.policy._arrival_rates import (
    BASELINE,
    BASELINE_RATE_BY_WORKLOAD,
    DEFAULT_RATE_BY_WORKLOAD,
    scenarios,
)
from bench.policy._measure import RunMeasures, measure_all, percentile, summarize
from bench.policy._policy import Policy
from bench.policy._report import write_report
from bench.policy._scheduling_experiments import FLOOD

FAULT_AT_S = 900.0
BIN_S = 60.0
SPEED_SIGMA = 0.4
SLOW_REPLICA_POLICIES = {
    "none": Policy(sees_pace=False),
    "seen": Policy(shares_pace=False, moves_calls=False),
    "seen, moved": Policy(shares_pace=False),
    "shared": Policy(moves_calls=False),
    "shared, moved": Policy(),
}
# Cases for the harm of wrong detection; they compare only `SIDE_EFFECT_POLICIES`.
SIDE_EFFECT_CASES = frozenset(
    {"well", "well, 85%", "uneven", "uneven, 85%", "flood", "flood, slow"}
)
SIDE_EFFECT_POLICIES = {label: SLOW_REPLICA_POLICIES[label] for label in ("none", "shared, moved")}


def run_faults(workload: str, seeds: int) -> dict:
    """Compare the default policy with the baseline while one of five replicas is dead or slow."""
    results: dict = {}
    for fault in ("none", "dead", "slow"):
        changes = {} if fault == "none" else {f"{fault}_engine_at_s": FAULT_AT_S}
        for label, policy in (("baseline", BASELINE), ("default", Policy())):
            planned = scenarios(
                workload,
                policy,
                programs_per_s=BASELINE_RATE_BY_WORKLOAD[workload],
                seeds=seeds,
                **changes,
            )
            runs = measure_all(planned)
            summary = summarize(runs)
            results[f"{label}, {fault}"] = {
                "slowdown p95 by minute after the fault": _slowdown_p95_by_minute(runs),
                "latency p95 s": summary["latency_s"]["p95"],
                "recomputed": summary["recomputed_share"]["mean"],
                "unfinished": summary["unfinished"]["mean"],
            }
    write_report(f"faults-{workload}", results)
    return results


def run_slow_replica(workload: str, seeds: int) -> dict:
    """Compare variants of slow replica detection with and without a slow replica.

    In the cases `uneven` every replica is healthy, but its speed changes every few seconds. In the
    cases `flood` one account sends more programs than usual.
    """
    low_rate, high_rate = BASELINE_RATE_BY_WORKLOAD[workload], DEFAULT_RATE_BY_WORKLOAD[workload]
    slow = {"slow_engine_at_s": FAULT_AT_S}
    cases = {
        "slow": {"programs_per_s": low_rate, **slow},
        "slow, 85%": {"programs_per_s": high_rate, **slow},
        "well": {"programs_per_s": low_rate},
        "well, 85%": {"programs_per_s": high_rate},
        "uneven": {"programs_per_s": low_rate, "speed_sigma": SPEED_SIGMA},
        "uneven, 85%": {"programs_per_s": high_rate, "speed_sigma": SPEED_SIGMA},
        "flood": {"programs_per_s": high_rate, "surge": FLOOD},
        "flood, slow": {"programs_per_s": high_rate, "surge": FLOOD, **slow},
    }
    results: dict = {}
    for case, changes in cases.items():
        compared = SIDE_EFFECT_POLICIES if case in SIDE_EFFECT_CASES else SLOW_REPLICA_POLICIES
        for label, policy in compared.items():
            runs = measure_all(scenarios(workload, policy, seeds=seeds, **changes))
            summary = summarize(runs)
            results[f"{case}: {label}"] = {
                "slowdown p95 by minute after the fault": _slowdown_p95_by_minute(runs),
                "slowdown p95": summary["slowdown"]["p95"],
                "slowdown p99": summary["slowdown"]["p99"],
                "recomputed": summary["recomputed_share"],
                "put aside": summary["put_aside"]["mean"],
                "moved": summary["moved"]["mean"],
                "unfinished": summary["unfinished"]["mean"],
            }
    write_report(f"pace-{workload}", results)
    return results


def _slowdown_p95_by_minute(runs: Sequence[RunMeasures]) -> list[float]:
    """Return the p95 slowdown of the programs of each minute, from one minute before the fault."""
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
