"""The order in which waiting requests of a pool are placed while it is short of room.

Programs that have begun go before new ones, those that are late behind all. New ones go by rank,
and among equal ranks, accounts that have had less than their share go before the others. One place
in some is given to a request that has waited long or has come back as told, whatever its rank, so
that no kind of request starves.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from lagoonfold.forwarding._late_programs import LATE_RANK_PENALTY
from lagoonfold.placement._fair_shares import FairShares
from lagoonfold.placement._program_admission import PlacementOrder
from lagoonfold.placement._selection_input import SelectionInput

T = TypeVar("T")

LONG_WAIT_S = 0.8  # longer than a hold of the instance that asks; then a request moves up
# One in so many granted places goes to a request that has waited long, so that no rank starves.
# Each of these places delays a program that could still end in time.
OVERDUE_EVERY = 32

SortKey = tuple[bool, bool, int, bool, bool, float, int]


@dataclass(slots=True, eq=False)
class WaitingRequest(Generic[T]):
    """A request that waits, since when over all its waits, and until when a place is of use."""

    item: T
    request: SelectionInput
    order: PlacementOrder
    number: int
    since_s: float
    in_time_until_s: float = math.inf
    latest_s: float = math.inf
    has_returned: bool = False

    @property
    def has_fixed_order(self) -> bool:
        """Return whether its order among the others does not change while it waits."""
        order = self.order
        return order.account is None and order.program is None and order.waited_s is None

    def is_useful(self, now_s: float) -> bool:
        """Return whether a place still helps its program."""
        return self.order.program is None or self.latest_s >= now_s

    def has_priority(self, now_s: float) -> bool:
        """Return whether the request has waited long or has come back as told."""
        if self.order.waited_s is None:
            return False
        return self.has_returned or now_s - self.since_s >= LONG_WAIT_S

    def has_missed(self, now_s: float) -> bool:
        """Return whether it is too late for its program to begin, or for its turn to be of use."""
        return self.order.program is not None and now_s > self.in_time_until_s

    def is_overdue(self, now_s: float) -> bool:
        """Return whether it has priority or has used up half of the time in which it may wait."""
        if self.order.waited_s is None or self.has_missed(now_s):
            return False
        is_half_over = not self.order.is_begun and now_s >= (self.since_s + self.latest_s) / 2
        return is_half_over or self.has_priority(now_s)


class WaitingOrder(Generic[T]):
    """Orders waiting requests by the shares of their accounts and by how long they have waited."""

    def __init__(self) -> None:
        self.shares = FairShares()
        self._granted = 0

    def snapshot(self) -> "WaitingOrder[T]":
        """Return a copy that can be updated without any effect here."""
        copied: WaitingOrder[T] = WaitingOrder()
        copied.shares, copied._granted = self.shares.snapshot(), self._granted
        return copied

    def update(self, waiting: Iterable[WaitingRequest[T]], *, now_s: float) -> None:
        """Take the waiting requests into account for the shares."""
        accounts = (each.order.account for each in waiting)
        self.shares.update((name for name in accounts if name is not None), now_s=now_s)

    def key(self, waiting: WaitingRequest[T], *, now_s: float) -> SortKey:
        """Return the sort key of a request: the lowest is placed first."""
        order = waiting.order
        is_new = not order.is_begun
        is_over = is_new and order.account is not None and self.shares.is_over(order.account)
        never_waited = is_new and not waiting.has_priority(now_s)
        return (
            waiting.has_missed(now_s) or order.rank >= LATE_RANK_PENALTY,
            is_new,
            order.rank,
            is_over,
            never_waited,
            order.tie_break,
            waiting.number,
        )

    def record_placed(self, order: PlacementOrder, *, now_s: float) -> None:
        """Count a placement for the share of its account."""
        if order.account is not None:
            self.shares.record(order.account, now_s=now_s)

    def record_granted(self) -> None:
        """Count a place that went to a waiting request."""
        self._granted += 1

    def find_overdue(
        self, waiting: Iterable[WaitingRequest[T]], *, now_s: float
    ) -> WaitingRequest[T] | None:
        """Return the request that the next place goes to if it is the turn of those that waited.

        The account with the fewest placements goes first, so that a flood gets no more of them.
        """
        if (self._granted + 1) % OVERDUE_EVERY:
            return None
        overdue = (each for each in waiting if each.is_overdue(now_s))
        return min(overdue, key=self._overdue_key, default=None)

    def _overdue_key(self, waiting: WaitingRequest[T]) -> tuple[int, float]:
        account = waiting.order.account
        return (0 if account is None else self.shares.placed(account)), waiting.since_s
