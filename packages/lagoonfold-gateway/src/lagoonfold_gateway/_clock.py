"""The clock for leases and liveness.

Unlike `time.monotonic`, it includes the time for which the machine was suspended.
"""

import time


def now_s() -> float:
    """Return the seconds since boot, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_s() -> float:
    """Return the seconds since 1970, by the machine's clock; those of others may differ."""
    return time.time()
