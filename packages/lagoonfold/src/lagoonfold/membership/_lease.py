"""An instance's lease, measured on the instance's own monotonic clock.

The key-value service starts a lease when it serves the call that grants or renews it, which is
after the call was sent. The instance counts from before it sends the call, and for slightly less
than the granted time, so its lease ends before that in the service even if its clock runs slower by
the margin.
"""

from dataclasses import dataclass

CLOCK_DRIFT_MARGIN = 0.02  # share of the granted time


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceLease:
    """A lease; from `valid_until_s` on, in seconds of the own clock, it may have expired."""

    lease_id: int
    valid_until_s: float

    @classmethod
    def from_grant(cls, lease_id: int, *, requested_at_s: float, ttl_s: float) -> "InstanceLease":
        """Return the lease that a call sent at `requested_at_s` has granted or renewed."""
        return cls(
            lease_id=lease_id, valid_until_s=requested_at_s + ttl_s * (1 - CLOCK_DRIFT_MARGIN)
        )

    def is_valid(self, now_s: float) -> bool:
        """Return whether the lease certainly has not expired in the key-value service."""
        return now_s < self.valid_until_s
