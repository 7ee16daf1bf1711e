"""The queue of calls that wait for a slot on an upstream."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lagoonfold._ids import AccountId, CallId, ProgramId
from lagoonfold.scheduling._queue_disciplines import (
    DEFAULT_QUEUE_DISCIPLINE,
    QUEUE_DISCIPLINES_BY_NAME,
    QueueDiscipline,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedCall:
    """A waiting call.

    `attained_s` is the service that its program has received so far, in upstream seconds;
    `payload` belongs to the caller, and the queue doesn't read it.
    """

    call_id: CallId
    program_id: ProgramId
    account_id: AccountId
    arrived_s: float
    deadline_s: float
    attained_s: float = 0.0
    weight: float = 1.0
    payload: Any = None


class DispatchQueue:
    """Waiting calls in the order of a queue discipline, which `discipline` names.

    `pop` removes the next call that `can_dispatch` accepts; `expire` removes the calls whose
    deadline has passed, so that they are answered at once.
    """

    def __init__(self, *, discipline: str = DEFAULT_QUEUE_DISCIPLINE) -> None:
        self._discipline: QueueDiscipline = QUEUE_DISCIPLINES_BY_NAME[discipline]()
        self._calls_by_id: dict[CallId, QueuedCall] = {}

    def __len__(self) -> int:
        return len(self._calls_by_id)

    def push(self, call: QueuedCall, *, now_s: float) -> None:
        """Add a call."""
        self._calls_by_id[call.call_id] = call
        self._discipline.on_queued(call, now_s=now_s)

    def pop(
        self, *, now_s: float, can_dispatch: Callable[[QueuedCall], bool] | None = None
    ) -> QueuedCall | None:
        """Remove and return the next call, or return None if no waiting call can be dispatched."""
        for call in self._discipline.ranked(self._calls_by_id.values(), now_s=now_s):
            if can_dispatch is None or can_dispatch(call):
                del self._calls_by_id[call.call_id]
                self._discipline.on_dispatched(call, now_s=now_s)
                return call
        return None

    def remove(self, call_id: CallId) -> QueuedCall | None:
        """Remove and return a cancelled call, or return None if it isn't queued."""
        return self._calls_by_id.pop(call_id, None)

    def expire(self, *, now_s: float) -> tuple[QueuedCall, ...]:
        """Remove and return the calls whose deadline has passed."""
        expired = [call for call in self._calls_by_id.values() if call.deadline_s <= now_s]
        for call in expired:
            del self._calls_by_id[call.call_id]
        return tuple(expired)

    def charge_service(self, account_id: AccountId, service_s: float, *, weight: float) -> None:
        """Charge an account for service, in upstream seconds, that one of its calls received."""
        self._discipline.charge_service(account_id, service_s, weight=weight)

    def count_ahead(self, attained_s: float, *, now_s: float) -> int:
        """Return how many waiting calls would precede a new one with this attained service."""
        return self._discipline.count_ahead(self._calls_by_id.values(), attained_s, now_s=now_s)
