"""Policies that decide whether a call that finds no free slot waits or is refused.

A refusal is final and returned at once. Its `retry_after_s` is the expected time until enough of
the calls now ahead have been dispatched, so a caller that retries then is admitted unless new
calls have arrived.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from lagoonfold._errors import ErrorKind, Refusal

_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 120.0

ADMISSION_POLICIES_BY_NAME: dict[str, type[AdmissionPolicy]] = {}


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionInput:
    """A call to be admitted and the state of the queue.

    `calls_ahead` calls would be dispatched before it; `completions_per_s` calls end per second.
    `expected_call_s` is the expected duration of the call and `max_wait_s` the tolerated wait.
    `is_first` marks the first call of a program: refusing it loses no work.
    """

    calls_ahead: int
    completions_per_s: float
    expected_call_s: float
    max_wait_s: float
    deadline_s: float
    now_s: float
    is_first: bool = True


def admission_policy(name: str) -> Callable[[type[AdmissionPolicy]], type[AdmissionPolicy]]:
    """Register an admission policy under a name."""

    def register(cls: type[AdmissionPolicy]) -> type[AdmissionPolicy]:
        ADMISSION_POLICIES_BY_NAME[name] = cls
        return cls

    return register


class AdmissionPolicy:
    """Decides whether a call may wait."""

    def decide(self, call: AdmissionInput) -> Result[None, Refusal]:
        """Return Ok to queue the call, or the final refusal."""
        raise NotImplementedError


@admission_policy("always-queue")
class AlwaysQueue(AdmissionPolicy):
    """Queues every call until its deadline."""

    def decide(self, call: AdmissionInput) -> Result[None, Refusal]:
        """Return Ok."""
        return Ok(None)


@admission_policy("refuse-at-once")
class RefuseAtOnce(AdmissionPolicy):
    """Refuses a call whenever another call is already waiting."""

    def decide(self, call: AdmissionInput) -> Result[None, Refusal]:
        """Return a refusal if any call is ahead."""
        return Ok(None) if call.calls_ahead == 0 else Err(_refusal(call, expected_wait_s(call)))


@admission_policy("within-tolerance")
class WithinTolerance(AdmissionPolicy):
    """Queues a call that should start within its profile's tolerance and end by its deadline.

    Only the deadline bounds the wait of a program's later calls, since refusing one would lose
    the program's work so far; new programs are refused first. A call with none ahead is always
    queued: how long other calls took says little about this one.
    """

    def decide(self, call: AdmissionInput) -> Result[None, Refusal]:
        """Return a refusal at once if the call would exceed its wait or deadline later."""
        if call.calls_ahead == 0:
            return Ok(None)
        wait_s = expected_wait_s(call)
        remaining_s = call.deadline_s - call.now_s - call.expected_call_s
        bound_s = min(call.max_wait_s, remaining_s) if call.is_first else remaining_s
        return Ok(None) if wait_s <= bound_s else Err(_refusal(call, wait_s - bound_s))


def expected_wait_s(call: AdmissionInput) -> float:
    """Return the expected seconds until the call starts, the maximum while no calls complete."""
    if call.calls_ahead == 0:
        return 0.0
    return (
        call.calls_ahead / call.completions_per_s
        if call.completions_per_s > 0
        else _MAX_RETRY_AFTER_S
    )


def _refusal(call: AdmissionInput, after_s: float) -> Refusal:
    return Refusal(
        kind=ErrorKind.QUEUE_FULL,
        detail=f"{call.calls_ahead} calls are ahead of this one",
        retry_after_s=min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, after_s)),
    )


DEFAULT_ADMISSION_POLICY = "within-tolerance"
