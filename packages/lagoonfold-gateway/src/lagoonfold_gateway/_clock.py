"""The clock for leases and liveness.

Unlike `time.monotonic`, it includes the time for which the machine was suspended.
"""

import time


def now_s() -> float:
    """Return the seconds since boot, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
