"""The commands of the policy experiments: `python -m bench.policy <name>`.

Each writes `bench/out/<name>.json` and plots, and prints the path and a short table.
"""

import json

import fire

from bench.policy._calibrate import find_rate
from bench.policy._faults_experiment import run_faults, run_pace
from bench.policy._overload_experiment import run_admission
from bench.policy._points import BASELINE
from bench.policy._policy import Policy
from bench.policy._rates_experiment import run_rate_limits
from bench.policy._scheduling_experiments import (
    run_counted,
    run_order,
    run_pauses,
    run_replica,
    run_targets,
)
from bench.policy._testing_experiment import run_health_tests
from bench.policy._workloads import WORKLOADS_BY_NAME


def _show(results: object) -> None:
    print(json.dumps(results, indent=1))


def calibrate(workload: str, high: float = 2.4) -> None:
    """Print the programs a second at 85% load, under the baseline and the default policy."""
    for label, policy in (("baseline", BASELINE), ("default", Policy())):
        rate, share = find_rate(WORKLOADS_BY_NAME[workload], policy, share=0.85, high=high)
        print(f"{label}: {rate:.3f} programs a second, busy {share:.3f}")


def targets(workload: str, seeds: int = 5) -> None:
    """Run the default policy against the baseline."""
    _show(run_targets(workload, seeds))


def order(workload: str, seeds: int = 2) -> None:
    """Run decision 1."""
    _show(run_order(workload, seeds))


def replica(workload: str, seeds: int = 2) -> None:
    """Run decision 2."""
    _show(run_replica(workload, seeds))


def counted(workload: str, seeds: int = 3) -> None:
    """Run the part of decision 2 on counting what was sent since the last load report."""
    _show(run_counted(workload, seeds))


def pauses(workload: str, seeds: int = 2) -> None:
    """Run decision 3."""
    _show(run_pauses(workload, seeds))


def admission(workload: str, seeds: int = 2) -> None:
    """Run decision 4."""
    _show(run_admission(workload, seeds))


def faults(workload: str, seeds: int = 2) -> None:
    """Run the part of decision 6 that concerns replicas."""
    _show(run_faults(workload, seeds))


def pace(workload: str, seeds: int = 3) -> None:
    """Run the part of decision 6 that concerns slow replicas."""
    _show(run_pace(workload, seeds))


def rates(seeds: int = 3) -> None:
    """Run decision 5."""
    _show(run_rate_limits(seeds))


def health(seeds: int = 200) -> None:
    """Run decision 7."""
    _show(run_health_tests(seeds))


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
