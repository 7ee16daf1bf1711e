"""Places the requests for one pool of replicas; they wait in the order of their ranks.

Answers the load of many callers at once on few slots, or on replicas that have named limits: the
request of the lowest rank gets the next place, and one that would not get one in time is refused at
once. Everything is decided from arguments, without I/O; the caller calls `grant` when a place may
have become free.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from typing import Generic, TypeVar

from result import Err, Ok, Result

from lagoonfold._wait_queue import WaitQueue
from lagoonfold.forwarding import Replica
from lagoonfold.placement._replica_selection import (
    ReplicaSearch,
    ReplicaSelection,
    ReplicaSelector,
)
from lagoonfold.placement._replica_tracker import ReplicaTracker
from lagoonfold.placement._selection_input import SelectionInput

T = TypeVar("T")

MAX_PASSED_OVER = 32  # waiting requests that are tried before one that may use a limited replica
MAX_SHORT_OF_MEMORY = 4  # waiting requests that smaller ones may overtake; each costs a search


class PlacementShortage(Enum):
    """Why a request is not placed.

    `NO_REPLICA`: the pool has no replica. `FULL`: it would not get a slot in time, or not at once
    if it may not wait. `WAITING`: it could still get one, but whoever asked wants to know by now.
    """

    NO_REPLICA = "no-replica"
    FULL = "full"
    WAITING = "waiting"


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRefusal:
    """A request that is not placed: why, and after how many seconds it may find a place in time.

    `retry_after_s` is 0 where that is not known.
    """

    shortage: PlacementShortage
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementOrder:
    """A request's place among those that wait: the lower rank first, then the lower tie break.

    `wait_until_s` is when waiting becomes useless; `may_wait` is false for a request that is to be
    placed at once or not at all.
    """

    rank: int
    tie_break: float
    wait_until_s: float
    may_wait: bool = True


@dataclass(slots=True, eq=False)
class _Waiting(Generic[T]):
    item: T
    request: SelectionInput
    is_short_of_memory: bool = False


class PlacementQueue(Generic[T]):
    """The requests that wait for a slot of one pool."""

    def __init__(self, selector: ReplicaSelector, tracker: ReplicaTracker) -> None:
        self._selector = selector
        self._tracker = tracker
        self._queue: WaitQueue[_Waiting[T]] = WaitQueue()
        # The replica kept free for the first waiting request that lacks only memory.
        self._held_id: str | None = None
        self._held_for: _Waiting[T] | None = None

    def __len__(self) -> int:
        return len(self._queue)

    def place(
        self,
        item: T,
        request: SelectionInput,
        order: PlacementOrder,
        replicas: list[Replica],
        *,
        now_s: float,
    ) -> Result[ReplicaSelection | None, PlacementRefusal]:
        """Place a request that arrives; None means that it waits and `grant` will return it.

        A placed request counts as in flight at its replica until the tracker's `record_ended`, and
        in its memory until the claim of the selection is released. A hedge is not placed while any
        request waits.
        """
        if not replicas:
            return Err(PlacementRefusal(shortage=PlacementShortage.NO_REPLICA))
        if not request.is_hedge:
            self._selector.record_arrival(request)
        elif len(self._queue):
            return Err(PlacementRefusal(shortage=PlacementShortage.FULL))
        is_behind = self._queue.is_behind(order.rank, order.tie_break)
        if not is_behind or self._all_lack_memory():
            selection = self._choose(request, self._unheld(replicas), now_s)
            if selection is None and not is_behind and self._held_id is not None:
                selection = self._choose(request, replicas, now_s)
            if selection is not None:
                return Ok(selection)
        if not order.may_wait:
            return Err(PlacementRefusal(shortage=PlacementShortage.FULL))
        wait_s = self._expected_wait_s(request, order, replicas, now_s)
        is_in_time = now_s + wait_s <= order.wait_until_s
        if is_in_time and self._enqueue(item, request, order, now_s):
            return Ok(None)
        retry_after_s = max(0.0, now_s + wait_s - order.wait_until_s)
        return Err(PlacementRefusal(shortage=PlacementShortage.FULL, retry_after_s=retry_after_s))

    def grant(
        self, replicas: list[Replica], *, now_s: float
    ) -> Iterator[tuple[T, ReplicaSelection]]:
        """Place waiting requests in their order; yield each with its selection.

        A request that may use only some of the replicas does not hold up those behind it. Neither
        does one that lacks only memory: a replica is held for the first of these until it fits
        there, and the others of the pool go on.
        """
        passed_over = short_of_memory = 0
        former_hold, self._held_id = self._held_id, None
        for waiting in self._queue.in_order():
            search = self._search(waiting.request, self._unheld(replicas), now_s)
            if search.selection is not None:
                self._queue.remove(waiting)
                yield waiting.item, search.selection
                continue
            waiting.is_short_of_memory = search.short is not None
            if search.short is not None:
                short_of_memory += 1
                self._hold(waiting, search.short.replica_id, former_hold)
                if short_of_memory > MAX_SHORT_OF_MEMORY:
                    return
            elif not waiting.request.is_restricted:
                passed_over += 1
                if passed_over > self._max_passed_over(replicas, now_s):
                    return

    def holds(self, replica_id: str) -> bool:
        """Return whether a replica is held for a waiting request that lacks only memory."""
        return len(self._queue) > 0 and replica_id == self._held_id

    def _hold(self, waiting: _Waiting[T], replica_id: str, former_hold: str | None) -> None:
        """Hold a replica for a request, unless one is held; a request keeps the one it had."""
        if self._held_id is None:
            is_same = self._held_for is waiting and former_hold is not None
            self._held_id = former_hold if is_same else replica_id
            self._held_for = waiting

    def _unheld(self, replicas: list[Replica]) -> list[Replica]:
        """Return the replicas that are not held for a request that waits for memory."""
        if self._held_id is None:
            return replicas
        return [replica for replica in replicas if not self.holds(replica.replica_id)]

    def _all_lack_memory(self) -> bool:
        """Return whether those that wait lack only memory, so that others may overtake them."""
        return len(self._queue) <= MAX_SHORT_OF_MEMORY and all(
            waiting.is_short_of_memory for waiting in self._queue.items()
        )

    def _max_passed_over(self, replicas: list[Replica], now_s: float) -> int:
        """Return how many waiting requests may leave limited or cold replicas with room unused."""
        limits, cold = self._selector.limits, self._selector.knowledge.cold
        has_room = any(
            (
                limits.limit_per_s(replica.replica_id) is not None
                or cold.is_cold(replica.replica_id, now_s=now_s)
            )
            and limits.has_room(replica.replica_id, now_s=now_s)
            and cold.has_room(replica.replica_id, now_s=now_s)
            for replica in replicas
        )
        return MAX_PASSED_OVER if has_room else 0

    def withdraw(self, item: T) -> None:
        """Remove a request that no longer waits."""
        for waiting in self._queue.items():
            if waiting.item is item:
                self._queue.remove(waiting)

    def record_freed(self, *, now_s: float) -> None:
        """Count a slot that has become free, for the expected wait."""
        self._queue.record_freed(now_s=now_s)

    def _expected_wait_s(
        self,
        request: SelectionInput,
        order: PlacementOrder,
        replicas: list[Replica],
        now_s: float,
    ) -> float:
        """Return how long a request would wait by freed slots, limits and cold replicas."""
        before = self._queue.count_before(order.rank, order.tie_break)
        allowed = [replica.replica_id for replica in replicas if request.allows(replica)]
        by_limits = self._selector.limits.wait_s(allowed, before + 1, now_s=now_s)
        by_cold = self._selector.knowledge.cold.wait_s(allowed, before + 1, now_s=now_s)
        by_slots = self._queue.expected_wait_s(order.rank, order.tie_break, now_s=now_s)
        return max(by_limits or 0.0, by_cold or 0.0, by_slots or 0.0)

    def _enqueue(
        self, item: T, request: SelectionInput, order: PlacementOrder, now_s: float
    ) -> bool:
        return self._queue.enqueue(
            _Waiting(item, request),
            rank=order.rank,
            tie_break=order.tie_break,
            wait_until_s=order.wait_until_s,
            now_s=now_s,
        )

    def _choose(
        self, request: SelectionInput, replicas: list[Replica], now_s: float
    ) -> ReplicaSelection | None:
        return self._search(request, replicas, now_s).selection

    def _search(
        self, request: SelectionInput, replicas: list[Replica], now_s: float
    ) -> ReplicaSearch:
        """Search a replica for a request; record the placement if there is one."""
        search = self._selector.search(replicas, request, now_s=now_s)
        selection = search.selection
        if selection is None:
            return search
        replica = selection.replica
        self._tracker.record_sent(replica.replica_id)
        self._selector.record_placed(request, replica, now_s=now_s)
        claim = self._selector.knowledge.memory.open(replica, request)
        return ReplicaSearch(selection=replace(selection, claim=claim))
