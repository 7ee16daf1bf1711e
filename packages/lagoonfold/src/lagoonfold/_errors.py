"""The error kinds, and the HTTP status and title under which each is reported.

Every refusal that a caller receives is a `Refusal` of one `ErrorKind`. Its HTTP status and title
come from `PROBLEM_TYPES_BY_KIND`; no other module maps error kinds to HTTP responses.

    refusal = Refusal(kind=ErrorKind.RATE_EXCEEDED, detail="50 requests/s", retry_after_s=0.2)
    PROBLEM_TYPES_BY_KIND[refusal.kind].status   # 429
"""

from dataclasses import dataclass
from enum import Enum


class Ran(Enum):
    """Whether a refused or failed request reached an upstream.

    `NO` means that it certainly did not, `UNKNOWN` that it may have.
    """

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorKind(Enum):
    """The reasons for which a request is refused or fails.

    Those whose title in `PROBLEM_TYPES_BY_KIND` does not explain them:

    - `CONFIG_STALE`: no configuration is known that is recent enough to verify the key.
    - `HISTORY_UNAVAILABLE`: the turn that this one continues from cannot be read now.
    - `IDEMPOTENCY_MISMATCH`: a turn or an idempotency key is reused for another call.
    - `KEY_WITHDRAWN`: the key was withdrawn or its client account was retired.
    - `OUTCOME_UNKNOWN`: the call may have run, and is not run again.
    - `OWNER_UNAVAILABLE`: the instance that owns the program is not known or was lost.
    - `PLATFORM_UNAVAILABLE`: the key-value service cannot be used.
    - `POISONOUS`: the request has crashed the upstreams that ran it.
    - `TURN_OUT_OF_ORDER`: the call is not the next one of its program.
    - `VERSION_CONFLICT`: the configuration has changed in the meantime, or an upstream has seen a
      newer fencing number.
    """

    BODY_TOO_LARGE = "body-too-large"
    BUDGET_EXHAUSTED = "budget-exhausted"
    CALL_IN_PROGRESS = "call-in-progress"
    CANCELLED = "cancelled"
    CONFIG_STALE = "config-stale"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    FORBIDDEN = "forbidden"
    HEADERS_TOO_LARGE = "headers-too-large"
    HISTORY_UNAVAILABLE = "history-unavailable"
    IDEMPOTENCY_MISMATCH = "idempotency-mismatch"
    INTERNAL = "internal"
    KEY_WITHDRAWN = "key-withdrawn"
    MALFORMED = "malformed"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    NOT_FOUND = "not-found"
    OUTCOME_UNKNOWN = "outcome-unknown"
    OWNER_UNAVAILABLE = "owner-unavailable"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    POISONOUS = "poisonous"
    PROGRAM_ENDED = "program-ended"
    QUEUE_FULL = "queue-full"
    RATE_EXCEEDED = "rate-exceeded"
    REQUEST_TIMEOUT = "request-timeout"
    SHUTTING_DOWN = "shutting-down"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    TURN_OUT_OF_ORDER = "turn-out-of-order"
    UNAUTHENTICATED = "unauthenticated"
    UPSTREAM_FAILED = "upstream-failed"
    UPSTREAM_UNAVAILABLE = "upstream-unavailable"
    VERSION_CONFLICT = "version-conflict"


@dataclass(frozen=True, slots=True, kw_only=True)
class ProblemType:
    """The HTTP status and the title under which an error kind is reported."""

    status: int
    title: str


PROBLEM_TYPES_BY_KIND: dict[ErrorKind, ProblemType] = {
    ErrorKind.BODY_TOO_LARGE: ProblemType(status=413, title="Request body too large"),
    ErrorKind.BUDGET_EXHAUSTED: ProblemType(status=402, title="Program budget exhausted"),
    ErrorKind.CALL_IN_PROGRESS: ProblemType(status=409, title="Call in progress"),
    ErrorKind.CANCELLED: ProblemType(status=409, title="Call cancelled"),
    ErrorKind.CONFIG_STALE: ProblemType(status=503, title="Configuration cannot be verified"),
    ErrorKind.DEADLINE_EXCEEDED: ProblemType(status=504, title="Deadline exceeded"),
    ErrorKind.FORBIDDEN: ProblemType(status=403, title="Forbidden"),
    ErrorKind.HEADERS_TOO_LARGE: ProblemType(status=431, title="Request headers too large"),
    ErrorKind.HISTORY_UNAVAILABLE: ProblemType(status=503, title="History unavailable"),
    ErrorKind.IDEMPOTENCY_MISMATCH: ProblemType(status=422, title="Idempotency key reused"),
    ErrorKind.INTERNAL: ProblemType(status=500, title="Internal error"),
    ErrorKind.KEY_WITHDRAWN: ProblemType(status=401, title="Key withdrawn"),
    ErrorKind.MALFORMED: ProblemType(status=400, title="Malformed request"),
    ErrorKind.METHOD_NOT_ALLOWED: ProblemType(status=405, title="Method not allowed"),
    ErrorKind.NOT_FOUND: ProblemType(status=404, title="Not found"),
    ErrorKind.OUTCOME_UNKNOWN: ProblemType(status=502, title="Outcome unknown"),
    ErrorKind.OWNER_UNAVAILABLE: ProblemType(status=503, title="Program owner unavailable"),
    ErrorKind.PLATFORM_UNAVAILABLE: ProblemType(status=503, title="Platform service unavailable"),
    ErrorKind.POISONOUS: ProblemType(status=422, title="Request crashes upstreams"),
    ErrorKind.PROGRAM_ENDED: ProblemType(status=409, title="Program ended"),
    ErrorKind.QUEUE_FULL: ProblemType(status=503, title="Queue full"),
    ErrorKind.RATE_EXCEEDED: ProblemType(status=429, title="Rate exceeded"),
    ErrorKind.REQUEST_TIMEOUT: ProblemType(status=408, title="Request timeout"),
    ErrorKind.SHUTTING_DOWN: ProblemType(status=503, title="Shutting down"),
    ErrorKind.TOO_MANY_CONNECTIONS: ProblemType(status=503, title="Too many connections"),
    ErrorKind.TURN_OUT_OF_ORDER: ProblemType(status=409, title="Turn out of order"),
    ErrorKind.UNAUTHENTICATED: ProblemType(status=401, title="Unauthenticated"),
    ErrorKind.UPSTREAM_FAILED: ProblemType(status=502, title="Upstream failed"),
    ErrorKind.UPSTREAM_UNAVAILABLE: ProblemType(status=503, title="No upstream available"),
    ErrorKind.VERSION_CONFLICT: ProblemType(status=409, title="Version conflict"),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """The reason why a request was refused or failed, and whether it is worth repeating.

    `ran` is `Ran.NO` only if no byte of the request was sent to an upstream. `retry_after_s` is
    the time in seconds after which the request may be repeated; zero means that repeating it will
    not help.
    """

    kind: ErrorKind
    detail: str
    ran: Ran = Ran.NO
    retry_after_s: float = 0.0
