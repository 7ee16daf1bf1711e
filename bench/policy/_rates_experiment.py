"""Compares ways to enforce a rate limit over several instances."""

from multiprocessing import Pool

from bench.policy._measure import PROCESSES
from bench.policy._rates_model import LIMITERS_BY_NAME, RateScenario, run_rates
from bench.policy._report import plot_lines, write_report
from lagoonfold.rates import RateLimit

LOADS = (0.5, 0.9, 1.0, 3.0)
INSTANCE_COUNTS = (3, 7, 20)
LIMIT = RateLimit(rate_per_s=50.0, burst=100)


def run_rate_limits(seeds: int) -> dict:
    """Compare loans with static shares and with one message to the owner for each call."""
    points = [
        (name, count, load)
        for name in LIMITERS_BY_NAME
        for count in INSTANCE_COUNTS
        for load in LOADS
    ]
    with Pool(PROCESSES) as pool:
        rows = pool.starmap(_run_point, [(*point, seeds) for point in points], chunksize=1)
    results = {f"{row['limiter']}/{row['instances']}/{row['load']}": row for row in rows}
    lines = {
        f"{name}, {count} instances": {
            row["load"]: row["wrongful_percent"]
            for row in rows
            if row["limiter"] == name and row["instances"] == count
        }
        for name in LIMITERS_BY_NAME
        for count in INSTANCE_COUNTS
    }
    axes = ("load as a share of the rate", "wrongful refusals, %")
    plot_lines("rates", lines, title="Wrongful refusals", axes_names=axes)
    write_report("rates", results)
    return results


def _run_point(name: str, count: int, load: float, seeds: int) -> dict:
    scenarios = [
        RateScenario(limiter=name, load=load, instance_count=count, seed=seed, limit=LIMIT)
        for seed in range(1, seeds + 1)
    ]
    outcomes = [run_rates(scenario) for scenario in scenarios]
    calls = sum(outcome.calls for outcome in outcomes)
    admitted = sum(outcome.admitted for outcome in outcomes)
    percentages = [100 * outcome.wrongful_refusals / outcome.calls for outcome in outcomes]
    return {
        "limiter": name,
        "instances": count,
        "load": load,
        "calls": calls,
        "wrongful_percent": round(sum(percentages) / seeds, 4),
        "wrongful_percent_most": round(max(percentages), 4),
        "admitted_share": round(admitted / calls, 4),
        "ideal_share": round(sum(outcome.ideal_admissions for outcome in outcomes) / calls, 4),
        "messages_per_call": round(sum(outcome.messages for outcome in outcomes) / calls, 3),
        "excess_tokens": round(max(outcome.excess_tokens for outcome in outcomes), 3),
        "mean_wait_ms": round(1000 * sum(o.total_wait_s for o in outcomes) / max(1, admitted), 2),
    }
