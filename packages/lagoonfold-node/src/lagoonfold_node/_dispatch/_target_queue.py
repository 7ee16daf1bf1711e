"""The queue of one model or service, with the measured rate and duration of its calls."""

from dataclasses import dataclass, field

import trio

from lagoonfold import ErrorKind, Refusal
from lagoonfold.rates import RateMeter
from lagoonfold.scheduling import (
    CHOOSERS_BY_NAME,
    AdmissionInput,
    DispatchQueue,
    DurationAverage,
    QueuedCall,
    ReplicaChooser,
)
from lagoonfold.settings import SchedulingSettings
from lagoonfold_node._dispatch._requests import Placement, PlacementRequest
from lagoonfold_node._dispatch._table import UpstreamState

INITIAL_CALL_S = 1.0
NO_UPSTREAM_RETRY_S = 2.0
MIN_RETRY_AFTER_S = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldUpstream:
    """An upstream that is held for a call, and the placement that records the call's end."""

    state: UpstreamState
    placement: Placement


@dataclass(slots=True, eq=False)
class WaitingCall:
    """A waiting call and, once it is placed, the upstream held for it."""

    request: PlacementRequest
    placed: trio.Event = field(default_factory=trio.Event)
    held: HeldUpstream | None = None


class TargetQueue:
    """The waiting and running calls of one target."""

    def __init__(self, policies: SchedulingSettings) -> None:
        self.queue = DispatchQueue(discipline=policies.order)
        self.chooser: ReplicaChooser = CHOOSERS_BY_NAME[policies.replica]()
        self.completions = RateMeter()
        self.call_s = DurationAverage(initial_s=INITIAL_CALL_S)
        self.running = 0

    def completions_per_s(self, *, now_s: float) -> float:
        """Return the rate at which calls end, in calls per second.

        This is the measured rate or, if higher, the running calls divided by their mean duration.
        After a start or a pause only the latter is available.
        """
        return max(self.completions.rate_per_s(now_s=now_s), self.running / self.call_s.mean_s)

    def admission_input(self, request: PlacementRequest, *, now_s: float) -> AdmissionInput:
        """Return the input of the admission policy."""
        return AdmissionInput(
            calls_ahead=self.queue.count_ahead(request.attained_s, now_s=now_s),
            completions_per_s=self.completions_per_s(now_s=now_s),
            expected_call_s=self.call_s.mean_s,
            max_wait_s=request.max_wait_s,
            deadline_s=request.deadline_s,
            now_s=now_s,
            is_first=request.is_first,
        )

    def queued(self, waiting_call: WaitingCall, *, now_s: float) -> QueuedCall:
        """Return the queue entry of a call; `max_wait_s` bounds the wait of a first call."""
        request = waiting_call.request
        wait_until_s = request.deadline_s
        if request.is_first:
            wait_until_s = min(wait_until_s, now_s + request.max_wait_s)
        return QueuedCall(
            call_id=request.call_id,
            program_id=request.program_id,
            account_id=request.account_id,
            arrived_s=now_s,
            deadline_s=wait_until_s,
            attained_s=request.attained_s,
            weight=request.weight,
            payload=waiting_call,
        )

    def refuse_after_wait(self, *, now_s: float) -> Refusal:
        """Return the refusal of a call for which no upstream became available in time."""
        completions_per_s = self.completions_per_s(now_s=now_s)
        wait_s = (
            len(self.queue) / completions_per_s if completions_per_s > 0 else NO_UPSTREAM_RETRY_S
        )
        return Refusal(
            kind=ErrorKind.QUEUE_FULL,
            detail="no upstream became available in time",
            retry_after_s=max(MIN_RETRY_AFTER_S, wait_s),
        )
