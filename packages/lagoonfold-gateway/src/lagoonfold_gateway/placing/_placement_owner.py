"""Owner side of placement: places the requests of all instances on the replicas of a pool.

Reads `replicas` and `live`. A pool's owner is the first live instance of its ranking, but any
instance places a request that it is asked to place: two owners unaware of each other only know
less of each other's requests. While this instance falls behind, it only says that it is busy, and
whoever asked turns to the pool's deputy; reports of ends are handled all the same. A placement that
is never reported as ended is dropped when its instance is lost or its request's time is over.
"""

import math
from collections.abc import Awaitable
from dataclasses import dataclass

import trio
from result import Err, Ok, Result

from lagoonfold.forwarding import (
    AttemptOutcome,
    Replica,
)
from lagoonfold.placement import (
    TIMER_S,
    MemoryClaim,
    OwnerLoad,
    PlacementRefusal,
    PlacementShortage,
    PromptPart,
    ReplicaPool,
    ReplicaSelection,
    SelectionInput,
)
from lagoonfold_gateway._board import GatewayBoard, LiveView
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._limit_controller import LimitController
from lagoonfold_gateway._messages import (
    Ack,
    Message,
    Placed,
    PlacementEnd,
    PlacementRefused,
    PlaceRequest,
)
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_gateway.placing._dispatch import Dispatcher, PlacementEvidence, WaitingPlacement
from lagoonfold_gateway.placing._placement_orders import order_of
from lagoonfold_io.observe import EventLog

SWEEP_INTERVAL_S = 0.5  # between searches for placements whose request's time is over
OVERDUE_S = 1.0  # a report of a request's end arrives within some ms of the end of its time

MEASURE_S = 1.0  # after a request for a place; other instances need no timer
BUSY_LOG_INTERVAL_S = 1.0  # between lines on requests refused as this instance was busy

_log = EventLog("placement")

_Key = tuple[str, int]


@dataclass(frozen=True, slots=True)
class _OpenPlacement:
    pool: ReplicaPool
    replica: Replica
    parts: tuple[PromptPart, ...]
    placed_at_s: float
    drop_at_s: float
    claim: MemoryClaim | None


class PlacementOwner:
    """Handles the messages about placements and keeps the open ones."""

    def __init__(
        self,
        board: GatewayBoard,
        bus: PeerBus,
        dispatcher: Dispatcher,
        limit_controller: LimitController,
    ) -> None:
        self._board = board
        self.load = OwnerLoad()
        self._asked_s = -math.inf
        self._is_asked = trio.Event()
        self._busy_logged_s = -math.inf
        self._refused_as_busy = 0
        self._dispatcher = dispatcher
        self._limit_controller = limit_controller
        self._open_by_key: dict[_Key, _OpenPlacement] = {}
        self._waiting_by_key: dict[_Key, trio.CancelScope] = {}
        bus.register_handler(PlaceRequest)(self._handle_request)
        bus.register_handler(PlacementEnd)(self._handle_end)
        board.live.subscribe(self._drop_lost_instances)

    async def sweep(self) -> None:
        """Drop placements whose request's time is over, until cancelled."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            now = now_s()
            self._drop([key for key, held in self._open_by_key.items() if held.drop_at_s < now])

    async def measure_load(self) -> None:
        """Measure how late the event loop is while requests are placed here, until cancelled."""
        while True:
            await self._is_asked.wait()
            while now_s() - self._asked_s < MEASURE_S:
                self.load.expect(now_s() + TIMER_S)
                await trio.sleep(TIMER_S)
                self.load.record_ran(now_s=now_s())
            self.load.stop()
            self._is_asked = trio.Event()

    def _handle_request(self, request: Message) -> Message | Awaitable[Message]:
        assert isinstance(request, PlaceRequest)
        self._asked_s = now_s()
        self._is_asked.set()
        if request.knows_busy and self._is_busy():
            return PlacementRefused(shortage=PlacementShortage.WAITING.value, is_busy=True)
        pool = ReplicaPool(request.service, request.pool_index, request.pool_count)
        parts = tuple(PromptPart(part_id, tokens) for part_id, tokens in request.parts)
        wanted = SelectionInput(
            typical_latency_s=self._dispatcher.typical_latency_s(request.route),
            parts=parts,
            excluded=frozenset(request.excluded),
            only=request.only,
            failure_domain=request.failure_domain,
            expected_tokens=request.expected_tokens,
            version=request.version,
            affinity=request.affinity,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            is_hedge=request.is_hedge,
        )
        order = order_of(request, now_s=now_s())
        placed = self._dispatcher.place(pool, wanted, order)
        if isinstance(placed, Ok) and isinstance(placed.ok_value, WaitingPlacement):
            return self._wait(request, pool, parts, placed.ok_value)
        return self._answer(request, pool, parts, placed)

    def _is_busy(self) -> bool:
        """Return whether another instance is to place a request, if there is one."""
        now = now_s()
        if len(self._board.live.read().ids) == 1 or not self.load.is_busy(now_s=now):
            return False
        self._refused_as_busy += 1
        if now - self._busy_logged_s >= BUSY_LOG_INTERVAL_S:
            _log.warning("placement.owner_busy", refused=self._refused_as_busy)
            self._busy_logged_s, self._refused_as_busy = now, 0
        return True

    async def _wait(
        self,
        request: PlaceRequest,
        pool: ReplicaPool,
        parts: tuple[PromptPart, ...],
        waiting: WaitingPlacement,
    ) -> Message:
        """Wait for a replica for up to `hold_s`, unless the request is withdrawn."""
        key = (request.instance, request.number)
        scope = self._waiting_by_key[key] = trio.CancelScope()
        try:
            with scope:
                placed = await self._dispatcher.wait(waiting, hold_s=request.hold_s)
        finally:
            del self._waiting_by_key[key]
        if scope.cancelled_caught:
            return PlacementRefused(shortage=PlacementShortage.FULL.value)
        return self._answer(request, pool, parts, placed)

    def _answer(
        self,
        request: PlaceRequest,
        pool: ReplicaPool,
        parts: tuple[PromptPart, ...],
        placed: Result[ReplicaSelection, PlacementRefusal],
    ) -> Message:
        if isinstance(placed, Err):
            refusal = placed.err_value
            return PlacementRefused(
                shortage=refusal.shortage.value, retry_after_s=refusal.retry_after_s
            )
        selection = placed.ok_value
        now = now_s()
        drop_at_s = now + request.time_left_s + OVERDUE_S
        key = (request.instance, request.number)
        self._open_by_key[key] = _OpenPlacement(
            pool, selection.replica, parts, now, drop_at_s, selection.claim
        )
        return Placed(
            replica_id=selection.replica.replica_id,
            requests=selection.requests,
            slowdown=selection.slowdown,
            uncached_tokens=selection.uncached_tokens,
        )

    def _handle_end(self, end: Message) -> Message:
        assert isinstance(end, PlacementEnd)
        key = (end.instance, end.number)
        if (scope := self._waiting_by_key.get(key)) is not None:
            scope.cancel()
        held = self._open_by_key.pop(key, None)
        if held is not None:
            is_answered = end.outcome == AttemptOutcome.ANSWERED.value
            evidence = PlacementEvidence(
                route=end.route,
                outcome=AttemptOutcome(end.outcome) if end.outcome else None,
                reported_load=end.reported_load,
                answer_s=end.answer_s,
                event_s=end.event_s,
                is_stream=end.is_stream,
                reported_pace=end.reported_pace,
                reported_pace_age_s=max(0.0, end.reported_pace_age_s),
                parts=held.parts if is_answered else (),
                cold_s=end.cold_s,
            )
            self._dispatcher.record_end(
                held.pool, held.replica, evidence, sender=end.instance, claim=held.claim
            )
            if end.names_no_limit:
                self._limit_controller.record_unlimited(held.replica, placed_at_s=held.placed_at_s)
        return Ack()

    def _drop_lost_instances(self, view: LiveView) -> None:
        live = set(view.ids)
        self._drop([key for key in self._open_by_key if key[0] not in live])

    def _drop(self, keys: list[_Key]) -> None:
        for key in keys:
            held = self._open_by_key.pop(key)
            self._dispatcher.free(held.pool, held.replica.replica_id, held.claim)
