"""The processor capacity that an instance tells, and what counts where it tells none."""

import math

DEFAULT_CORES = 1.0  # of an instance that tells no capacity, or one that cannot be used
MAX_CORES = 1_024.0  # more than any machine has


def is_capacity(cores: float) -> bool:
    """Return whether a number of cores can be that of an instance."""
    return math.isfinite(cores) and 0 < cores <= MAX_CORES


def usable_cores(cores: float | None) -> float:
    """Return the cores for which an instance counts.

    usable_cores(0.516)    # 0.516
    usable_cores(None)     # 1.0
    usable_cores(-2.0)     # 1.0
    """
    return cores if cores is not None and is_capacity(cores) else DEFAULT_CORES
