"""The replicas of all services, as listed in the discovery store.

A replica that is draining or has left gets no new requests, nor do those of an evacuated failure
domain. One that has said in an answer that it
leaves is draining, whatever the store lists, until it starts again. An entry that is missing right
after an outage of the discovery store may belong to a live replica that will be listed again, so
entries are removed only at the end of a grace period of `REMOVAL_GRACE_S`.
"""

import re
from collections import OrderedDict
from dataclasses import dataclass, replace
from ipaddress import IPv4Address

from result import Err, Ok, Result

from lagoonfold._addresses import split_address

REMOVAL_GRACE_S = 2.0  # the platform lists entries that expired in an outage again by then
MAX_LEAVING = 4_096  # incarnations that are remembered; more than leave in hours
MAX_SLOTS = 100_000
MAX_ID_CHARS = 256  # the id goes into a header of each request
MAX_STARTED = 2**53  # a whole number that every JSON reader keeps

_ID = re.compile(f"[!-~]{{1,{MAX_ID_CHARS}}}")


@dataclass(frozen=True, slots=True, kw_only=True)
class Replica:
    """A replica that discovery lists.

    `started` is its incarnation, which differs between two starts under the same id. `slots` is the
    number of requests that it runs at a time. `version` is an opaque text that names its software;
    replicas that tell none have the version "". `cold_s` is for how long the replica was still cold
    when its entry was written, and `started_unix_s` when it started, by its own word or None.
    """

    replica_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool = False
    started: int = 0
    version: str = ""
    cold_s: float | None = None
    started_unix_s: float | None = None


def check_replica(replica: Replica) -> Result[Replica, str]:
    """Return a replica whose entry has values that it can be called with, or what is wrong."""
    if not _ID.fullmatch(replica.replica_id):
        return Err(f"the id is not made of 1 to {MAX_ID_CHARS} visible ASCII characters")
    split = split_address(replica.address)
    if isinstance(split, Err):
        return split
    host, _ = split.ok_value
    try:
        IPv4Address(host)
    except ValueError:
        return Err(f"address {replica.address!r} does not begin with an IPv4 address")
    if not 1 <= replica.slots <= MAX_SLOTS:
        return Err(f"{replica.slots} slots are not from 1 to {MAX_SLOTS}")
    if not 0 <= replica.started <= MAX_STARTED:
        return Err(f"start {replica.started} is not from 0 to {MAX_STARTED}")
    return Ok(replica)


class ReplicaDirectory:
    """Merges listings and changes into the current set of replicas.

    Replicas of the failure domains in `evacuated_domains` stay listed and get no new requests.
    """

    def __init__(self) -> None:
        self.evacuated_domains: frozenset[str] = frozenset()
        self._by_id: dict[str, Replica] = {}
        self._remove_at_s_by_id: dict[str, float] = {}
        self._leaving_started_by_id: OrderedDict[str, int] = OrderedDict()
        self._grace_until_s = float("-inf")

    def begin_grace(self, *, now_s: float) -> None:
        """Delay removals by `REMOVAL_GRACE_S`; call this when the store is reachable again."""
        self._grace_until_s = now_s + REMOVAL_GRACE_S

    def record_leaving(self, replica_id: str, started: int) -> bool:
        """Record that a replica's incarnation has said that it leaves; return if that is news."""
        if self._leaving_started_by_id.get(replica_id) == started:
            return False
        known = self._by_id.get(replica_id)
        if known is not None and known.started != started:
            return False
        self._leaving_started_by_id[replica_id] = started
        if len(self._leaving_started_by_id) > MAX_LEAVING:
            self._leaving_started_by_id.popitem(last=False)
        if known is not None:
            self._by_id[replica_id] = self.with_own_word(known)
        return True

    def leaving(self) -> dict[str, int]:
        """Return the incarnations that have said that they leave, by replica id."""
        return dict(self._leaving_started_by_id)

    def with_own_word(self, replica: Replica) -> Replica:
        """Return an entry as draining if its incarnation has said that it leaves."""
        if self._leaving_started_by_id.get(replica.replica_id) != replica.started:
            return replica
        return replace(replica, is_draining=True)

    def put(self, replica: Replica) -> None:
        """Add or replace an entry and cancel its removal."""
        if self._leaving_started_by_id.get(replica.replica_id, replica.started) != replica.started:
            del self._leaving_started_by_id[replica.replica_id]
        self._by_id[replica.replica_id] = self.with_own_word(replica)
        self._remove_at_s_by_id.pop(replica.replica_id, None)

    def remove(self, replica_id: str, *, now_s: float) -> None:
        """Remove an entry at once, or at the end of a grace period in force."""
        if replica_id not in self._by_id:
            return
        if now_s < self._grace_until_s:
            self._remove_at_s_by_id.setdefault(replica_id, self._grace_until_s)
            return
        self._drop(replica_id)

    def replace_all(self, replicas: dict[str, Replica], *, now_s: float) -> None:
        """Replace all entries by a listing, given by id; removals follow `remove`."""
        for replica in replicas.values():
            self.put(replica)
        for replica_id in tuple(self._by_id):
            if replica_id not in replicas:
                self.remove(replica_id, now_s=now_s)

    def expire(self, *, now_s: float) -> bool:
        """Remove the entries whose grace period is over; return whether there were any."""
        due = [replica_id for replica_id, at_s in self._remove_at_s_by_id.items() if at_s <= now_s]
        for replica_id in due:
            self._drop(replica_id)
        return bool(due)

    def get(self, replica_id: str) -> Replica | None:
        """Return a listed replica, draining or not, None if it is not listed."""
        return self._by_id.get(replica_id)

    def may_use(self, replica_id: str) -> bool:
        """Return whether a replica may get new requests."""
        replica = self._by_id.get(replica_id)
        return replica is not None and not replica.is_draining and not self._is_evacuated(replica)

    def available_for(self, service: str) -> list[Replica]:
        """Return the replicas of a service that may get new requests."""
        return [each for each in self.staying_at(service) if not self._is_evacuated(each)]

    def staying_at(self, service: str) -> list[Replica]:
        """Return the replicas of a service that are not draining, evacuated ones included."""
        return [
            replica
            for replica in self._by_id.values()
            if replica.service == service and not replica.is_draining
        ]

    def all(self) -> list[Replica]:
        """Return every listed replica."""
        return list(self._by_id.values())

    def _is_evacuated(self, replica: Replica) -> bool:
        return replica.failure_domain in self.evacuated_domains

    def _drop(self, replica_id: str) -> None:
        self._by_id.pop(replica_id, None)
        self._remove_at_s_by_id.pop(replica_id, None)
