"""Queue of records to append to a shard's journal, in batches of one journal entry each."""

from collections import deque
from dataclasses import dataclass, field

import trio

from lagoonfold.records import MAX_ENTRY_BYTES, Record, encoded_size


@dataclass(slots=True, eq=False)
class Batch:
    """Records of one journal entry.

    `done` is set once the batch is durable or the queue was abandoned.
    """

    records: list[Record] = field(default_factory=list)
    size_bytes: int = 0
    done: trio.Event = field(default_factory=trio.Event)
    is_sent: bool = False
    is_durable: bool = False


class BatchQueue:
    """Hold the batches that are not durable yet, in the order of their journal entries."""

    def __init__(self) -> None:
        self._batches: deque[Batch] = deque()
        self._wake = trio.Event()

    def __len__(self) -> int:
        return len(self._batches)

    def last(self) -> Batch | None:
        """Return the last batch, None if all records are durable."""
        return self._batches[-1] if self._batches else None

    def add(self, record: Record) -> Batch:
        """Add a record to the last batch, or to a new one if that is full or already sent."""
        size_bytes = encoded_size(record)
        last = self.last()
        if last is None or last.is_sent or last.size_bytes + size_bytes > MAX_ENTRY_BYTES:
            last = Batch()
            self._batches.append(last)
        last.records.append(record)
        last.size_bytes += size_bytes
        self._wake.set()
        return last

    async def wait(self) -> None:
        """Wait until there is a batch."""
        if not self._batches:
            self._wake = trio.Event()
            await self._wake.wait()

    def mark_first_sent(self) -> Batch:
        """Mark the first batch as sent and return it; no more records are added to it."""
        batch = self._batches[0]
        batch.is_sent = True
        return batch

    def mark_first_durable(self) -> None:
        """Mark the first batch as durable and remove it."""
        batch = self._batches.popleft()
        batch.is_durable = True
        batch.done.set()

    def abandon(self) -> None:
        """Release all waiters; the new owner decides about records that are not durable."""
        for batch in self._batches:
            batch.done.set()
        self._batches.clear()
