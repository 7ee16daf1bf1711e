"""Places the requests for one pool of replicas; they wait in the order of `WaitingOrder`.

Answers the load of many callers at once on few slots, or on replicas that have named limits: the
request of the lowest rank gets the next place, and one that would not get one while it is of use is
refused at once. Everything is decided from arguments, without I/O; the caller calls `grant` when a
place may have become free.
"""

import itertools
import math
import random
from collections.abc import Iterator
from dataclasses import replace
from typing import Generic, TypeVar

from result import Err, Ok, Result

from lagoonfold._wait_queue import FIRST_OF_SNAPSHOT, MAX_WAITING, FreedRate
from lagoonfold.forwarding import Replica
from lagoonfold.placement._memory_hold import MAX_SHORT_OF_MEMORY, MemoryHold
from lagoonfold.placement._placement_results import PlacementRefusal, PlacementShortage
from lagoonfold.placement._program_admission import PlacementOrder, ProgramAdmission
from lagoonfold.placement._replica_selection import (
    ReplicaSearch,
    ReplicaSelection,
    ReplicaSelector,
)
from lagoonfold.placement._replica_tracker import ReplicaTracker
from lagoonfold.placement._return_times import MAX_SHARE_OF_TIME_LEFT, ReturnTimes
from lagoonfold.placement._selection_input import SelectionInput
from lagoonfold.placement._waiting_list import WaitingList
from lagoonfold.placement._waiting_order import WaitingOrder, WaitingRequest

T = TypeVar("T")

MAX_PASSED_OVER = 32  # waiting requests that are tried before one that may use a limited replica


class PlacementQueue(Generic[T]):
    """The requests that wait for a slot of one pool.

    The times at which refused callers should come back are drawn from `rng`.
    """

    def __init__(
        self, selector: ReplicaSelector, tracker: ReplicaTracker, rng: random.Random | None = None
    ) -> None:
        self._selector = selector
        self._tracker = tracker
        self._memory_hold = MemoryHold()
        self._waiting_since_s = -math.inf
        self._numbers = itertools.count()
        self._freed = FreedRate()
        self._freed_for_new = FreedRate()  # slots that went to programs that had not begun
        self._order: WaitingOrder[T] = WaitingOrder()
        self._waiting: WaitingList[T] = WaitingList(self._order)
        self._admission = ProgramAdmission()
        self._returns = ReturnTimes(rng if rng is not None else random.Random())

    def __len__(self) -> int:
        return len(self._waiting)

    def snapshot(self, selector: ReplicaSelector) -> "PlacementQueue[T]":
        """Return a copy for an explanation: it decides as this queue, without any effect here.

        `selector` is a snapshot of the selector of this queue.
        """
        rng = random.Random(0)
        copied: PlacementQueue[T] = PlacementQueue(selector, selector.knowledge.tracker, rng)
        copied._memory_hold = self._memory_hold.snapshot()
        copied._waiting_since_s = self._waiting_since_s
        copied._numbers = itertools.count(FIRST_OF_SNAPSHOT)
        copied._freed = self._freed.snapshot()
        copied._freed_for_new = self._freed_for_new.snapshot()
        copied._order = self._order.snapshot()
        copied._waiting = self._waiting.snapshot(copied._order)
        copied._admission = self._admission.snapshot()
        copied._returns = self._returns.snapshot(rng)
        return copied

    def outlook(
        self,
        request: SelectionInput,
        order: PlacementOrder,
        replicas: list[Replica],
        *,
        now_s: float,
    ) -> tuple[int, float | None]:
        """Return how many requests go before one that arrives, and how long it would wait.

        The time is None if the rate at which slots become free is not known. Ask a snapshot only.
        """
        arriving = self._make_waiting(None, request, order, now_s)
        before = self._waiting.count_before(arriving, now_s=now_s)
        wait_s = self._expected_wait_s(arriving, before, replicas, now_s)
        return before, None if before and not wait_s else wait_s

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
        if request.is_hedge:
            return self._place_hedge(request, order, replicas, now_s)
        self._selector.record_arrival(request)
        self._admission.record(order, now_s=now_s)
        arriving = self._make_waiting(item, request, order, now_s)
        before = self._waiting.count_before(arriving, now_s=now_s)
        selection = self._choose_on_arrival(arriving, before, replicas, now_s)
        if selection is not None:
            return Ok(selection)
        if not order.may_wait:
            return Err(PlacementRefusal(shortage=PlacementShortage.FULL))
        wait_s = self._expected_wait_s(arriving, before, replicas, now_s)
        is_in_time = now_s + wait_s <= arriving.latest_s or self._is_unserved(arriving, now_s)
        if is_in_time and len(self._waiting) < MAX_WAITING:
            self._enqueue(arriving, now_s)
            return Ok(None)
        retry_after_s = self._retry_after_s(arriving, wait_s, now_s)
        return Err(PlacementRefusal(shortage=PlacementShortage.FULL, retry_after_s=retry_after_s))

    def grant(
        self, replicas: list[Replica], *, now_s: float
    ) -> Iterator[tuple[T, ReplicaSelection]]:
        """Place waiting requests in their order; yield each with its selection.

        A request that may use only some of the replicas does not hold up those behind it. Neither
        does one that lacks only memory: a replica is held for the first of these until it fits
        there, and the others of the pool go on.
        """
        passed_over = 0
        self._memory_hold.begin_round()
        for waiting in self._waiting.in_order(now_s=now_s):
            search = self._search(waiting, self._memory_hold.unheld(replicas), now_s)
            if search.selection is not None:
                yield self._grant(waiting, search.selection)
            elif search.short is not None:
                if not self._memory_hold.record_short(waiting.number, search.short.replica_id):
                    return
            elif not waiting.request.is_restricted:
                passed_over += 1
                if passed_over > self._max_passed_over(replicas, now_s):
                    return

    def grant_at(self, replica: Replica, *, now_s: float) -> Iterator[tuple[T, ReplicaSelection]]:
        """Place waiting requests at one replica, where a place has become free; as `grant` does.

        The others had no room for them when `grant` looked at all the last time. It costs one
        candidate for each request that is tried, in place of a search over the pool.
        """
        short = passed_over = 0
        for waiting in self._waiting.in_order(now_s=now_s):
            if not self._memory_hold.admits(waiting.number, replica.replica_id):
                continue
            search = self._search(waiting, [replica], now_s)
            if search.selection is not None:
                yield self._grant(waiting, search.selection)
            elif search.short is not None:
                short += 1
                if short > MAX_SHORT_OF_MEMORY:
                    return
            elif not waiting.request.is_restricted:
                passed_over += 1
                if passed_over > self._max_passed_over([replica], now_s):
                    return

    def _grant(
        self, waiting: WaitingRequest[T], selection: ReplicaSelection
    ) -> tuple[T, ReplicaSelection]:
        self._waiting.remove(waiting)
        self._memory_hold.record_placed(waiting.number)
        self._order.record_granted()
        return waiting.item, selection

    def holds(self, replica_id: str) -> bool:
        """Return whether a replica is held for a waiting request that lacks only memory."""
        return bool(self._waiting) and self._memory_hold.holds(replica_id)

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

    def refuse_late(self, *, now_s: float) -> Iterator[tuple[T, PlacementRefusal]]:
        """Refuse the waiting requests of programs that a place does not help any more."""
        for waiting in self._waiting.late(now_s=now_s):
            self._waiting.remove(waiting)
            before = self._waiting.count_before(waiting, now_s=now_s)
            wait_s = self._wait_by_slots_s(waiting, before, now_s)
            retry_after_s = self._retry_after_s(waiting, wait_s, now_s)
            yield waiting.item, PlacementRefusal(
                shortage=PlacementShortage.FULL, retry_after_s=retry_after_s
            )

    def withdraw(self, item: T) -> None:
        """Remove a request that no longer waits."""
        waiting = self._waiting.find(item)
        if waiting is not None:
            self._waiting.remove(waiting)
            self._memory_hold.record_placed(waiting.number)

    def record_freed(self, *, now_s: float) -> None:
        """Count a slot that has become free, for the expected wait."""
        self._freed.record(now_s=now_s)

    def _make_waiting(
        self, item: T, request: SelectionInput, order: PlacementOrder, now_s: float
    ) -> WaitingRequest[T]:
        typical_s = request.typical_latency_s
        in_time_until_s = self._admission.latest_place_s(order, typical_s)
        has_returned = self._returns.has_returned(order.caller, now_s=now_s)
        if has_returned:
            latest_s = self._admission.useful_until_s(order, typical_s)
        else:
            latest_s = in_time_until_s
        return WaitingRequest(
            item=item,
            request=request,
            order=order,
            number=next(self._numbers),
            since_s=now_s - (order.waited_s or 0.0),
            in_time_until_s=in_time_until_s,
            latest_s=latest_s,
            has_returned=has_returned,
        )

    def _is_unserved(self, arriving: WaitingRequest[T], now_s: float) -> bool:
        """Return whether its account has had less than its share and has none waiting.

        The expected wait leaves out the places for overdue requests, which such a one gets first.
        """
        account = arriving.order.account
        if account is None or self._order.shares.is_over(account) or now_s > arriving.latest_s:
            return False
        return not self._waiting.has_account(account)

    def _enqueue(self, waiting: WaitingRequest[T], now_s: float) -> None:
        if not self._waiting:
            self._waiting_since_s = now_s
        self._waiting.add(waiting, now_s=now_s)

    def _expected_wait_s(
        self, arriving: WaitingRequest[T], before: int, replicas: list[Replica], now_s: float
    ) -> float:
        """Return how long a request would wait by the rate of freed slots and by limits."""
        request = arriving.request
        allowed = [replica.replica_id for replica in replicas if request.allows(replica)]
        by_limits = self._selector.limits.wait_s(allowed, before + 1, now_s=now_s)
        return max(by_limits or 0.0, self._wait_by_slots_s(arriving, before, now_s))

    def _wait_by_slots_s(self, waiting: WaitingRequest[T], before: int, now_s: float) -> float:
        """Return how long so many requests take by the rate of slots freed for their kind."""
        freed = self._freed if waiting.order.is_begun else self._freed_for_new
        per_s = freed.per_s(waiting_since_s=self._waiting_since_s, now_s=now_s)
        return before / per_s if per_s is not None else 0.0

    def _retry_after_s(self, refused: WaitingRequest[T], wait_s: float, now_s: float) -> float:
        """Return after how long a refused caller should come back."""
        order = refused.order
        if order.waited_s is None:
            return max(0.0, now_s + wait_s - refused.latest_s)
        told = self._returns.count_outstanding(now_s=now_s)
        told_s = self._wait_by_slots_s(refused, told, now_s)
        slack_s = refused.latest_s - now_s
        expected_s = wait_s + told_s - max(0.0, slack_s)
        time_left_s = order.answer_until_s - now_s
        if expected_s < slack_s:
            time_left_s = min(time_left_s, slack_s / MAX_SHARE_OF_TIME_LEFT)
        return self._returns.tell(
            order.caller, expected_s=expected_s, time_left_s=time_left_s, now_s=now_s
        )

    def _place_hedge(
        self,
        request: SelectionInput,
        order: PlacementOrder,
        replicas: list[Replica],
        now_s: float,
    ) -> Result[ReplicaSelection | None, PlacementRefusal]:
        hedge = WaitingRequest(
            item=None, request=request, order=order, number=next(self._numbers), since_s=now_s
        )
        selection = None if self._waiting else self._search(hedge, replicas, now_s).selection
        if selection is None:
            return Err(PlacementRefusal(shortage=PlacementShortage.FULL))
        return Ok(selection)

    def _choose_on_arrival(
        self, arriving: WaitingRequest[T], before: int, replicas: list[Replica], now_s: float
    ) -> ReplicaSelection | None:
        """Place a request that nothing that waits goes before, or only what lacks memory."""
        if before and not self._memory_hold.may_overtake(self._waiting.numbers):
            return None
        unheld = self._memory_hold.unheld(replicas) if self._waiting else replicas
        selection = self._search(arriving, unheld, now_s).selection
        if selection is None and not before and len(unheld) < len(replicas):
            selection = self._search(arriving, replicas, now_s).selection
        return selection

    def _search(
        self, waiting: WaitingRequest[T], replicas: list[Replica], now_s: float
    ) -> ReplicaSearch:
        """Search a replica for a request; record the placement if there is one."""
        request = waiting.request
        search = self._selector.search(replicas, request, now_s=now_s)
        if search.selection is None:
            return search
        replica = search.selection.replica
        self._tracker.record_sent(replica.replica_id)
        self._selector.record_placed(request, replica, now_s=now_s)
        claim = self._selector.knowledge.memory.open(replica, request)
        if not request.is_hedge:
            self._record_placed(waiting, now_s)
        return ReplicaSearch(selection=replace(search.selection, claim=claim))

    def _record_placed(self, placed: WaitingRequest[T], now_s: float) -> None:
        if not placed.order.is_begun:
            self._freed_for_new.record(now_s=now_s)
        self._order.record_placed(placed.order, now_s=now_s)
        self._returns.forget(placed.order.caller)
