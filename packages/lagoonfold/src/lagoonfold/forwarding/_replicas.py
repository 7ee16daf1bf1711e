"""The replicas of all services as an instance knows them from discovery.

A replica that is draining or has left takes no new requests. An entry that is missing right after
an outage of the discovery store may belong to a replica that lives and will be listed again, so
its removal is held back for `RETURN_GRACE_S`.
"""

from dataclasses import dataclass

RETURN_GRACE_S = 2.0  # entries that lapsed in an outage are back within this time, by the platform


@dataclass(frozen=True, slots=True, kw_only=True)
class Replica:
    """A listed replica; `started` differs between two starts under the same id."""

    replica_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool = False
    started: int = 0


class ReplicaDirectory:
    """Merges listings and changes into the set of replicas that may be used."""

    def __init__(self) -> None:
        self._by_id: dict[str, Replica] = {}
        self._remove_at_s_by_id: dict[str, float] = {}
        self._grace_until_s = float("-inf")

    def begin_grace(self, *, now_s: float) -> None:
        """Hold removals back: the store has just come back into reach."""
        self._grace_until_s = now_s + RETURN_GRACE_S

    def put(self, replica: Replica) -> None:
        """Take in an entry as it is now."""
        self._by_id[replica.replica_id] = replica
        self._remove_at_s_by_id.pop(replica.replica_id, None)

    def remove(self, replica_id: str, *, now_s: float) -> None:
        """Take in that an entry is gone, at once or at the end of the grace."""
        if replica_id not in self._by_id:
            return
        if now_s < self._grace_until_s:
            self._remove_at_s_by_id.setdefault(replica_id, self._grace_until_s)
            return
        self._drop(replica_id)

    def replace_all(self, replicas: dict[str, Replica], *, now_s: float) -> None:
        """Take in a whole listing, by id."""
        for replica in replicas.values():
            self.put(replica)
        for replica_id in tuple(self._by_id):
            if replica_id not in replicas:
                self.remove(replica_id, now_s=now_s)

    def expire(self, *, now_s: float) -> bool:
        """Remove the entries whose grace is over; return whether there were any."""
        due = [key for key, at_s in self._remove_at_s_by_id.items() if at_s <= now_s]
        for replica_id in due:
            self._drop(replica_id)
        return bool(due)

    def get(self, replica_id: str) -> Replica | None:
        """Return a listed replica, draining or not."""
        return self._by_id.get(replica_id)

    def available_for(self, service: str) -> list[Replica]:
        """Return the replicas of a service that may take new requests."""
        return [
            replica
            for replica in self._by_id.values()
            if replica.service == service and not replica.is_draining
        ]

    def all(self) -> list[Replica]:
        """Return every listed replica."""
        return list(self._by_id.values())

    def _drop(self, replica_id: str) -> None:
        self._by_id.pop(replica_id, None)
        self._remove_at_s_by_id.pop(replica_id, None)
