"""The state of the key-value stand-in: keys with revisions, leases and the history of events.

Callers pass the time as an argument, in seconds on a clock of their choice.
"""

from bisect import bisect_left
from dataclasses import dataclass, field

MAX_VALUE_BYTES = 1_000_000
MAX_EVENTS = 50_000


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredKey:
    """A key with its value and revision; `lease_id` is zero for a key without a lease."""

    key: bytes
    value: bytes
    revision: int
    lease_id: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredEvent:
    """One change of a key: a put, or a deletion if `value` is None."""

    key: bytes
    value: bytes | None
    revision: int


@dataclass(slots=True, kw_only=True)
class _Lease:
    ttl_s: float
    expires_at_s: float
    keys: set[bytes] = field(default_factory=set)


class LeaseNotFoundError(Exception):
    """The lease was never granted, was revoked or has expired."""


class KvStore:
    """An ordered map with one revision number, which every change increments."""

    def __init__(self) -> None:
        self.revision = 1
        self.events: list[StoredEvent] = []
        self.compacted_revision = 0
        self._entries_by_key: dict[bytes, StoredKey] = {}
        self._sorted_keys: list[bytes] = []
        self._leases_by_id: dict[int, _Lease] = {}
        self._next_lease_id = 1000

    def get(self, key: bytes) -> StoredKey | None:
        """Return the key's entry, or None if it is absent."""
        return self._entries_by_key.get(key)

    def range(self, start: bytes, end: bytes) -> list[StoredKey]:
        """Return the entries from `start` up to but not including `end`.

        An empty `end` selects `start` alone.
        """
        if not end:
            entry = self.get(start)
            return [entry] if entry else []
        first = bisect_left(self._sorted_keys, start)
        last = bisect_left(self._sorted_keys, end)
        return [self._entries_by_key[key] for key in self._sorted_keys[first:last]]

    def put(self, key: bytes, value: bytes, lease_id: int) -> None:
        """Write a key; raise `LeaseNotFoundError` if its lease does not exist."""
        if lease_id and lease_id not in self._leases_by_id:
            raise LeaseNotFoundError(lease_id)
        self._detach(key)
        if lease_id:
            self._leases_by_id[lease_id].keys.add(key)
        self.revision += 1
        if key not in self._entries_by_key:
            self._sorted_keys.insert(bisect_left(self._sorted_keys, key), key)
        self._entries_by_key[key] = StoredKey(
            key=key, value=value, revision=self.revision, lease_id=lease_id
        )
        self._record(StoredEvent(key=key, value=value, revision=self.revision))

    def delete(self, start: bytes, end: bytes) -> int:
        """Delete a range as one revision and return the number of keys deleted."""
        matching = self.range(start, end)
        if not matching:
            return 0
        self.revision += 1
        for entry in matching:
            self._detach(entry.key)
            del self._entries_by_key[entry.key]
            self._record(StoredEvent(key=entry.key, value=None, revision=self.revision))
        first = bisect_left(self._sorted_keys, matching[0].key)
        del self._sorted_keys[first : first + len(matching)]
        return len(matching)

    def grant(self, ttl_s: float, now_s: float) -> int:
        """Create a lease that expires at `now_s + ttl_s` and return its id."""
        self._next_lease_id += 1
        lease = _Lease(ttl_s=ttl_s, expires_at_s=now_s + ttl_s)
        self._leases_by_id[self._next_lease_id] = lease
        return self._next_lease_id

    def renew(self, lease_id: int, now_s: float) -> float:
        """Renew a lease and return its time to live in seconds, zero if it does not exist."""
        lease = self._leases_by_id.get(lease_id)
        if lease is None:
            return 0.0
        lease.expires_at_s = now_s + lease.ttl_s
        return lease.ttl_s

    def revoke(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        lease = self._leases_by_id.pop(lease_id, None)
        if lease is None:
            raise LeaseNotFoundError(lease_id)
        for key in sorted(lease.keys):
            self.delete(key, b"")

    def expire(self, now_s: float) -> None:
        """Revoke every lease that has expired."""
        expired = [
            lease_id
            for lease_id, lease in self._leases_by_id.items()
            if lease.expires_at_s <= now_s
        ]
        for lease_id in expired:
            self.revoke(lease_id)

    def events_since(self, start: bytes, end: bytes, revision: int) -> list[StoredEvent]:
        """Return the events of a range from `revision` on that are not compacted, oldest first."""
        first = bisect_left(self.events, revision, key=lambda event: event.revision)
        return [
            event
            for event in self.events[first:]
            if event.key == start or (end and start <= event.key < end)
        ]

    def _detach(self, key: bytes) -> None:
        entry = self._entries_by_key.get(key)
        if entry is not None and entry.lease_id in self._leases_by_id:
            self._leases_by_id[entry.lease_id].keys.discard(key)

    def _record(self, event: StoredEvent) -> None:
        self.events.append(event)
        if len(self.events) > MAX_EVENTS:
            dropped = len(self.events) // 2
            self.compacted_revision = self.events[dropped - 1].revision
            del self.events[:dropped]
