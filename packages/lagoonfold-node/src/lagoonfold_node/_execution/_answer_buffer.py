"""Buffer the answer of a running call for all its readers.

The executor writes whole events as they arrive, and each reader returns all parts that are ready.
If a reader already waits for the next part, the part is written directly to the reader's target,
without waking its task, until the target needs to be drained. The executor waits while every
reader is too far behind, so a slow caller holds back the engine, but a lost reader doesn't delay
the others. A call continues without readers unless the executor stops it.
"""

import sys
from collections.abc import Callable
from dataclasses import dataclass

import trio

from lagoonfold import Refusal
from lagoonfold_node._peers import PartRelay, PartTarget

READ_AHEAD_BYTES = 131_072


@dataclass(frozen=True, slots=True, kw_only=True)
class CallAnswer:
    """The whole answer of a call, as it is recorded."""

    status: int
    content_type: str
    body: bytes


class AnswerReader:
    """One reader of a buffer; `index` is the number of parts that it has read."""

    __slots__ = ("_buffer", "_relay", "index")

    def __init__(self, buffer: "AnswerBuffer") -> None:
        self._buffer = buffer
        self._relay = PartRelay()
        self.index = 0

    def skip_parts(self) -> None:
        """Stop reading parts: this reader only waits for the whole answer."""
        self.index = sys.maxsize

    async def read(self) -> bytes:
        """Wait for at least one part and return all that are ready; return b"" at the end."""
        buffer = self._buffer
        while True:
            await self._relay.drain_target()
            if self.index < len(buffer.parts) or buffer.is_over:
                break
            await self._relay.wait(buffer.changed)
        parts = buffer.parts[self.index :]
        self.index = len(buffer.parts)
        buffer.signal()
        return b"".join(parts)

    def relay_parts_to(self, target: PartTarget) -> None:
        """Write parts that arrive while `read` waits to a target, without waking the reader."""
        self._relay.relay_parts_to(target)

    def try_relay(self, part: bytes) -> bool:
        """Relay the newest part if the reader waits for it; return False if it must be woken."""
        if self.index == sys.maxsize:
            return True
        is_next = self.index == len(self._buffer.parts) - 1
        if not (is_next and self._relay.can_relay()):
            return False
        self.index += 1
        return self._relay.relay(part)


class AnswerBuffer:
    """Holds the parts so far, and at the end the whole answer or the refusal.

    `on_abandoned` is called when the last reader leaves before the end.
    """

    def __init__(self, on_abandoned: Callable[[], None]) -> None:
        self.parts: list[bytes] = []
        self.answer: CallAnswer | None = None
        self.refusal: Refusal | None = None
        self.changed = trio.Event()
        self._readers: list[AnswerReader] = []
        self._on_abandoned = on_abandoned

    @property
    def is_over(self) -> bool:
        """Return whether the call has ended."""
        return self.answer is not None or self.refusal is not None

    def signal(self) -> None:
        """Wake all tasks that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()

    def attach(self) -> AnswerReader:
        """Add a reader that starts at the first part."""
        reader = AnswerReader(self)
        self._readers.append(reader)
        return reader

    def detach(self, reader: AnswerReader) -> None:
        """Remove a reader; call `on_abandoned` if it was the last one and the call goes on."""
        self._readers.remove(reader)
        self.signal()
        if not self._readers and not self.is_over:
            self._on_abandoned()

    async def write(self, part: bytes) -> None:
        """Wait until a reader is close enough to the end of the buffer, then add a part."""
        while not self.has_room():
            await self.changed.wait()
        self.add(part)

    def add(self, part: bytes) -> None:
        """Add a part without waiting; call it only if `has_room` returns True."""
        self.parts.append(part)
        all_relayed = True
        for reader in self._readers:
            all_relayed = reader.try_relay(part) and all_relayed
        if not all_relayed:
            self.signal()

    def has_room(self) -> bool:
        """Return whether the fastest reader, if any, has at most `READ_AHEAD_BYTES` unread."""
        part_count = len(self.parts)
        for reader in self._readers:
            if reader.index >= part_count:
                return True
        return self._unread_bytes() <= READ_AHEAD_BYTES

    def _unread_bytes(self) -> int:
        if not self._readers:
            return 0
        fastest = max(reader.index for reader in self._readers)
        return sum(len(part) for part in self.parts[fastest:])

    def finish(self, answer: CallAnswer, last_part: bytes = b"") -> None:
        """End the call with its whole answer; `last_part` is appended for streaming readers."""
        if last_part:
            self.parts.append(last_part)
        self.answer = answer
        self.signal()

    def refuse(self, refusal: Refusal) -> None:
        """End the call without an answer."""
        self.refusal = refusal
        self.signal()

    async def wait(self) -> CallAnswer | Refusal:
        """Wait for the end of the call; return its answer or refusal."""
        while not self.is_over:
            await self.changed.wait()
        return self.answer if self.answer is not None else self.refusal
