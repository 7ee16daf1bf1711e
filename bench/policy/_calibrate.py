"""Finds the arrival rate at which a policy keeps its bottleneck busy for a given share of time.

The bottleneck is the busier of the engines' slots and their prefill.
"""

from bench.policy._measure import measure
from bench.policy._policy import Policy
from bench.policy._scenario import Scenario
from bench.policy._workloads import Workload

BISECTION_STEPS = 8
SEED = 1000


def find_rate(
    workload: Workload, policy: Policy, *, share: float, high: float
) -> tuple[float, float]:
    """Return programs a second and the busy share reached, by bisection between zero and `high`."""
    low, best = 0.0, (0.0, 0.0)
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        scenario = Scenario(workload=workload, policy=policy, programs_per_s=middle, seed=SEED)
        run = measure(scenario)
        reached = max(run.occupied_share, run.prefill_share)
        if reached < share:
            low, best = middle, (middle, reached)
        else:
            high = middle
    return best
