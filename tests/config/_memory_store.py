"""A key-value store in memory that can lose answers and delay writes."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio
from result import Err, Ok, Result

from lagoonfold import ABSENT_REVISION, Entry, StoreError, StoreErrorKind, WatchEvent


class MemoryStore:
    """A store with compare-and-swap of single keys; `next_fault` returns the fault of each write.

    Faults: "" for none, "unavailable", "lost-before" and "lost-after" for a lost answer before or
    after the write, and "late" for a lost answer whose write takes place just before the next one.
    """

    def __init__(self) -> None:
        self.entries_by_key: dict[str, Entry] = {}
        self.revision = 0
        self.writes = 0
        self.next_fault: Callable[[], str] = lambda: ""
        self.is_down = False
        self.is_watch_silent = False
        self.reads = 0
        self._watches: list[trio.MemorySendChannel[WatchEvent]] = []
        self._delayed_writes: list[tuple[str, bytes, int]] = []

    async def get(self, key: str) -> Result[Entry, StoreError]:
        """Read one key."""
        self.reads += 1
        if self.is_down:
            return _failed(StoreErrorKind.UNAVAILABLE)
        absent = Entry(key=key, value=b"", revision=ABSENT_REVISION)
        return Ok(self.entries_by_key.get(key, absent))

    async def get_if_changed(
        self, key: str, known_revision: int
    ) -> Result[Entry | None, StoreError]:
        """Read one key, or return None if it is at the known revision."""
        read = await self.get(key)
        return read.map(lambda entry: None if entry.revision == known_revision else entry)

    async def put_if(
        self, key: str, value: bytes, *, expected_revision: int, lease_id: int = 0
    ) -> Result[int, StoreError]:
        """Write if the key is at the expected revision, subject to the next fault."""
        fault = self.next_fault()
        while self._delayed_writes:
            self._swap(*self._delayed_writes.pop())
        if fault == "late":
            self._delayed_writes.append((key, value, expected_revision))
            return _failed(StoreErrorKind.LOST_ANSWER)
        if fault == "unavailable":
            return _failed(StoreErrorKind.UNAVAILABLE)
        if fault == "lost-before":
            return _failed(StoreErrorKind.LOST_ANSWER)
        written = self._swap(key, value, expected_revision)
        return _failed(StoreErrorKind.LOST_ANSWER) if fault == "lost-after" else written

    def _swap(self, key: str, value: bytes, expected: int) -> Result[int, StoreError]:
        present = self.entries_by_key.get(key)
        if (present.revision if present else ABSENT_REVISION) != expected:
            return _failed(StoreErrorKind.CONFLICT)
        self.revision += 1
        self.writes += 1
        self.entries_by_key[key] = Entry(key=key, value=value, revision=self.revision)
        event = WatchEvent(entry=self.entries_by_key[key], revision=self.revision)
        if not self.is_watch_silent:
            for watch in self._watches:
                watch.send_nowait(event)
        return Ok(self.revision)

    @asynccontextmanager
    async def watch(
        self, prefix: str, *, from_revision: int
    ) -> AsyncIterator[AsyncIterator[WatchEvent]]:
        """Iterate over changes from now on; `from_revision` is ignored, as tests read first."""
        send, receive = trio.open_memory_channel[WatchEvent](100)
        self._watches.append(send)
        try:
            yield (event async for event in receive if event.entry.key.startswith(prefix))
        finally:
            self._watches.remove(send)


def _failed(kind: StoreErrorKind) -> Err[StoreError]:
    return Err(StoreError(kind=kind, detail=kind.value))
