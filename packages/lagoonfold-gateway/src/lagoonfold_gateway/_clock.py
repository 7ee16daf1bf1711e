"""The clock that leases and liveness are counted on.

It counts the time for which the machine was suspended, which the usual monotonic clock does not.
"""

import time


def now_s() -> float:
    """Return seconds since boot, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
