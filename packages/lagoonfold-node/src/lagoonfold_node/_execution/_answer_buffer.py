"""The answer of a running call, read by everyone who waits for it.

The executor writes whole events as they come; each reader takes all that is ready at its own
pace. A reader that waits for the next part has it written to its target at once, with no wake-up
of its task, for as long as the target takes all. The executor waits while every reader is too far
behind, so a slow caller holds back the engine, and a reader that was lost holds back nobody. A
call goes on without readers; what then becomes of it is the executor's decision.
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
    """A whole answer, as it is recorded."""

    status: int
    content_type: str
    body: bytes


class AnswerReader:
    """One reader's place in a buffer."""

    __slots__ = ("_buffer", "_relay", "index")

    def __init__(self, buffer: "AnswerBuffer") -> None:
        self._buffer = buffer
        self._relay = PartRelay()
        self.index = 0

    def skip_parts(self) -> None:
        """Hold back nothing: this reader waits for the whole answer alone."""
        self.index = sys.maxsize

    async def read(self) -> bytes:
        """Return all parts that are ready, waiting for the first; empty at the end."""
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
        """Give parts that come while `read` waits to a target, with no task in between."""
        self._relay.relay_parts_to(target)

    def take(self, part: bytes) -> bool:
        """Take the newest part if this reader waits for it; False if it must be woken."""
        if self.index == sys.maxsize:
            return True
        is_next = self.index == len(self._buffer.parts) - 1
        if not (is_next and self._relay.can_relay()):
            return False
        self.index += 1
        return self._relay.relay(part)


class AnswerBuffer:
    """The parts so far, and at the end the whole answer or the refusal."""

    def __init__(self, on_abandoned: Callable[[], None]) -> None:
        self.parts: list[bytes] = []
        self.answer: CallAnswer | None = None
        self.refusal: Refusal | None = None
        self.changed = trio.Event()
        self._readers: list[AnswerReader] = []
        self._on_abandoned = on_abandoned

    @property
    def is_over(self) -> bool:
        """Tell whether the call has ended."""
        return self.answer is not None or self.refusal is not None

    def signal(self) -> None:
        """Wake everyone who waits for a change."""
        self.changed.set()
        self.changed = trio.Event()

    def attach(self) -> AnswerReader:
        """Add a reader at the start of the answer."""
        reader = AnswerReader(self)
        self._readers.append(reader)
        return reader

    def detach(self, reader: AnswerReader) -> None:
        """Remove a reader; the executor is told when the last one is gone before the end."""
        self._readers.remove(reader)
        self.signal()
        if not self._readers and not self.is_over:
            self._on_abandoned()

    async def write(self, part: bytes) -> None:
        """Add a part, after waiting for a reader to be near enough."""
        while not self.has_room():
            await self.changed.wait()
        self.add(part)

    def add(self, part: bytes) -> None:
        """Add a part at once, where there is room."""
        self.parts.append(part)
        is_taken = True
        for reader in self._readers:
            is_taken = reader.take(part) and is_taken
        if not is_taken:
            self.signal()

    def has_room(self) -> bool:
        """Tell whether a reader is near enough for a part to be added at once."""
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
        """End the call with its whole answer."""
        if last_part:
            self.parts.append(last_part)
        self.answer = answer
        self.signal()

    def refuse(self, refusal: Refusal) -> None:
        """End the call without an answer."""
        self.refusal = refusal
        self.signal()

    async def wait(self) -> CallAnswer | Refusal:
        """Wait for the end of the call."""
        while not self.is_over:
            await self.changed.wait()
        return self.answer if self.answer is not None else self.refusal
