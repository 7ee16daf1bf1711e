"""An observable value that the controllers of a process share.

Each cell is written by one controller and may be read by all. Reading and writing never await, so
all cells that a controller reads between two awaits show the state of the same moment.

    config = Cell("config", EMPTY_CONFIG)
    config.subscribe(lambda value: cut_withdrawn_streams(value))
    config.write(new_config)
"""

from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class Cell(Generic[T]):
    """A named value that calls its subscribers on each write; `version` counts the writes."""

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
