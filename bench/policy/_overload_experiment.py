"""Compares admission policies while all accounts send more programs for one minute."""

import statistics
from collections.abc import Sequence

from bench.policy._arrival_rates import DEFAULT_RATE_BY_WORKLOAD, scenarios
from bench.policy._measure import GOODPUT_BIN_S, RunMeasures, measure_all, percentile, summarize
from bench.policy._policy import Policy
from bench.policy._report import plot_lines, write_report
from bench.policy._workloads import Surge
from lagoonfold.scheduling import ADMISSION_POLICIES_BY_NAME

SURGE_FROM_S = 900.0
SURGE_S = 60.0
REFERENCE_FROM_S = 600.0
REPORT_BIN_S = 10.0
FACTORS = (2.0, 5.0)
CALL_TIMEOUT_S = 120.0
MAX_WAIT_S = 10.0
RECOVERED_SLOWDOWN = 2.0
RECOVERY_BIN_S = 15.0


def run_admission(workload: str, seeds: int) -> dict:
    """Compare the admission policies by their goodput, the service of completed programs."""
    results: dict = {}
    lines: dict[str, dict[float, float]] = {}
    for factor in FACTORS:
        surge = Surge(factor=factor, from_s=SURGE_FROM_S, to_s=SURGE_FROM_S + SURGE_S)
        for name in sorted(ADMISSION_POLICIES_BY_NAME):
            policy = Policy(admission=name, max_wait_s=MAX_WAIT_S)
            if name == "always-queue":
                policy = Policy(admission=name)
            planned = scenarios(
                workload,
                policy,
                programs_per_s=DEFAULT_RATE_BY_WORKLOAD[workload],
                seeds=seeds,
                surge=surge,
                call_timeout_s=CALL_TIMEOUT_S,
            )
            runs = measure_all(planned)
            label = f"{name}, {factor:g}x"
            results[label] = _summarize(runs)
            lines[label] = {
                number * GOODPUT_BIN_S: value
                for number, value in enumerate(_mean_goodput(runs))
                if 800 <= number * GOODPUT_BIN_S < 1300
            }
    axes = ("time, s", "goodput, service-seconds a second")
    plot_lines(f"admission-{workload}", lines, title=f"Overload, {workload}", axes_names=axes)
    write_report(f"admission-{workload}", results)
    return results


def _summarize(runs: Sequence[RunMeasures]) -> dict:
    goodput = _mean_goodput(runs)
    before = _mean(goodput, REFERENCE_FROM_S, SURGE_FROM_S)
    during = _mean(goodput, SURGE_FROM_S, SURGE_FROM_S + SURGE_S)
    after = _mean(goodput, SURGE_FROM_S + SURGE_S, SURGE_FROM_S + 3 * SURGE_S)
    summary = summarize(runs)
    return {
        "goodput before": round(before, 2),
        "goodput during": round(during, 2),
        "goodput in the two minutes after": round(after, 2),
        "seconds to recover": _recovery_s(runs),
        "goodput by 10 s of the overload": _by_report_bin(goodput, SURGE_FROM_S, SURGE_S),
        "goodput by 10 s after it": _by_report_bin(goodput, SURGE_FROM_S + SURGE_S, 2 * SURGE_S),
        "least 10 s of the overload by seed": [
            min(_by_report_bin(run.goodput, SURGE_FROM_S, SURGE_S)) for run in runs
        ],
        "10 s before it, least to most by seed": _reference_range(runs),
        "refused": summary["refused"]["mean"],
        "lost after the first turn": summary["lost"]["mean"],
        "slowdown p95": summary["slowdown"]["p95"],
    }


def _mean_goodput(runs: Sequence[RunMeasures]) -> list[float]:
    return [statistics.fmean(values) for values in zip(*(run.goodput for run in runs), strict=True)]


def _by_report_bin(goodput: Sequence[float], from_s: float, length_s: float) -> list[float]:
    """Return the goodput of an interval in bins of `REPORT_BIN_S`."""
    count = int(length_s / REPORT_BIN_S)
    starts = [from_s + number * REPORT_BIN_S for number in range(count)]
    return [round(_mean(goodput, start_s, start_s + REPORT_BIN_S), 1) for start_s in starts]


def _reference_range(runs: Sequence[RunMeasures]) -> list[list[float]]:
    """Return the lowest and the highest bin of the five minutes before the overload, by seed."""
    bins = [
        _by_report_bin(run.goodput, REFERENCE_FROM_S, SURGE_FROM_S - REFERENCE_FROM_S)
        for run in runs
    ]
    return [[min(run_bins), max(run_bins)] for run_bins in bins]


def _mean(goodput: Sequence[float], from_s: float, to_s: float) -> float:
    return statistics.fmean(goodput[int(from_s / GOODPUT_BIN_S) : int(to_s / GOODPUT_BIN_S)])


def _recovery_s(runs: Sequence[RunMeasures]) -> float:
    """Return the seconds from the end of the surge until arriving programs are as fast as before.

    They are when the p95 slowdown of a bin is at most `RECOVERED_SLOWDOWN`.
    """
    start_s = SURGE_FROM_S + SURGE_S
    for number in range(50):
        from_s = start_s + number * RECOVERY_BIN_S
        slowdowns = [
            sample.slowdown
            for run in runs
            for sample in run.samples
            if from_s <= sample.arrives_s < from_s + RECOVERY_BIN_S
        ]
        if percentile(slowdowns, 95) <= RECOVERED_SLOWDOWN:
            return number * RECOVERY_BIN_S
    return float("inf")
