"""Ports to the platform: what the controllers need of the outside, without saying how.

A store's failed operation says whether it may have taken effect: `StoreErrorKind.UNAVAILABLE`
means that it did not, `StoreErrorKind.LOST_ANSWER` that it may have, and `StoreErrorKind.REFUSED`
that the service will not take the call as it is. The caller of a lost compare-and-swap reads the
key back and compares the writer id in the value.
"""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from result import Result

ABSENT_REVISION = 0
NO_LEASE = 0
MAX_CREATES_PER_CALL = 100
MAX_ENTRIES_PER_COMMIT = 32


class StoreErrorKind(Enum):
    """Why an operation of the key-value service failed."""

    CONFLICT = "conflict"
    HISTORY_LOST = "history-lost"
    LEASE_EXPIRED = "lease-expired"
    LOST_ANSWER = "lost-answer"
    REFUSED = "refused"
    THROTTLED = "throttled"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreError:
    """A failed operation of the key-value service."""

    kind: StoreErrorKind
    detail: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """A key's value; `revision` is that of its last change, `ABSENT_REVISION` if it is absent."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """The entries below a prefix, all read at one revision of the store."""

    entries: tuple[Entry, ...]
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseGrant:
    """A granted lease; `ttl_s` counts from the moment before the grant was asked for."""

    lease_id: int
    ttl_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchEvent:
    """A change below a watched prefix; a deleted key has `ABSENT_REVISION` in its entry."""

    entry: Entry
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class NewEntry:
    """A key to create and its value."""

    key: str
    value: bytes


class KeyValueStore(Protocol):
    """The platform's key-value service: single-key compare-and-swap, leases and watches."""

    async def get(self, key: str) -> Result[Entry, StoreError]:
        """Read one key; an absent key gives an empty value with `ABSENT_REVISION`."""

    async def get_if_changed(
        self, key: str, known_revision: int
    ) -> Result[Entry | None, StoreError]:
        """Read one key; return None, without its value travelling, if its revision is known."""

    async def list(self, prefix: str) -> Result[Listing, StoreError]:
        """Read all keys below a prefix, in key order."""

    async def list_if_changed(
        self, prefix: str, known: Listing
    ) -> Result[Listing | None, StoreError]:
        """Read all keys below a prefix; return None, without them travelling, if `known` holds."""

    async def put_if(
        self, key: str, value: bytes, *, expected_revision: int, lease_id: int = NO_LEASE
    ) -> Result[int, StoreError]:
        """Write if the key's revision is the expected one; return the new revision."""

    async def wait_for_rate_limit(self) -> None:
        """Wait until a call would not have to wait for the rate of calls; it is not reserved."""

    async def create_absent(
        self, entries: tuple[NewEntry, ...]
    ) -> Result[frozenset[str], StoreError]:
        """Create each key that is absent, as one call; return the keys that were created.

        Whether one key is created does not depend on the others. The keys differ, and there are
        `MAX_CREATES_PER_CALL` at most.
        """

    async def delete_if(self, key: str, *, expected_revision: int) -> Result[None, StoreError]:
        """Delete the key if its revision is the expected one."""

    async def delete_range(self, start: str, end: str) -> Result[None, StoreError]:
        """Delete the keys from `start` up to but not including `end`, as one call."""

    async def grant_lease(self, ttl_s: float) -> Result[LeaseGrant, StoreError]:
        """Create a lease; keys written under it are deleted when it expires."""

    async def renew_lease(self, lease_id: int) -> Result[float, StoreError]:
        """Renew a lease and return its time to live in seconds."""

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """End a lease at once and delete its keys."""

    def watch(
        self, prefix: str, *, from_revision: int
    ) -> AbstractAsyncContextManager[AsyncIterator[WatchEvent]]:
        """Iterate over the changes below a prefix; the iteration ends when the watch is lost."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """The changes below a prefix after a revision, and the revision to go on from."""

    events: tuple[WatchEvent, ...]
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Check:
    """A key's expected revision, `ABSENT_REVISION` if the key must not exist."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Put:
    """A key to write, and the lease under which it lives."""

    key: str
    value: bytes
    lease_id: int = NO_LEASE


@dataclass(frozen=True, slots=True, kw_only=True)
class CommitResult:
    """The end of a transaction: its revision, or the checked entries if a check did not hold."""

    revision: int | None
    conflicting: tuple[Entry, ...] = ()


class TransactionalStore(Protocol):
    """A key-value service with transactions over several keys and a watch by long poll."""

    async def read_all(self, prefix: str) -> Result[Listing, StoreError]:
        """Read all entries below a prefix; the revision is one to watch from."""

    async def poll(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> Result[Changes, StoreError]:
        """Return the changes below a prefix after a revision, waiting for the first.

        `StoreErrorKind.HISTORY_LOST` means that changes were missed and all must be read anew.
        """

    async def commit(
        self,
        *,
        checks: tuple[Check, ...] = (),
        puts: tuple[Put, ...] = (),
        deletes: tuple[str, ...] = (),
    ) -> Result[CommitResult, StoreError]:
        """Write all or nothing, if all checks hold; `MAX_ENTRIES_PER_COMMIT` entries at most."""

    async def grant_lease(self, ttl_s: float) -> Result[LeaseGrant, StoreError]:
        """Create a lease; keys written under it are deleted when it expires."""

    async def renew_lease(self, lease_id: int) -> Result[float, StoreError]:
        """Renew a lease and return its time to live in seconds."""

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """End a lease at once and delete its keys."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedInstance:
    """An entry of the platform's instance list, which lags behind the truth.

    `role` is `entry`, `engine`, `tool` or `service`; `address` is `host:port`; `models` names
    what an engine serves; `service` names what a tool or plain service is.
    """

    instance_id: str
    role: str
    address: str
    failure_domain: str
    leaving: bool = False
    models: tuple[str, ...] = ()
    service: str = ""
    checks_fencing: bool = False


class InstanceList(Protocol):
    """The platform's list of live and leaving instances."""

    async def read(self) -> Result[tuple[ListedInstance, ...], StoreError]:
        """Return all listed instances."""
