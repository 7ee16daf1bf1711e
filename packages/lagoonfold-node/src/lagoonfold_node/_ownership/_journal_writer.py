"""Carries new journal entries of all shards of an instance: what is ready together is one call.

The writer decides nothing and keeps nothing. Each entry is created only if its key is absent,
whatever happens to the others of its call, and each appender learns of its own entry alone. A
call whose answer is lost is a lost answer to every entry in it.

writer = JournalWriter(context)
nursery.start_soon(writer.run)
await writer.wait_turn()
created = await writer.create(NewEntry(key=journal_key(shard_id, 7), value=data))
"""

from dataclasses import dataclass, field

import trio
from result import Err, Ok, Result

from lagoonfold import (
    ABSENT_REVISION,
    MAX_CREATES_PER_CALL,
    NewEntry,
    StoreError,
    StoreErrorKind,
)
from lagoonfold_node._ownership._context import OwnershipContext

MAX_SHARED_BYTES = 250_000

Created = Result[None, StoreError]


@dataclass(slots=True, eq=False)
class _Creation:
    """An entry on its way; `result` holds once `done` is set."""

    entry: NewEntry
    done: trio.Event = field(default_factory=trio.Event)
    result: Created = Ok(None)

    def finish(self, result: Created) -> None:
        self.result = result
        self.done.set()


class JournalWriter:
    """Creates journal entries, at most one call in `commit_interval_s` where one can hold them."""

    def __init__(self, context: OwnershipContext) -> None:
        self._context = context
        self._pending: list[_Creation] = []
        self._wake = trio.Event()
        self._last_sent_at_s = float("-inf")

    async def wait_turn(self) -> None:
        """Wait until `commit_interval_s` has passed since the last call."""
        await trio.sleep_until(self._due_at_s())
        while self._due_at_s() > trio.current_time():
            await trio.sleep_until(self._due_at_s())

    async def create(self, entry: NewEntry) -> Created:
        """Create an entry in the next call; `CONFLICT` says that its key is not absent.

        The entry may be created although the caller was cancelled.
        """
        creation = _Creation(entry)
        self._pending.append(creation)
        self._wake.set()
        await creation.done.wait()
        return creation.result

    async def run(self) -> None:
        """Send what is pending until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wake.wait()
                await self.wait_turn()
                self._wake = trio.Event()
                self._last_sent_at_s = trio.current_time()
                pending, self._pending = self._pending, []
                for group in _groups(pending):
                    nursery.start_soon(self._send, group)

    def _due_at_s(self) -> float:
        return self._last_sent_at_s + self._context.settings.commit_interval_s

    async def _send(self, group: list[_Creation]) -> None:
        if len(group) == 1:
            await self._send_alone(group[0])
            return
        self._context.metrics.count("journal_calls", "shared")
        created = await self._context.store.create_absent(tuple(each.entry for each in group))
        if isinstance(created, Ok):
            for each in group:
                each.finish(_outcome(each.entry.key, created.ok_value))
            return
        self._context.count_store_error(created.err_value)
        if created.err_value.kind is StoreErrorKind.REFUSED:
            for each in group:
                await self._send_alone(each)
            return
        for each in group:
            each.finish(created)

    async def _send_alone(self, creation: _Creation) -> None:
        self._context.metrics.count("journal_calls", "single")
        entry = creation.entry
        written = await self._context.store.put_if(
            entry.key, entry.value, expected_revision=ABSENT_REVISION
        )
        if isinstance(written, Err):
            self._context.count_store_error(written.err_value)
        creation.finish(written.map(lambda _: None))


def _outcome(key: str, created_keys: frozenset[str]) -> Created:
    if key in created_keys:
        return Ok(None)
    return Err(StoreError(kind=StoreErrorKind.CONFLICT, detail=f"{key} is present"))


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
