"""Selects a replica for a request, which waits while no replica has capacity.

Reads `replicas`. A request waits in the queue of its service; the first in the queue gets the next
replica that has capacity. A request that would not get one in time is refused at once.
"""

from collections import defaultdict

import trio
from result import Err, Ok, Result

from lagoonfold import ErrorKind, Refusal
from lagoonfold.forwarding import (
    ReplicaDirectory,
    ReplicaSelection,
    ReplicaSelector,
    ReplicaTracker,
    SelectionInput,
    WaitQueue,
)
from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway._clock import now_s

RECHECK_INTERVAL_S = 0.02  # peers' loads and ejections change without notice here
NO_REPLICA_WAIT_S = 1.0  # a replacement is listed within a second, or it takes much longer
RETRY_AFTER_S = 0.2  # about the time in which some of the waiting requests are served


class Dispatcher:
    """Selects replicas for the requests of one instance and holds the queues of its services."""

    def __init__(
        self, board: GatewayBoard, selector: ReplicaSelector, tracker: ReplicaTracker
    ) -> None:
        self._board = board
        self._selector = selector
        self._tracker = tracker
        self._queue_by_service: dict[str, WaitQueue[object]] = defaultdict(WaitQueue)
        self._changed = trio.Event()
        board.replicas.subscribe(self._notify_waiters)

    async def place(
        self,
        service: str,
        request: SelectionInput,
        *,
        rank: int,
        soft_deadline_s: float,
        wait_until_s: float,
    ) -> Result[ReplicaSelection, Refusal]:
        """Select a replica for a request, which counts as in flight there until `release`."""
        queue = self._queue_by_service[service]
        token = object()
        is_waiting = False
        no_replica_until_s = now_s() + NO_REPLICA_WAIT_S
        try:
            while True:
                replicas = self._board.replicas.read().available_for(service)
                if queue.head() in (None, token):
                    selection = self._selector.choose(replicas, request, now_s=now_s())
                    if selection is not None:
                        self._tracker.record_sent(selection.replica.replica_id)
                        return Ok(selection)
                if not replicas and now_s() >= no_replica_until_s:
                    return Err(_no_replica(service))
                if not is_waiting:
                    is_waiting = queue.enqueue(
                        token,
                        rank=rank,
                        tie_break=soft_deadline_s,
                        wait_until_s=wait_until_s,
                        now_s=now_s(),
                    )
                    if not is_waiting:
                        return Err(_queue_full(service, len(queue)))
                with trio.move_on_after(RECHECK_INTERVAL_S):
                    await self._changed.wait()
        finally:
            if is_waiting:
                queue.remove(token)
                self._notify_waiters()

    def release(self, service: str, replica_id: str) -> None:
        """Record that a request at a replica has ended, whatever its outcome."""
        self._tracker.record_ended(replica_id)
        self._queue_by_service[service].record_freed(now_s=now_s())
        self._notify_waiters()

    def _notify_waiters(self, directory: ReplicaDirectory | None = None) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _no_replica(service: str) -> Refusal:
    return Refusal(
        kind=ErrorKind.UPSTREAM_UNAVAILABLE,
        detail=f"service {service!r} has no replica",
        retry_after_s=RETRY_AFTER_S,
    )


def _queue_full(service: str, waiting: int) -> Refusal:
    return Refusal(
        kind=ErrorKind.QUEUE_FULL,
        detail=f"{waiting} requests wait for service {service!r}",
        retry_after_s=RETRY_AFTER_S,
    )
