"""The statuses of all instances, merged so that all instances agree whatever arrives in what order.

A status with a higher number replaces one with a lower number; at equal numbers, lost replaces
leaving and leaving replaces live. Only the instance itself raises its number, so a wrong claim that
it is lost holds until it hears of it.
"""

from bisect import insort
from collections.abc import Iterable

import msgspec
import xxhash

from lagoonfold.liveness._ring import Ring

LIVE = 0
LEAVING = 1
LOST = 2


class InstanceStatus(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What is known of an instance: its start, address, failure domain, and whether it is live.

    `address` is that for peers; the failure domain is "" for an instance of an earlier release.
    `number` grows with each start and each refuted claim. `state` is `LIVE`, `LEAVING` or `LOST`.
    `is_first_start` means that this start was part of the first start of the whole system.
    `processor_cores` is the processor capacity, None where an instance of an earlier release told
    the status or passed it on.
    """

    instance: str
    start_id: str
    number: int
    state: int = LIVE
    address: str = ""
    is_first_start: bool = False
    failure_domain: str = ""
    processor_cores: float | None = None

    @property
    def is_live(self) -> bool:
        """Return whether the instance is live."""
        return self.state == LIVE

    def supersedes(self, other: "InstanceStatus") -> bool:
        """Return whether this status replaces another one of the same instance."""
        return (self.number, self.state, self.start_id) > (
            other.number,
            other.state,
            other.start_id,
        )


class StatusTable:
    """The latest status of each known instance; `ring` holds the live ones."""

    def __init__(self) -> None:
        self._status_by_id: dict[str, InstanceStatus] = {}
        self._digest = 0
        self._live_ids: list[str] = []
        self.ring = Ring()

    def merge(self, status: InstanceStatus) -> bool:
        """Apply a status; return whether it was news.

        A capacity that an earlier release has not passed on is taken from another status of the
        same start, so that it does not depend on who told the status first.
        """
        known = self._status_by_id.get(status.instance)
        if known is not None and not status.supersedes(known):
            return self._complete(known, status)
        status = _with_cores_of(known, status)
        self._digest ^= _digest_of(known) ^ _digest_of(status)
        self._status_by_id[status.instance] = status
        was_live = known is not None and known.is_live
        if status.is_live and not was_live:
            insort(self._live_ids, status.instance)
            self.ring.add(status.instance)
        elif was_live and not status.is_live:
            self._live_ids.remove(status.instance)
            self.ring.remove(status.instance)
        return True

    def _complete(self, known: InstanceStatus, status: InstanceStatus) -> bool:
        """Add the capacity of a status that is no news to the known one; return if it lacked it."""
        completed = _with_cores_of(status, known)
        self._status_by_id[known.instance] = completed
        return completed is not known

    def merge_all(self, statuses: Iterable[InstanceStatus]) -> list[InstanceStatus]:
        """Apply statuses; return those that were news."""
        return [status for status in statuses if self.merge(status)]

    def forget(self, instance_id: str) -> None:
        """Drop an instance that is not live; a live one stays."""
        known = self._status_by_id.get(instance_id)
        if known is not None and not known.is_live:
            del self._status_by_id[instance_id]

    def get(self, instance_id: str) -> InstanceStatus | None:
        """Return the status of an instance, None if nothing is known of it."""
        return self._status_by_id.get(instance_id)

    def is_live(self, instance_id: str) -> bool:
        """Return whether an instance is known to be live."""
        known = self._status_by_id.get(instance_id)
        return known is not None and known.is_live

    def all(self) -> tuple[InstanceStatus, ...]:
        """Return all statuses."""
        return tuple(self._status_by_id.values())

    def live_ids(self) -> tuple[str, ...]:
        """Return the ids of the live instances, sorted."""
        return tuple(self._live_ids)

    @property
    def digest(self) -> int:
        """Return a digest of the live instances; equal tables have equal digests."""
        return self._digest


def _with_cores_of(source: InstanceStatus | None, status: InstanceStatus) -> InstanceStatus:
    """Return a status with the capacity told by another one of the same start, if it lacks it."""
    if status.processor_cores is not None or source is None or source.processor_cores is None:
        return status
    if source.start_id != status.start_id:
        return status
    return msgspec.structs.replace(status, processor_cores=source.processor_cores)


def _digest_of(status: InstanceStatus | None) -> int:
    if status is None or not status.is_live:
        return 0
    return xxhash.xxh64_intdigest(f"{status.instance}|{status.number}|{status.start_id}".encode())
