"""Finds the arrival rate at which a policy keeps a share of the slots occupied."""

from bench.policy._measure import measure
from bench.policy._scheduler import Policy
from bench.policy._simulation import Scenario
from bench.policy._workloads import Workload

STEPS = 8
SEED = 1000


def find_rate(
    workload: Workload, policy: Policy, *, occupied_share: float, high: float
) -> tuple[float, float]:
    """Return programs a second, and the share reached, by halving the interval below `high`."""
    low, best = 0.0, (0.0, 0.0)
    for _ in range(STEPS):
        middle = (low + high) / 2
        scenario = Scenario(workload=workload, policy=policy, programs_per_s=middle, seed=SEED)
        share = measure(scenario).occupied_share
        if share < occupied_share:
            low, best = middle, (middle, share)
        else:
            high = middle
    return best
