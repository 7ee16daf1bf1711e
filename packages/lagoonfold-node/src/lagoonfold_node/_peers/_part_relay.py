"""Relays parts of a stream to a target without waking the task that reads the stream."""

from typing import Protocol

import trio


class PartTarget(Protocol):
    """Accept the parts of a stream, with backpressure."""

    def write(self, data: bytes) -> bool:
        """Write a part; return False if `drain` must be awaited before the next one."""

    async def drain(self) -> None:
        """Wait until the written parts have been sent."""


class PartRelay:
    """Write parts to a target in place of a reader that waits for them.

    When the target's `write` returns False, the reader is behind: it must be woken, and must drain
    the target by `drain_target` before it continues.
    """

    __slots__ = ("_is_behind", "_is_waiting", "_target")

    def __init__(self) -> None:
        self._target: PartTarget | None = None
        self._is_waiting = False
        self._is_behind = False

    def relay_parts_to(self, target: PartTarget) -> None:
        """Relay parts to a target from now on."""
        self._target = target

    def can_relay(self) -> bool:
        """Return whether the next part may be relayed: there is a target, and the reader waits."""
        return self._is_waiting and not self._is_behind and self._target is not None

    def relay(self, part: bytes) -> bool:
        """Write a part to the target; return False if the reader is behind and must be woken."""
        self._is_behind = not self._target.write(part)
        return not self._is_behind

    async def drain_target(self) -> None:
        """Drain the target if the reader is behind."""
        if self._is_behind:
            await self._target.drain()
            self._is_behind = False

    async def wait(self, event: trio.Event) -> None:
        """Wait for an event; parts may be relayed meanwhile."""
        self._is_waiting = True
        try:
            await event.wait()
        finally:
            self._is_waiting = False
