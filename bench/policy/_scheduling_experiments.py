"""Compares queue disciplines, replica choice and cache policies at tool pauses."""

import statistics
from collections.abc import Mapping, Sequence
from dataclasses import replace

from bench.policy._arrival_rates import (
    BASELINE,
    BASELINE_RATE_BY_WORKLOAD,
    DEFAULT_RATE_BY_WORKLOAD,
    scenarios,
)
from bench.policy._measure import RunMeasures, by_account, measure_all, summarize
from bench.policy._policy import Policy
from bench.policy._report import plot_spreads, write_report
from bench.policy._workloads import Surge
from lagoonfold.scheduling import (
    CACHE_POLICIES_BY_NAME,
    CHOOSERS_BY_NAME,
    QUEUE_DISCIPLINES_BY_NAME,
)

RATES_BY_LOAD = {
    "85% of baseline": BASELINE_RATE_BY_WORKLOAD,
    "85% of default": DEFAULT_RATE_BY_WORKLOAD,
}
FLOODING_ACCOUNT = 3
# One account sends five times as many programs.
FLOOD = Surge(factor=5.0, from_s=600.0, to_s=1500.0, account=FLOODING_ACCOUNT)


def run_policies(
    workload: str,
    policies_by_label: Mapping[str, Policy],
    *,
    programs_per_s: float,
    seeds: int,
    surge: Surge | None = None,
    **changes: object,
) -> dict[str, list[RunMeasures]]:
    """Measure each policy over the same seeds."""
    planned = {
        label: scenarios(
            workload, policy, programs_per_s=programs_per_s, seeds=seeds, surge=surge, **changes
        )
        for label, policy in policies_by_label.items()
    }
    runs = measure_all([scenario for group in planned.values() for scenario in group])
    return {
        label: runs[number * seeds : (number + 1) * seeds] for number, label in enumerate(planned)
    }


def fairness(runs: Sequence[RunMeasures]) -> dict[str, object]:
    """Compare the slowest with the median account, without the account that causes the flood."""
    accounts = by_account(runs, from_s=FLOOD.from_s, to_s=FLOOD.to_s)
    flooding = accounts.pop(FLOODING_ACCOUNT, None)
    result: dict[str, object] = {"flooding": flooding, "accounts": accounts}
    for name in ("latency_p95_s", "slowdown_p95"):
        values = [account[name] for account in accounts.values()]
        result[f"worst/median {name}"] = round(max(values) / statistics.median(values), 3)
    return result


def _report(name: str, runs_by_label: dict[str, list[RunMeasures]], axis: str) -> dict:
    results = {label: summarize(runs) for label, runs in runs_by_label.items()}
    spreads = {
        label: result[axis.split("/")[0]][axis.split("/")[1]] for label, result in results.items()
    }
    plot_spreads(name, spreads, title=name, axis=axis)
    return results


def run_targets(workload: str, seeds: int) -> dict:
    """Compare the default policy with the baseline at 85% load of the baseline."""
    rate = BASELINE_RATE_BY_WORKLOAD[workload]
    policies = {"baseline": BASELINE, "default": Policy()}
    runs = run_policies(workload, policies, programs_per_s=rate, seeds=seeds)
    results = _report(f"targets-{workload}", runs, "latency_s/p95")
    write_report(f"targets-{workload}", results)
    return results


def run_order(workload: str, seeds: int) -> dict:
    """Compare the queue disciplines with the default replica choice at 85% load and in a flood."""
    rate = DEFAULT_RATE_BY_WORKLOAD[workload]
    policies = {
        order: Policy(order=order, has_priorities="attained" in order)
        for order in sorted(QUEUE_DISCIPLINES_BY_NAME)
    }
    calm = run_policies(workload, policies, programs_per_s=rate, seeds=seeds)
    flood = run_policies(workload, policies, programs_per_s=rate, seeds=seeds, surge=FLOOD)
    results: dict = {"calm": _report(f"order-{workload}", calm, "slowdown/p95")}
    results["flood"] = {label: summarize(runs) for label, runs in flood.items()}
    for label in policies:
        results["flood"][label]["fairness"] = fairness(flood[label])
        results["calm"][label]["fairness"] = fairness(calm[label])
    write_report(f"order-{workload}", results)
    return results


def run_replica(workload: str, seeds: int) -> dict:
    """Compare the rules for the choice of a replica with the default queue discipline."""
    policies = {chooser: Policy(chooser=chooser) for chooser in sorted(CHOOSERS_BY_NAME)}
    results = {}
    for load, rates in RATES_BY_LOAD.items():
        runs = run_policies(workload, policies, programs_per_s=rates[workload], seeds=seeds)
        results[load] = _report(f"replica-{workload}-{load.split()[-1]}", runs, "latency_s/p95")
    write_report(f"replica-{workload}", results)
    return results


def run_counted(workload: str, seeds: int) -> dict:
    """Compare load estimates with and without the calls sent since the last report, by chooser."""
    policies = {
        f"{chooser}, {'counted' if counts_sent else 'reports alone'}": Policy(
            chooser=chooser, counts_sent=counts_sent
        )
        for chooser in ("least-loaded", "near-best-two", "memory-bound")
        for counts_sent in (True, False)
    }
    results = {}
    for load, rates in RATES_BY_LOAD.items():
        runs = run_policies(workload, policies, programs_per_s=rates[workload], seeds=seeds)
        results[load] = {label: summarize(group) for label, group in runs.items()}
    write_report(f"counted-{workload}", results)
    return results


def run_pauses(workload: str, seeds: int) -> dict:
    """Compare the cache policies at tool pauses, with the full cache and with half of it."""
    policies = {cache: Policy(cache=cache) for cache in sorted(CACHE_POLICIES_BY_NAME)}
    rate = 0.9 * DEFAULT_RATE_BY_WORKLOAD[workload]
    results = {}
    for label, share in (("memory", 1.0), ("half memory", 0.5)):
        size = _size_with(share)
        runs = run_policies(workload, policies, programs_per_s=rate, seeds=seeds, size=size)
        name = f"pauses-{workload}-{label.replace(' ', '-')}"
        results[label] = _report(name, runs, "latency_s/p95")
    write_report(f"pauses-{workload}", results)
    return results


def _size_with(share: float) -> object:
    size = scenarios("brunner", Policy(), programs_per_s=1.0, seeds=1)[0].size
    return replace(size, cache_tokens=int(size.cache_tokens * share))
