"""A transactional store in memory, with the faults of a real one.

It can be down, lose the answers of writes that it made, forget its history, and leave watches in
silence. One object serves the gateways of one test.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio
from result import Err, Ok, Result

from lagoonfold import (
    ABSENT_REVISION,
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

DOWN = StoreError(kind=StoreErrorKind.UNAVAILABLE, detail="the store is down")
CUT = StoreError(kind=StoreErrorKind.LOST_ANSWER, detail="the connection was cut")


@dataclass(slots=True)
class _Stored:
    value: bytes
    revision: int
    lease_id: int


class MemoryStore:
    """All entries, their history, and the faults that are in force."""

    def __init__(self) -> None:
        self.revision = 1
        self.calls = 0
        self.is_down = False
        self.answers_to_lose = 0
        self.are_watches_silent = False
        self.commits: list[tuple[Put, ...]] = []
        self._stored_by_key: dict[str, _Stored] = {}
        self._history: list[WatchEvent] = []
        self._forgotten = 0
        self._next_lease = 1
        self._changed = trio.Event()
        self._cut = trio.Event()

    def put(self, key: str, value: bytes, lease_id: int = 0) -> None:
        """Write a key, as the operator or a replica does."""
        self.revision += 1
        self._stored_by_key[key] = _Stored(value, self.revision, lease_id)
        self._tell(key, value, self.revision)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self._stored_by_key.pop(key, None) is not None:
            self.revision += 1
            self._tell(key, b"", ABSENT_REVISION)

    def value(self, key: str) -> bytes | None:
        """Return a key's value, None where it is absent."""
        stored = self._stored_by_key.get(key)
        return stored.value if stored is not None else None

    def cut_watches(self, *, forget_history: bool = False) -> None:
        """Break the polls under way; polls from before a forgotten history hang from then on."""
        if forget_history:
            self._forgotten = self.revision
        self._cut.set()
        self._cut = trio.Event()

    async def read_all(self, prefix: str) -> Result[Listing, StoreError]:
        """Read all entries below a prefix."""
        self.calls += 1
        await trio.lowlevel.checkpoint()
        if self.is_down:
            return Err(DOWN)
        entries = tuple(
            Entry(key=key, value=stored.value, revision=stored.revision)
            for key, stored in sorted(self._stored_by_key.items())
            if key.startswith(prefix)
        )
        return Ok(Listing(entries=entries, revision=self.revision))

    async def poll(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> Result[Changes, StoreError]:
        """Return the changes below a prefix after a revision, waiting for the first."""
        self.calls += 1
        cut = self._cut
        with trio.move_on_after(wait_s):
            while True:
                if self.is_down:
                    return Err(DOWN)
                if cut.is_set():
                    return Err(CUT)
                events = self._events_after(prefix, after_revision)
                if events:
                    return Ok(Changes(events=events, revision=self.revision))
                await self._wait_for_change(cut)
        return Ok(Changes(events=(), revision=self.revision))

    def _events_after(self, prefix: str, revision: int) -> tuple[WatchEvent, ...]:
        if self.are_watches_silent or revision < self._forgotten:
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
        """Write all or nothing, if all checks hold."""
        self.calls += 1
        await trio.lowlevel.checkpoint()
        if self.is_down:
            return Err(DOWN)
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
            return Err(CUT)
        # All entries of a transaction have the revision of their own change here.
        revision = self._entry(puts[-1].key).revision if puts else self.revision
        return Ok(CommitResult(revision=revision))

    async def grant_lease(self, ttl_s: float) -> Result[LeaseGrant, StoreError]:
        """Create a lease; it lasts until it is ended."""
        self.calls += 1
        await trio.lowlevel.checkpoint()
        if self.is_down:
            return Err(DOWN)
        self._next_lease += 1
        return Ok(LeaseGrant(lease_id=self._next_lease, ttl_s=ttl_s))

    async def renew_lease(self, lease_id: int) -> Result[float, StoreError]:
        """Renew a lease."""
        self.calls += 1
        await trio.lowlevel.checkpoint()
        return Err(DOWN) if self.is_down else Ok(10.0)

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

    def _tell(self, key: str, value: bytes, revision: int) -> None:
        entry = Entry(key=key, value=value, revision=revision)
        self._history.append(WatchEvent(entry=entry, revision=self.revision))
        self._changed.set()
        self._changed = trio.Event()


class StoreView:
    """One gateway's way to a store, which can be cut without the others noticing."""

    def __init__(self, store: MemoryStore) -> None:
        self.is_cut = False
        self.calls = 0
        self._store = store

    def __getattr__(self, name: str) -> Callable[..., Awaitable[Result[Any, StoreError]]]:
        """Pass a call on, or refuse it while this way is cut."""

        async def call(*arguments: object, **options: object) -> Result[Any, StoreError]:
            self.calls += 1
            if self.is_cut:
                await trio.lowlevel.checkpoint()
                return Err(DOWN)
            return await getattr(self._store, name)(*arguments, **options)

        return call
