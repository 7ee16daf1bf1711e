"""Ports to the platform: the interfaces of the stores and of the instance list.

The kind of a `StoreError` says whether the failed operation may have taken effect. Only
`StoreErrorKind.LOST_ANSWER` means that it may have; all other kinds mean that nothing was written.
After a lost answer to a compare-and-swap, the caller reads the key back and compares the writer id
in the value.
"""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from result import Result

ABSENT_REVISION = 0  # the revision of a key that does not exist
NO_LEASE = 0  # the lease id of a key that does not expire
MAX_CREATES_PER_CALL = 100
MAX_ENTRIES_PER_COMMIT = 32


class StoreErrorKind(Enum):
    """Why an operation of a store failed.

    - `CONFLICT`: a key does not have the expected revision.
    - `HISTORY_LOST`: changes after the given revision are no longer kept; read everything again.
    - `LEASE_EXPIRED`: the lease does not exist any more.
    - `LOST_ANSWER`: no readable response arrived; the operation may have taken effect.
    - `REFUSED`: the service rejects the call as invalid or not allowed.
    - `THROTTLED`: a limit on the rate of calls is reached.
    - `UNAVAILABLE`: the service was not reached or could not serve the call.
    """

    CONFLICT = "conflict"
    HISTORY_LOST = "history-lost"
    LEASE_EXPIRED = "lease-expired"
    LOST_ANSWER = "lost-answer"
    REFUSED = "refused"
    THROTTLED = "throttled"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreError:
    """A failed operation of a store; `detail` is for logs and error messages."""

    kind: StoreErrorKind
    detail: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """A key, its value and the revision of its last change, `ABSENT_REVISION` if it is absent."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """The entries below a prefix, read at `revision` of the store or later.

    Applying the changes after `revision` brings the listing up to date.
    """

    entries: tuple[Entry, ...]
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseGrant:
    """A granted lease and its time to live in seconds, counted from before the request."""

    lease_id: int
    ttl_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchEvent:
    """A change of a key and its revision; the entry of a deleted key has `ABSENT_REVISION`."""

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
        """Return a key's entry; an absent key has an empty value and `ABSENT_REVISION`."""

    async def get_if_changed(
        self, key: str, known_revision: int
    ) -> Result[Entry | None, StoreError]:
        """Return a key's entry, or None (and transfer nothing) if it has the known revision."""

    async def list(self, prefix: str) -> Result[Listing, StoreError]:
        """Return all entries below a prefix, in key order."""

    async def list_if_changed(
        self, prefix: str, known: Listing
    ) -> Result[Listing | None, StoreError]:
        """Return all entries below a prefix, or None (and transfer nothing) if none has changed."""

    async def put_if(
        self, key: str, value: bytes, *, expected_revision: int, lease_id: int = NO_LEASE
    ) -> Result[int, StoreError]:
        """Write a key if it has the expected revision; return its new revision.

        `ABSENT_REVISION` as the expected revision creates the key. The key is deleted when the
        lease ends, if one is given. Errors: `CONFLICT` if the revision is another one,
        `LEASE_EXPIRED` if the lease does not exist any more.
        """

    async def wait_for_rate_limit(self) -> None:
        """Wait until the limit on the rate of calls admits another call, without reserving it."""

    async def create_absent(
        self, entries: tuple[NewEntry, ...]
    ) -> Result[frozenset[str], StoreError]:
        """Create each key that is absent, in one call; return the keys that were created.

        A key that exists already is left as it is and does not prevent the creation of the others.
        The keys must differ; at most `MAX_CREATES_PER_CALL` are allowed.
        """

    async def delete_if(self, key: str, *, expected_revision: int) -> Result[None, StoreError]:
        """Delete a key if it has the expected revision, else fail with `CONFLICT`."""

    async def delete_range(self, start: str, end: str) -> Result[None, StoreError]:
        """Delete the keys from `start` up to but not including `end`, in one call."""

    async def grant_lease(self, ttl_s: float) -> Result[LeaseGrant, StoreError]:
        """Create a lease of `ttl_s` seconds; keys written under it are deleted when it expires."""

    async def renew_lease(self, lease_id: int) -> Result[float, StoreError]:
        """Renew a lease; return its time to live in seconds, or `LEASE_EXPIRED` if it is gone."""

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """End a lease at once and delete the keys written under it."""

    def watch(
        self, prefix: str, *, from_revision: int
    ) -> AbstractAsyncContextManager[AsyncIterator[WatchEvent]]:
        """Iterate over the changes below a prefix, beginning with those of `from_revision`.

        The iteration ends without an error when the watch is lost or cannot be opened.
        """


@dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """The changes below a prefix, and the revision after which the next poll continues."""

    events: tuple[WatchEvent, ...]
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Check:
    """A transaction's condition on a key: its revision, `ABSENT_REVISION` if it must not exist."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Put:
    """A key to write, its value, and the lease with which it expires."""

    key: str
    value: bytes
    lease_id: int = NO_LEASE


@dataclass(frozen=True, slots=True, kw_only=True)
class CommitResult:
    """The outcome of a transaction that reached the store.

    `revision` is the transaction's revision, or None if a check failed and nothing was written;
    then `conflicting` holds the current entries of the checked keys.
    """

    revision: int | None
    conflicting: tuple[Entry, ...] = ()


class TransactionalStore(Protocol):
    """A key-value service with transactions over several keys and a watch by long polling."""

    async def read_all(self, prefix: str) -> Result[Listing, StoreError]:
        """Return all entries below a prefix, with the revision after which to poll for changes."""

    async def poll(
        self, prefix: str, *, after_revision: int, wait_s: float, timeout_s: float
    ) -> Result[Changes, StoreError]:
        """Return the changes below a prefix after a revision.

        Wait up to `wait_s` seconds for a change; without one, return no events. Without an answer,
        fail after `timeout_s` seconds. The error
        `StoreErrorKind.HISTORY_LOST` means that changes were missed and that everything must be
        read again.
        """

    async def commit(
        self,
        *,
        checks: tuple[Check, ...] = (),
        puts: tuple[Put, ...] = (),
        deletes: tuple[str, ...] = (),
    ) -> Result[CommitResult, StoreError]:
        """Make all writes and deletions if all checks hold, else none of them.

        At most `MAX_ENTRIES_PER_COMMIT` checks, writes and deletions together are allowed. A check
        that fails is not an error: see `CommitResult`.
        """

    async def grant_lease(self, ttl_s: float) -> Result[LeaseGrant, StoreError]:
        """Create a lease of `ttl_s` seconds; keys written under it are deleted when it expires."""

    async def renew_lease(self, lease_id: int) -> Result[float, StoreError]:
        """Renew a lease; return its time to live in seconds, or `LEASE_EXPIRED` if it is gone."""

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """End a lease at once and delete the keys written under it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedInstance:
    """An entry of the platform's instance list, which may be out of date.

    `role` is `entry`, `engine`, `tool` or `service`; `address` is `host:port`; `models` names the
    models that an engine serves; `service` is the name of a tool or plain service.
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
        """Return all listed instances, or why the list cannot be read."""
