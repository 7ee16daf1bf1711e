"""An in-memory transactional store with the faults of a real one.

It can be unavailable, lose the answers of commits that took effect, drop its history, list what it
held earlier (`old_listing_by_prefix`), and keep watches open without reporting changes. The
gateways of one test share one store.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio
from result import Err, Ok, Result

from lagoonfold import (
    ABSENT_REVISION,
    MAX_ENTRIES_PER_COMMIT,
    Changes,
    Check,
    CommitResult,
    Entry,
    LeaseGrant,
    Listing,
    Put,
    StoreError,
    StoreErrorKind,
    WatchEvent,
)

UNAVAILABLE = StoreError(kind=StoreErrorKind.UNAVAILABLE, detail="the store is unavailable")
HISTORY_LOST = StoreError(kind=StoreErrorKind.HISTORY_LOST, detail="this history is forgotten")
TOO_MANY_ENTRIES = StoreError(
    kind=StoreErrorKind.REFUSED, detail=f"more than {MAX_ENTRIES_PER_COMMIT} entries"
)
CALL_TIMEOUT_S = 2.0
CONNECTION_CUT = StoreError(kind=StoreErrorKind.LOST_ANSWER, detail="the connection was cut")


@dataclass(slots=True)
class _Stored:
    value: bytes
    revision: int
    lease_id: int


class MemoryStore:
    """The entries, their history, and the faults in effect."""

    def __init__(self) -> None:
        self.revision = 1
        self.calls = 0
        self.polls_waiting = 0
        self.is_down = False
        self.answers_to_lose = 0
        self.are_watches_silent = False
        self.old_listing_by_prefix: dict[str, Listing] = {}
        self.commits: list[tuple[Put, ...]] = []
        self._stored_by_key: dict[str, _Stored] = {}
        self._history: list[WatchEvent] = []
        self._compacted_revision = 0
        self._next_lease = 1
        self._changed = trio.Event()
        self._cut = trio.Event()

    def put(self, key: str, value: bytes, lease_id: int = 0) -> None:
        """Write a key as an operator or a replica would, not counted as a call."""
        self.revision += 1
        self._stored_by_key[key] = _Stored(value, self.revision, lease_id)
        self._publish(key, value, self.revision)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self._stored_by_key.pop(key, None) is not None:
            self.revision += 1
            self._publish(key, b"", ABSENT_REVISION)

    def value(self, key: str) -> bytes | None:
        """Return a key's value, or None if it is absent."""
        stored = self._stored_by_key.get(key)
        return stored.value if stored is not None else None

    def cut_watches(self, *, forget_history: bool = False) -> None:
        """Break the polls in progress.

        With `forget_history`, later polls from a revision before the current one hang before they
        are told so.
        """
        if forget_history:
            self._compacted_revision = self.revision
        self._cut.set()
        self._cut = trio.Event()

    async def read_all(self, prefix: str) -> Result[Listing, StoreError]:
        """Read all entries below a prefix."""
        self.calls += 1
        await trio.lowlevel.checkpoint()
        if self.is_down:
            return Err(UNAVAILABLE)
        if prefix in self.old_listing_by_prefix:
            return Ok(self.old_listing_by_prefix[prefix])
        entries = tuple(
            Entry(key=key, value=stored.value, revision=stored.revision)
            for key, stored in sorted(self._stored_by_key.items())
            if key.startswith(prefix)
        )
        return Ok(Listing(entries=entries, revision=self.revision))

    async def poll(
        self, prefix: str, *, after_revision: int, wait_s: float, timeout_s: float
    ) -> Result[Changes, StoreError]:
        """Return the changes below a prefix after a revision; wait up to `wait_s` for the first.

        It always answers, so `timeout_s` has no effect.
        """
        self.calls += 1
        cut = self._cut
        if after_revision < self._compacted_revision:
            await trio.sleep(wait_s)
            return Err(HISTORY_LOST)
        self.polls_waiting += 1
        try:
            with trio.move_on_after(wait_s):
                while True:
                    if self.is_down:
                        return Err(UNAVAILABLE)
                    if cut.is_set():
                        return Err(CONNECTION_CUT)
                    events = self._events_after(prefix, after_revision)
                    if events:
                        return Ok(Changes(events=events, revision=self.revision))
                    await self._wait_for_change(cut)
        finally:
            self.polls_waiting -= 1
        return Ok(Changes(events=(), revision=self.revision))

    def _events_after(self, prefix: str, revision: int) -> tuple[WatchEvent, ...]:
        if self.are_watches_silent:
            return ()
        return tuple(
            event
            for event in self._history
            if event.revision > revision and event.entry.key.startswith(prefix)
        )

    async def _wait_for_change(self, cut: trio.Event) -> None:
        async with trio.open_nursery() as nursery:

            async def wait(event: trio.Event) -> None:
                await event.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(wait, self._changed)
            nursery.start_soon(wait, cut)

    async def commit(
        self,
        *,
        checks: tuple[Check, ...] = (),
        puts: tuple[Put, ...] = (),
        deletes: tuple[str, ...] = (),
    ) -> Result[CommitResult, StoreError]:
        """Apply all writes if every check holds, else none."""
        self.calls += 1
        await trio.lowlevel.checkpoint()
        if self.is_down:
            return Err(UNAVAILABLE)
        if len(checks) + len(puts) + len(deletes) > MAX_ENTRIES_PER_COMMIT:
            return Err(TOO_MANY_ENTRIES)
        current = tuple(self._entry(check.key) for check in checks)
        if any(
            entry.revision != check.revision for entry, check in zip(current, checks, strict=True)
        ):
            return Ok(CommitResult(revision=None, conflicting=current))
        for put in puts:
            self.put(put.key, put.value, put.lease_id)
        for key in deletes:
            self.remove(key)
        self.commits.append(puts)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return Err(CONNECTION_CUT)
        # Each change of a transaction gets its own revision here; that of the last put is returned.
        revision = self._entry(puts[-1].key).revision if puts else self.revision
        return Ok(CommitResult(revision=revision))

    async def grant_lease(self, ttl_s: float) -> Result[LeaseGrant, StoreError]:
        """Create a lease; it never expires and ends only when it is revoked."""
        self.calls += 1
        await trio.lowlevel.checkpoint()
        if self.is_down:
            return Err(UNAVAILABLE)
        self._next_lease += 1
        return Ok(LeaseGrant(lease_id=self._next_lease, ttl_s=ttl_s))

    async def renew_lease(self, lease_id: int) -> Result[float, StoreError]:
        """Renew a lease."""
        self.calls += 1
        await trio.lowlevel.checkpoint()
        return Err(UNAVAILABLE) if self.is_down else Ok(10.0)

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """End a lease and remove its keys."""
        self.calls += 1
        await trio.lowlevel.checkpoint()
        for key, stored in tuple(self._stored_by_key.items()):
            if stored.lease_id == lease_id:
                self.remove(key)
        return Ok(None)

    def _entry(self, key: str) -> Entry:
        stored = self._stored_by_key.get(key)
        if stored is None:
            return Entry(key=key, value=b"", revision=ABSENT_REVISION)
        return Entry(key=key, value=stored.value, revision=stored.revision)

    def _publish(self, key: str, value: bytes, revision: int) -> None:
        entry = Entry(key=key, value=value, revision=revision)
        self._history.append(WatchEvent(entry=entry, revision=self.revision))
        self._changed.set()
        self._changed = trio.Event()


class StoreView:
    """One gateway's connection to a store, which can be cut independently of the others.

    While `are_polls_silent` is set, its polls get no answer, as on a connection that went silent;
    those below the prefixes in `silent_prefixes` get none either. While `is_silent` is set, no call
    gets an answer; all but polls fail after `CALL_TIMEOUT_S`.
    """

    def __init__(self, store: MemoryStore) -> None:
        self.is_cut = False
        self.is_silent = False
        self.are_polls_silent = False
        self.silent_prefixes: set[str] = set()
        self.calls = 0
        self._store = store

    def _is_poll_silent(self, prefix: object) -> bool:
        return self.are_polls_silent or prefix in self.silent_prefixes

    def __getattr__(self, name: str) -> Callable[..., Awaitable[Result[Any, StoreError]]]:
        """Return a method that forwards a call to the store, or fails it while `is_cut` is set."""

        async def call(*arguments: object, **options: object) -> Result[Any, StoreError]:
            self.calls += 1
            if self.is_cut:
                await trio.lowlevel.checkpoint()
                return Err(UNAVAILABLE)
            if self.is_silent or (name == "poll" and self._is_poll_silent(arguments[0])):
                await trio.sleep(options.get("timeout_s", CALL_TIMEOUT_S))
                return Err(UNAVAILABLE)
            return await getattr(self._store, name)(*arguments, **options)

        return call
