"""Keeps one replica of a pool free for the first waiting request that lacks only memory.

Without it, smaller requests would take the memory of each replica before there is enough for a
large one, which would wait until its time is over.
"""

import copy
from collections.abc import Iterable

from lagoonfold.forwarding import Replica

MAX_SHORT_OF_MEMORY = 4  # waiting requests that smaller ones may overtake; each costs a search


class MemoryHold:
    """The replica that is held, and the number of the waiting request for which it is."""

    def __init__(self) -> None:
        self._replica_id: str | None = None
        self._former_id: str | None = None
        self._number: int | None = None
        self._short_numbers: set[int] = set()

    def snapshot(self) -> "MemoryHold":
        """Return a copy."""
        copied = copy.copy(self)
        copied._short_numbers = set(self._short_numbers)
        return copied

    def begin_round(self) -> None:
        """Release the replica, to find out in the order of waiting for which request to hold it."""
        self._former_id, self._replica_id = self._replica_id, None
        self._short_numbers.clear()

    def record_short(self, number: int, replica_id: str) -> bool:
        """Hold a replica for a request that lacks only memory, unless one is held.

        A request keeps the replica that it had. Return whether further ones may be tried.
        """
        self._short_numbers.add(number)
        if self._replica_id is None:
            is_same = self._number == number and self._former_id is not None
            self._replica_id = self._former_id if is_same else replica_id
            self._number = number
        return len(self._short_numbers) <= MAX_SHORT_OF_MEMORY

    def admits(self, number: int, replica_id: str) -> bool:
        """Return whether a request may use a replica: one that is held is for one request only."""
        return replica_id != self._replica_id or number == self._number

    def record_placed(self, number: int) -> None:
        """Release the replica if it was held for a request that does not wait any more."""
        if number == self._number:
            self._replica_id = self._number = None

    def may_overtake(self, waiting_numbers: Iterable[int]) -> bool:
        """Return whether all that wait lack only memory, so that others may go before them."""
        numbers = set(waiting_numbers)
        return len(numbers) <= MAX_SHORT_OF_MEMORY and numbers <= self._short_numbers

    def holds(self, replica_id: str) -> bool:
        """Return whether a replica is held."""
        return replica_id == self._replica_id

    def unheld(self, replicas: list[Replica]) -> list[Replica]:
        """Return the replicas that are not held."""
        if self._replica_id is None:
            return replicas
        return [replica for replica in replicas if replica.replica_id != self._replica_id]
