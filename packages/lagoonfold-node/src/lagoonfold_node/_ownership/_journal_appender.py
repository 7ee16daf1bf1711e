"""Appends entries to a shard's journal, one at a time, each exactly once.

An entry is created at the next sequence number only if its key is absent. After a lost answer or
a conflict the key is read back: an entry with the same writer id was written by this append, and
any other entry means that a new owner has fenced the journal.
"""

import math
from enum import Enum

import trio
from result import Err, Ok

from lagoonfold import (
    ABSENT_REVISION,
    KeyValueStore,
    NewEntry,
    ShardId,
    StoreErrorKind,
    new_id,
)
from lagoonfold.records import (
    JournalEntry,
    Record,
    decode_entry,
    encode_entry,
    journal_key,
)
from lagoonfold_node._ownership._journal_writer import JournalWriter

_STALL_POLL_S = 0.25
_FIRST_BACKOFF_S = 0.02
_MAX_BACKOFF_S = 0.5
STALL_LIMIT_S = 1.0  # after the first error
SILENCE_LIMIT_S = 2.0  # after the start of an append without a result
_MAY_HAVE_WRITTEN = (StoreErrorKind.CONFLICT, StoreErrorKind.LOST_ANSWER)


class AppendResult(Enum):
    """The result of an append."""

    DONE = "done"
    FENCED = "fenced"


class JournalAppender:
    """Append to one shard's journal for one owner; `writer` sends the entries.

    `next_sequence` is the sequence number of the next entry.
    """

    def __init__(
        self,
        store: KeyValueStore,
        writer: JournalWriter,
        shard_id: ShardId,
        epoch: int,
        next_sequence: int,
    ) -> None:
        self._store = store
        self._writer = writer
        self._shard_id = shard_id
        self.epoch = epoch
        self.next_sequence = next_sequence
        self.bytes_written = 0
        self._append_started_at_s = math.inf
        self._failing_since_s = math.inf

    def stalls_at_s(self) -> float:
        """Return the time from which the journal counts as stalled, infinity without an append.

        A failing service is noticed at its first answer, a silent one only by waiting, so there are
        two limits. A slow service that answers within `SILENCE_LIMIT_S` causes no stall.
        """
        return min(
            self._failing_since_s + STALL_LIMIT_S, self._append_started_at_s + SILENCE_LIMIT_S
        )

    def is_stalled(self) -> bool:
        """Return whether the current append has exceeded one of its time limits."""
        return trio.current_time() >= self.stalls_at_s()

    async def wait_stalled(self) -> None:
        """Wait until the journal is stalled."""
        while not self.is_stalled():
            wait_s = self.stalls_at_s() - trio.current_time()
            await trio.sleep(min(_STALL_POLL_S, wait_s))

    async def wait_unless_stalled(self, done: trio.Event) -> bool:
        """Wait for an event; return False if the journal stalls first."""
        while not done.is_set() and not self.is_stalled():
            with trio.move_on_after(_STALL_POLL_S):
                await done.wait()
        return done.is_set()

    async def wait_until_due(self) -> None:
        """Wait until the writer may send an entry at once."""
        await self._writer.wait_until_due()

    async def append(self, records: tuple[Record, ...]) -> AppendResult:
        """Append an entry, and retry until it is written or the journal proves to be fenced."""
        entry = JournalEntry(new_id("writer"), self.epoch, records)
        data = encode_entry(entry)
        new_entry = NewEntry(key=journal_key(self._shard_id, self.next_sequence), value=data)
        backoff_s = _FIRST_BACKOFF_S
        self._append_started_at_s = trio.current_time()
        while True:
            appended = await self._try_create(new_entry, entry.writer_id)
            if appended is AppendResult.DONE:
                self.next_sequence += 1
                self.bytes_written += len(data)
            if appended is not None:
                self._append_started_at_s = self._failing_since_s = math.inf
                return appended
            self._failing_since_s = min(self._failing_since_s, trio.current_time())
            await trio.sleep(backoff_s)
            backoff_s = min(_MAX_BACKOFF_S, backoff_s * 2)

    async def _try_create(self, entry: NewEntry, writer_id: str) -> AppendResult | None:
        """Make one attempt; return None if it must be repeated."""
        written = await self._writer.create(entry)
        if isinstance(written, Ok):
            return AppendResult.DONE
        if written.err_value.kind not in _MAY_HAVE_WRITTEN:
            return None
        return await self._read_back(entry.key, writer_id)

    async def _read_back(self, key: str, writer_id: str) -> AppendResult | None:
        found = await self._store.get(key)
        if isinstance(found, Err) or found.ok_value.revision == ABSENT_REVISION:
            return None
        entry = decode_entry(found.ok_value.value)
        is_own = isinstance(entry, Ok) and entry.ok_value.writer_id == writer_id
        return AppendResult.DONE if is_own else AppendResult.FENCED
