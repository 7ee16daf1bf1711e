"""The instances that took part in the first start of the whole system, whether they live or not.

The set never changes afterwards, so of all instances that know it, exactly one is first by
rendezvous hashing for a subject, whatever is lost, restarted or added later. What only one instance
may ever do for a subject, that one may do without asking, as long as its first process runs.

An instance that took part sees the others within `DISCOVERY_S`. One that it sees later shows that
the set is incomplete, and it is not used any more. An instance that started later is told the set.

    members = InitialMembers("i-1", is_first_start=True, started_s=0.0)
    members.record(status_of_i2, now_s=1.0)    # True: the set has changed
    members.first("program-7")    # "i-1" or "i-2", the same at both
"""

import xxhash

from lagoonfold._rendezvous import rendezvous_weight
from lagoonfold.liveness._status_table import InstanceStatus

DISCOVERY_S = 5.0  # after the first start of the system, until all instances know each other


class InitialMembers:
    """Collects the initial members at one instance."""

    def __init__(self, own_id: str, *, is_first_start: bool, started_s: float) -> None:
        self._takes_part = is_first_start
        self._ids = frozenset({own_id} if is_first_start else ())
        self._is_known = is_first_start
        self._collects_until_s = started_s + DISCOVERY_S
        self._digest: str | None = None

    @property
    def ids(self) -> tuple[str, ...]:
        """Return the initial members, sorted; empty if they are not known for certain."""
        return tuple(sorted(self._ids)) if self._is_known else ()

    @property
    def digest(self) -> str:
        """Return a digest of the initial members, empty if they are not known for certain."""
        if self._digest is None:
            ids = self.ids
            self._digest = xxhash.xxh3_64_hexdigest("|".join(ids).encode()) if ids else ""
        return self._digest

    def record(self, status: InstanceStatus, *, now_s: float) -> bool:
        """Take the status of an instance into account; return whether the set has changed."""
        if not self._takes_part or not status.is_first_start or status.instance in self._ids:
            return False
        if now_s <= self._collects_until_s:
            return self._change(self._ids | {status.instance}, is_known=self._is_known)
        return self._change(self._ids, is_known=False)

    def learn(self, ids: tuple[str, ...]) -> bool:
        """Take over the set that an initial member tells an instance that started later.

        Two that differ leave it unknown. Return whether the set has changed.
        """
        if self._takes_part or not ids:
            return False
        is_known = not self._ids or (self._is_known and self._ids == frozenset(ids))
        return self._change(self._ids | frozenset(ids), is_known=is_known)

    def first(self, subject: str) -> str | None:
        """Return the initial member that is first for a subject, None if that is not known."""
        if not self._is_known:
            return None
        return max(self._ids, key=lambda instance_id: rendezvous_weight(subject, instance_id))

    def _change(self, ids: frozenset[str], *, is_known: bool) -> bool:
        if (ids, is_known) == (self._ids, self._is_known):
            return False
        self._ids, self._is_known, self._digest = ids, is_known, None
        return True
