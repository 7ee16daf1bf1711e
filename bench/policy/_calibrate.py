"""Finds the arrival rate at which a policy keeps its scarcest resource busy for a share of time.

The resources are the slots and the prefill of the engines.
"""

from bench.policy._measure import measure
from bench.policy._policy import Policy
from bench.policy._scenario import Scenario
from bench.policy._workloads import Workload

STEPS = 8
SEED = 1000


def find_rate(
    workload: Workload, policy: Policy, *, share: float, high: float
) -> tuple[float, float]:
    """Return programs a second, and the share reached, by halving the interval below `high`."""
    low, best = 0.0, (0.0, 0.0)
    for _ in range(STEPS):
        middle = (low + high) / 2
        scenario = Scenario(workload=workload, policy=policy, programs_per_s=middle, seed=SEED)
        run = measure(scenario)
        reached = max(run.occupied_share, run.prefill_share)
        if reached < share:
            low, best = middle, (middle, reached)
        else:
            high = middle
    return best
