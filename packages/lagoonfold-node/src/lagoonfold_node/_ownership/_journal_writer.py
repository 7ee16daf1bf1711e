"""Collects new journal entries of many shards and sends those that are pending in one call.

The writer neither decides anything nor stores entries. Each entry is created only if its key is
absent, independently of the others, and each appender gets the result of its own entry only.

writer = JournalWriter(DirectJournalTransport(context), context.settings.commit_interval_s)
nursery.start_soon(writer.run)
await writer.wait_until_due()
created = await writer.create(NewEntry(key=journal_key(shard_id, 7), value=data))
"""

from dataclasses import dataclass, field
from typing import Protocol

import trio
from result import Ok, Result

from lagoonfold import MAX_CREATES_PER_CALL, NewEntry, StoreError

MAX_SHARED_BYTES = 250_000

CreateResult = Result[None, StoreError]


class JournalTransport(Protocol):
    """Sends journal entries to the key-value service, directly or through a peer."""

    async def wait_for_rate_limit(self) -> None:
        """Wait until the rate limit of calls would admit a call at once."""

    async def create_all(self, entries: tuple[NewEntry, ...]) -> tuple[CreateResult, ...]:
        """Create each entry whose key is absent; return a result for each, in their order.

        `CONFLICT` means that the key is present, `LOST_ANSWER` that the entry may have been
        created or may be created later.
        """


@dataclass(slots=True, eq=False)
class _Creation:
    """An entry to create; `result` is valid once `done` is set."""

    entry: NewEntry
    done: trio.Event = field(default_factory=trio.Event)
    result: CreateResult = Ok(None)


class JournalWriter:
    """Send entries through a transport, at once if none was sent in the last `interval_s` seconds.

    While the rate limit admits no call, entries collect here and share the next call, instead of
    each waiting in a call of its own.
    """

    def __init__(self, transport: JournalTransport, interval_s: float) -> None:
        self._transport = transport
        self._interval_s = interval_s
        self._pending: list[_Creation] = []
        self._wake = trio.Event()
        self._due_at_s = float("-inf")

    async def wait_until_due(self) -> None:
        """Wait until `interval_s` seconds have passed since the last send."""
        await trio.sleep_until(self._due_at_s)
        while self._due_at_s > trio.current_time():
            await trio.sleep_until(self._due_at_s)

    async def create(self, entry: NewEntry) -> CreateResult:
        """Create an entry; it may be created even if the caller is cancelled."""
        (created,) = await self.create_all((entry,))
        return created

    async def create_all(self, entries: tuple[NewEntry, ...]) -> tuple[CreateResult, ...]:
        """Create entries, in the same calls as all others that are pending."""
        creations = [_Creation(entry) for entry in entries]
        self._pending += creations
        self._wake.set()
        for creation in creations:
            await creation.done.wait()
        return tuple(creation.result for creation in creations)

    async def run(self) -> None:
        """Send pending entries until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wake.wait()
                await self.wait_until_due()
                await self._transport.wait_for_rate_limit()
                self._wake = trio.Event()
                self._due_at_s = trio.current_time() + self._interval_s
                pending, self._pending = self._pending, []
                for group in _split_into_calls(pending):
                    nursery.start_soon(self._send, group)

    async def _send(self, group: list[_Creation]) -> None:
        results = await self._transport.create_all(tuple(creation.entry for creation in group))
        for creation, result in zip(group, results, strict=True):
            creation.result = result
            creation.done.set()


@dataclass(frozen=True, slots=True, kw_only=True)
class JournalWriters:
    """The writers of an owner's fence and of all its later entries.

    A fence is sent from this instance, not through a peer: the peer may not know yet that this
    instance is a member, and then cannot answer it.
    """

    fences: JournalWriter
    entries: JournalWriter


def _split_into_calls(creations: list[_Creation]) -> list[list[_Creation]]:
    """Split creations into calls within the limits; no call has the same key twice."""
    groups: list[list[_Creation]] = []
    keys: set[str] = set()
    size_bytes = 0
    for creation in creations:
        entry = creation.entry
        size_bytes += len(entry.value)
        is_full = size_bytes > MAX_SHARED_BYTES or len(keys) == MAX_CREATES_PER_CALL
        if not groups or is_full or entry.key in keys:
            groups.append([])
            keys = set()
            size_bytes = len(entry.value)
        groups[-1].append(creation)
        keys.add(entry.key)
    return groups
