"""Parts of a stream passed on to their target without waking the task that reads the stream."""

from typing import Protocol

import trio


class PartTarget(Protocol):
    """Takes the parts of a stream without a wait, until it asks for one."""

    def write(self, data: bytes) -> bool:
        """Take a part; False when `drain` must be awaited before the next one."""

    async def drain(self) -> None:
        """Wait until the parts that were written have left."""


class PartRelay:
    """Gives parts to a target in place of a reader that waits for them.

    A target that does not take all puts the reader behind: it must be woken, and drains the target
    by `drain_target` before it goes on.
    """

    __slots__ = ("_is_behind", "_is_waiting", "_target")

    def __init__(self) -> None:
        self._target: PartTarget | None = None
        self._is_waiting = False
        self._is_behind = False

    def relay_parts_to(self, target: PartTarget) -> None:
        """Give parts to a target from now on."""
        self._target = target

    def can_relay(self) -> bool:
        """Tell whether the next part may be given: there is a target, and its reader waits."""
        return self._is_waiting and not self._is_behind and self._target is not None

    def relay(self, part: bytes) -> bool:
        """Give a part to the target; False if the reader is behind and must be woken."""
        self._is_behind = not self._target.write(part)
        return not self._is_behind

    async def drain_target(self) -> None:
        """Drain the target if the reader is behind."""
        if self._is_behind:
            await self._target.drain()
            self._is_behind = False

    async def wait(self, event: trio.Event) -> None:
        """Wait for an event; parts may be given meanwhile."""
        self._is_waiting = True
        try:
            await event.wait()
        finally:
            self._is_waiting = False
