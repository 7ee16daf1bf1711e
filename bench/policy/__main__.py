"""Command line of the policy experiments: `python -m bench.policy NAME`.

Each experiment prints its results as JSON and writes them to `bench/out`, some with plots. Times
are in seconds unless the name of a field says otherwise. `calibrate` only prints two lines.
"""

import json

import fire

from bench.policy._arrival_rates import BASELINE
from bench.policy._calibrate import find_rate
from bench.policy._failure_detection_experiment import run_failure_detection
from bench.policy._faults_experiment import run_faults, run_slow_replica
from bench.policy._overload_experiment import run_admission
from bench.policy._policy import Policy
from bench.policy._rates_experiment import run_rate_limits
from bench.policy._scheduling_experiments import (
    run_counted,
    run_order,
    run_pauses,
    run_replica,
    run_targets,
)
from bench.policy._workloads import WORKLOADS_BY_NAME


def _show(results: object) -> None:
    print(json.dumps(results, indent=1))


def calibrate(workload: str, high: float = 2.4) -> None:
    """Print the arrival rate that gives 85% load under the baseline and the default policy."""
    for label, policy in (("baseline", BASELINE), ("default", Policy())):
        rate, share = find_rate(WORKLOADS_BY_NAME[workload], policy, share=0.85, high=high)
        print(f"{label}: {rate:.3f} programs a second, busy {share:.3f}")


def targets(workload: str, seeds: int = 5) -> None:
    """Compare the default policy with the baseline."""
    _show(run_targets(workload, seeds))


def order(workload: str, seeds: int = 2) -> None:
    """Compare the queue disciplines."""
    _show(run_order(workload, seeds))


def replica(workload: str, seeds: int = 2) -> None:
    """Compare the rules for the choice of a replica."""
    _show(run_replica(workload, seeds))


def counted(workload: str, seeds: int = 3) -> None:
    """Compare load estimates with and without the calls sent since the last load report."""
    _show(run_counted(workload, seeds))


def pauses(workload: str, seeds: int = 2) -> None:
    """Compare the rules for the cache of a program that waits for a tool."""
    _show(run_pauses(workload, seeds))


def admission(workload: str, seeds: int = 2) -> None:
    """Compare the admission policies in an overload."""
    _show(run_admission(workload, seeds))


def faults(workload: str, seeds: int = 2) -> None:
    """Compare the default policy with the baseline when a replica fails or slows down."""
    _show(run_faults(workload, seeds))


def pace(workload: str, seeds: int = 3) -> None:
    """Compare variants of the detection of slow replicas."""
    _show(run_slow_replica(workload, seeds))


def rates(seeds: int = 3) -> None:
    """Compare ways to enforce a rate limit over several instances."""
    _show(run_rate_limits(seeds))


def health(seeds: int = 200) -> None:
    """Compare tests that detect a failing replica."""
    _show(run_failure_detection(seeds))


if __name__ == "__main__":
    commands = (
        calibrate,
        targets,
        order,
        replica,
        counted,
        pauses,
        admission,
        faults,
        pace,
        rates,
        health,
    )
    fire.Fire({command.__name__: command for command in commands})
