"""The blackboard: typed cells that controllers read and write.

A controller owns the cells it writes; any controller may read any cell. Reading a cell never
blocks, so a decision sees one consistent moment between two waits.

    config = Cell("config", EMPTY_CONFIG)
    config.subscribe(lambda value: cut_withdrawn_streams(value))
    config.write(new_config)
"""

from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class Cell(Generic[T]):
    """One named value of the blackboard with the callbacks that follow its changes."""

    __slots__ = ("_callbacks", "_value", "name", "version")

    def __init__(self, name: str, value: T) -> None:
        self.name = name
        self.version = 0
        self._value = value
        self._callbacks: list[Callable[[T], None]] = []

    def read(self) -> T:
        """Return the current value."""
        return self._value

    def write(self, value: T) -> None:
        """Replace the value and call every subscriber, in the order of subscription."""
        self._value = value
        self.version += 1
        for callback in tuple(self._callbacks):
            callback(value)

    def subscribe(self, callback: Callable[[T], None]) -> Callable[[], None]:
        """Call `callback` with each new value; return a function that ends the subscription."""
        self._callbacks.append(callback)
        return lambda: self._callbacks.remove(callback)
