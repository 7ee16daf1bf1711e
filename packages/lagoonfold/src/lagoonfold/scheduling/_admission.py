"""Whether a call that finds no free place waits or is refused.

A refusal is final and given at once. Its `retry_after_s` is when the work that is ahead now will
have been done, so a caller that comes back then finds room unless new work has come.
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
    """A call that asks for a place.

    `calls_ahead` calls wait before it; `completions_per_s` is how many end a second.
    `is_first` marks the first call of a program, in which nothing has been invested yet.
    """

    calls_ahead: int
    completions_per_s: float
    call_s: float
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
        """Return Ok to queue, or the final refusal."""
        raise NotImplementedError


@admission_policy("always-queue")
class AlwaysQueue(AdmissionPolicy):
    """Queues everything until its deadline."""

    def decide(self, call: AdmissionInput) -> Result[None, Refusal]:
        """Queue."""
        return Ok(None)


@admission_policy("refuse-at-once")
class RefuseAtOnce(AdmissionPolicy):
    """Queues nothing: refuses whenever another call waits already."""

    def decide(self, call: AdmissionInput) -> Result[None, Refusal]:
        """Refuse if any call is ahead."""
        return Ok(None) if call.calls_ahead == 0 else Err(_refusal(call, expected_wait_s(call)))


@admission_policy("within-tolerance")
class WithinTolerance(AdmissionPolicy):
    """Queues what is expected to start within its profile's tolerance and end by its deadline.

    A later call of a program is queued up to its deadline, since the program's work so far
    would be lost with it; new programs are turned away first. With nothing ahead a call is always
    queued: how long other calls took says little about this one.
    """

    def decide(self, call: AdmissionInput) -> Result[None, Refusal]:
        """Refuse at once what would be given up later."""
        if call.calls_ahead == 0:
            return Ok(None)
        wait_s = expected_wait_s(call)
        left_s = call.deadline_s - call.now_s - call.call_s
        bound_s = min(call.max_wait_s, left_s) if call.is_first else left_s
        return Ok(None) if wait_s <= bound_s else Err(_refusal(call, wait_s - bound_s))


def expected_wait_s(call: AdmissionInput) -> float:
    """Return the expected seconds until the call could start."""
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
