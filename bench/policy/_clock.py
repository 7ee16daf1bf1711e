"""An event queue in simulated time."""

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any


class Clock:
    """Simulated time with a queue of scheduled actions.

    Actions of the same time run in the order in which they were scheduled.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = count()

    def at(self, when_s: float, action: Callable[..., None], *args: Any) -> None:
        """Schedule an action at a time."""
        heapq.heappush(self._events, (when_s, next(self._sequence), action, args))

    def after(self, delay_s: float, action: Callable[..., None], *args: Any) -> None:
        """Schedule an action after a delay."""
        self.at(self.now_s + delay_s, action, *args)

    def run(self, until_s: float) -> None:
        """Run the actions up to and including a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now_s = max(self.now_s, until_s)
