"""Arrival rates of the experiments, found by `python -m bench.policy calibrate`.

The rates are the programs a second at which 85% of the slots are busy under the baseline and under
the default policy. The default policy needs fewer slots for the same programs, so its rate
is higher.
"""

from bench.policy._policy import BASELINE, Policy
from bench.policy._scenario import Scenario
from bench.policy._workloads import WORKLOADS_BY_NAME, Surge

BASELINE_RATE_BY_WORKLOAD = {"brunner": 0.815, "corrib": 0.703}
DEFAULT_RATE_BY_WORKLOAD = {"brunner": 1.94, "corrib": 1.60}


def scenarios(
    workload: str,
    policy: Policy,
    *,
    programs_per_s: float,
    seeds: int,
    surge: Surge | None = None,
    **changes: object,
) -> list[Scenario]:
    """Return one scenario for each seed."""
    return [
        Scenario(
            workload=WORKLOADS_BY_NAME[workload],
            policy=policy,
            programs_per_s=programs_per_s,
            seed=seed,
            surge=surge,
            **changes,
        )
        for seed in range(1, seeds + 1)
    ]


__all__ = [
    "BASELINE",
    "BASELINE_RATE_BY_WORKLOAD",
    "DEFAULT_RATE_BY_WORKLOAD",
    "scenarios",
]
