"""Gathers new journal entries of many shards: what is ready together is carried together.

The writer decides nothing and keeps nothing. Each entry is created only if its key is absent,
whatever happens to the others, and each appender learns of its own entry alone.

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
    """A way to the key-value service."""

    async def wait_for_rate_limit(self) -> None:
        """Wait until entries would not have to wait for the rate of calls."""

    async def create_all(self, entries: tuple[NewEntry, ...]) -> tuple[CreateResult, ...]:
        """Create each entry whose key is absent; return an answer to each, in their order.

        `CONFLICT` says that the key is present, `LOST_ANSWER` that the entry may be created later.
        """


@dataclass(slots=True, eq=False)
class _Creation:
    """An entry on its way; `result` holds once `done` is set."""

    entry: NewEntry
    done: trio.Event = field(default_factory=trio.Event)
    result: CreateResult = Ok(None)


class JournalWriter:
    """Gives entries to a carrier, at once if it gave it none within `interval_s`.

    While the rate of calls is used up, entries gather here instead of behind one another in calls.
    """

    def __init__(self, transport: JournalTransport, interval_s: float) -> None:
        self._transport = transport
        self._interval_s = interval_s
        self._pending: list[_Creation] = []
        self._wake = trio.Event()
        self._due_at_s = float("-inf")

    async def wait_until_due(self) -> None:
        """Wait until an entry may leave at once."""
        await trio.sleep_until(self._due_at_s)
        while self._due_at_s > trio.current_time():
            await trio.sleep_until(self._due_at_s)

    async def create(self, entry: NewEntry) -> CreateResult:
        """Create an entry; it may be created although the caller was cancelled."""
        (created,) = await self.create_all((entry,))
        return created

    async def create_all(self, entries: tuple[NewEntry, ...]) -> tuple[CreateResult, ...]:
        """Create entries, together with what else is ready."""
        creations = [_Creation(entry) for entry in entries]
        self._pending += creations
        self._wake.set()
        for creation in creations:
            await creation.done.wait()
        return tuple(creation.result for creation in creations)

    async def run(self) -> None:
        """Send what is pending until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wake.wait()
                await self.wait_until_due()
                await self._transport.wait_for_rate_limit()
                self._wake = trio.Event()
                self._due_at_s = trio.current_time() + self._interval_s
                pending, self._pending = self._pending, []
                for group in _groups(pending):
                    nursery.start_soon(self._send, group)

    async def _send(self, group: list[_Creation]) -> None:
        results = await self._transport.create_all(tuple(creation.entry for creation in group))
        for creation, result in zip(group, results, strict=True):
            creation.result = result
            creation.done.set()


@dataclass(frozen=True, slots=True, kw_only=True)
class JournalWriters:
    """The writer of an owner's fence, from this instance, and that of all its later entries.

    A fence does not go by way of a peer, which may not know yet that this instance is a member
    and could not answer.
    """

    fences: JournalWriter
    entries: JournalWriter


def _groups(creations: list[_Creation]) -> list[list[_Creation]]:
    """Divide creations into calls within the limits, none with the same key twice."""
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
