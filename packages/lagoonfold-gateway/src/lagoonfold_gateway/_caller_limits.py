"""The limits of what callers can take up at this instance, from those of its machine.

The servers for callers and for peers share one memory budget and the file descriptors. What a limit
refuses or closes is counted by cause, and logged at most once in `LOG_INTERVAL_S` for each cause: a
flood of refusals must not become a flood of lines.
"""

import math
import resource

from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._proxy_faults import ProxyFault, fault_response
from lagoonfold_gateway._settings import MemorySection
from lagoonfold_io import (
    HttpLimits,
    HttpResponse,
    MemoryBudget,
    RequestFault,
    plain_fault_response,
)
from lagoonfold_io.observe import EventLog, Metrics

BYTES_PER_MB = 1_000_000
ASSUMED_MACHINE_MB = 256  # where the settings do not state it
CALLER_DESCRIPTOR_SHARE = 0.5  # the others are for replicas, peers, the store and files
RELAY_DESCRIPTOR_SHARE = 0.125
MAX_CALLER_CONNECTIONS = 2_000
MAX_RELAY_CONNECTIONS = 1_000
LOG_INTERVAL_S = 1.0
RELAY_LIMITS = HttpLimits(  # requests with all that a kept turn continues from
    max_header_bytes=262_144, max_body_bytes=33_554_432, max_connections=MAX_RELAY_CONNECTIONS
)

_log = EventLog("callers")


class CallerLimits:
    """The limits of one instance, and the counters of what they refuse."""

    def __init__(self, settings: MemorySection, metrics: Metrics) -> None:
        machine_mb = settings.machine_mb or ASSUMED_MACHINE_MB
        self.memory = MemoryBudget(machine_mb * BYTES_PER_MB * settings.caller_share)
        descriptors = _descriptors(settings.max_descriptors)
        self.max_caller_connections = _share(
            descriptors, CALLER_DESCRIPTOR_SHARE, MAX_CALLER_CONNECTIONS
        )
        self.max_relay_connections = _share(
            descriptors, RELAY_DESCRIPTOR_SHARE, MAX_RELAY_CONNECTIONS
        )
        self._metrics = metrics
        self._log_after_s_by_cause: dict[str, float] = {}
        self._unlogged_by_cause: dict[str, int] = {}

    def for_relay(self) -> HttpLimits:
        """Return the limits of requests from other instances."""
        return HttpLimits(
            max_header_bytes=RELAY_LIMITS.max_header_bytes,
            max_body_bytes=RELAY_LIMITS.max_body_bytes,
            max_connections=self.max_relay_connections,
        )

    def record(self, cause: str) -> None:
        """Count a request that was refused, or a connection that was closed, by a limit."""
        self._metrics.count("caller_limits", cause)
        count = self._unlogged_by_cause.get(cause, 0) + 1
        time_s = now_s()
        if time_s < self._log_after_s_by_cause.get(cause, -math.inf):
            self._unlogged_by_cause[cause] = count
            return
        self._unlogged_by_cause[cause] = 0
        self._log_after_s_by_cause[cause] = time_s + LOG_INTERVAL_S
        _log.warning("callers.limited", cause=cause, count=count, held_bytes=self.memory.used_bytes)


def relay_fault_response(fault: RequestFault) -> HttpResponse:
    """Return the response to another instance: the request was not passed on to a replica."""
    if fault in (RequestFault.MEMORY_SHORT, RequestFault.TOO_MANY_CONNECTIONS):
        return fault_response(ProxyFault.NOT_RELAYED)
    return plain_fault_response(fault)


def _descriptors(stated: int) -> float:
    """Return the number of file descriptors that the process may have."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    own = math.inf if allowed == resource.RLIM_INFINITY else allowed
    return min(own, stated or math.inf)


def _share(descriptors: float, share: float, most: int) -> int:
    return max(1, int(min(most, descriptors * share)))
