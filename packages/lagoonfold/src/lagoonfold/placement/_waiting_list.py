"""The waiting requests of one pool, in the order of `WaitingOrder`.

The order of a request that tells neither its account, its program nor how long it has waited does
not change while it waits. While only such requests wait, they are kept sorted, so that an arrival
or a grant costs the same however many wait.
"""

import heapq
from bisect import bisect_left, insort
from collections.abc import Iterator
from typing import Generic, TypeVar

from lagoonfold.placement._waiting_order import SortKey, WaitingOrder, WaitingRequest

T = TypeVar("T")


class WaitingList(Generic[T]):
    """Holds waiting requests by their number."""

    def __init__(self, order: WaitingOrder[T]) -> None:
        self._order = order
        self._waiting_by_number: dict[int, WaitingRequest[T]] = {}
        self._number_by_item_id: dict[int, int] = {}
        self._sorted: list[SortKey] = []  # of the requests with a fixed order
        self._key_by_number: dict[int, SortKey] = {}
        self._moving_by_number: dict[int, WaitingRequest[T]] = {}

    def __len__(self) -> int:
        return len(self._waiting_by_number)

    def snapshot(self, order: WaitingOrder[T]) -> "WaitingList[T]":
        """Return a copy by a copy of the order, which can be added to without any effect here."""
        copied: WaitingList[T] = WaitingList(order)
        copied._waiting_by_number = dict(self._waiting_by_number)
        copied._number_by_item_id = dict(self._number_by_item_id)
        copied._sorted = list(self._sorted)
        copied._key_by_number = dict(self._key_by_number)
        copied._moving_by_number = dict(self._moving_by_number)
        return copied

    @property
    def numbers(self) -> frozenset[int]:
        """Return the numbers of all waiting requests."""
        return frozenset(self._waiting_by_number)

    def add(self, waiting: WaitingRequest[T], *, now_s: float) -> None:
        """Add a request."""
        number = waiting.number
        self._waiting_by_number[number] = waiting
        self._number_by_item_id[id(waiting.item)] = number
        if waiting.has_fixed_order:
            key = self._key_by_number[number] = self._order.key(waiting, now_s=now_s)
            insort(self._sorted, key)
        else:
            self._moving_by_number[number] = waiting

    def remove(self, waiting: WaitingRequest[T]) -> None:
        """Remove a request."""
        number = waiting.number
        del self._waiting_by_number[number]
        del self._number_by_item_id[id(waiting.item)]
        key = self._key_by_number.pop(number, None)
        if key is None:
            del self._moving_by_number[number]
        else:
            del self._sorted[bisect_left(self._sorted, key)]

    def find(self, item: T) -> WaitingRequest[T] | None:
        """Return the waiting request of an item, None if it does not wait."""
        number = self._number_by_item_id.get(id(item))
        return self._waiting_by_number[number] if number is not None else None

    def has_account(self, account: str) -> bool:
        """Return whether a request of an account waits."""
        return any(each.order.account == account for each in self._moving_by_number.values())

    def late(self, *, now_s: float) -> list[WaitingRequest[T]]:
        """Return the requests of programs that a place does not help any more."""
        return [each for each in self._moving_by_number.values() if not each.is_useful(now_s)]

    def in_order(self, *, now_s: float) -> Iterator[WaitingRequest[T]]:
        """Return the requests in the order in which they are to be placed, without the late ones.

        One that is returned may be removed before the next one is asked for.
        """
        if not self._moving_by_number:
            for key in tuple(self._sorted):
                yield self._waiting_by_number[key[-1]]
            return
        useful = self._update(now_s)
        overdue = self._order.find_overdue(useful, now_s=now_s)
        if overdue is not None:
            yield overdue
        heap = [(self._order.key(each, now_s=now_s), each) for each in useful]
        heapq.heapify(heap)
        while heap:
            _, waiting = heapq.heappop(heap)
            if waiting is not overdue:
                yield waiting

    def count_before(self, arriving: WaitingRequest[T], *, now_s: float) -> int:
        """Return how many requests would be placed before one that arrives."""
        if not self._moving_by_number:
            if not arriving.has_fixed_order:
                self._order.update((), now_s=now_s)
            return bisect_left(self._sorted, self._order.key(arriving, now_s=now_s))
        useful = self._update(now_s)
        key = self._order.key(arriving, now_s=now_s)
        return sum(self._order.key(each, now_s=now_s) < key for each in useful)

    def _update(self, now_s: float) -> list[WaitingRequest[T]]:
        """Return the requests that a place still helps, after taking them into the shares."""
        useful = [each for each in self._waiting_by_number.values() if each.is_useful(now_s)]
        self._order.update(useful, now_s=now_s)
        return useful
