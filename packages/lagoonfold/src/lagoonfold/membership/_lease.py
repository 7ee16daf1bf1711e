"""An instance's lease, measured on the instance's own monotonic clock.

The key-value service counts a lease from the moment it serves the call that grants or renews it,
which is after the call was sent. Counting from before the call was sent, and for slightly less
than the granted time, ends the lease here before it ends there, even if this clock runs slower
by the margin.
"""

from dataclasses import dataclass

CLOCK_DRIFT_MARGIN = 0.02


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceLease:
    """A lease and the moment of the own clock, in seconds, from which it must not be relied on."""

    lease_id: int
    valid_until_s: float

    @classmethod
    def from_grant(cls, lease_id: int, *, requested_at_s: float, ttl_s: float) -> "InstanceLease":
        """Return the lease granted or renewed by a call that was sent at `requested_at_s`."""
        return cls(
            lease_id=lease_id, valid_until_s=requested_at_s + ttl_s * (1 - CLOCK_DRIFT_MARGIN)
        )

    def is_valid(self, now_s: float) -> bool:
        """Tell whether the lease certainly has not expired in the service."""
        return now_s < self.valid_until_s
