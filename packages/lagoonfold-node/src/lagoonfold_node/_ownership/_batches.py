"""Records on their way to the journal, in batches of one journal entry each."""

from collections import deque
from dataclasses import dataclass, field

import trio

from lagoonfold.records import MAX_ENTRY_BYTES, Record, encoded_size


@dataclass(slots=True, eq=False)
class Batch:
    """Records that go into one journal entry."""

    records: list[Record] = field(default_factory=list)
    size_bytes: int = 0
    done: trio.Event = field(default_factory=trio.Event)
    is_sent: bool = False
    is_durable: bool = False


class BatchQueue:
    """Batches in the order of their journal entries."""

    def __init__(self) -> None:
        self._batches: deque[Batch] = deque()
        self._wake = trio.Event()

    def __len__(self) -> int:
        return len(self._batches)

    def last(self) -> Batch | None:
        """Return the last batch, None if all is durable."""
        return self._batches[-1] if self._batches else None

    def add(self, record: Record) -> Batch:
        """Queue a record in the last batch if it has room and is not on its way, else in a new."""
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

    def send_first(self) -> Batch:
        """Return the first batch, which takes no more records."""
        batch = self._batches[0]
        batch.is_sent = True
        return batch

    def finish_first(self) -> None:
        """Note that the first batch is durable."""
        batch = self._batches.popleft()
        batch.is_durable = True
        batch.done.set()

    def abandon(self) -> None:
        """End all waiting; what is not durable is the new owner's to decide."""
        for batch in self._batches:
            batch.done.set()
        self._batches.clear()
