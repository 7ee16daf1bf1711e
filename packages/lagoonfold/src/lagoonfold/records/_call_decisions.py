"""Requests to a shard, the decisions on them, and the rules for replaying and joining calls."""

from dataclasses import dataclass

from result import Err, Ok, Result

from lagoonfold._errors import ErrorKind, Ran, Refusal
from lagoonfold._ids import AccountId, CallId, ProgramId, RouteName
from lagoonfold.records._costs import Cost, ProgramLimits
from lagoonfold.records._record_types import CallBegun, Record
from lagoonfold.records._turns import CallOutcome, Turn

IN_PROGRESS_RETRY_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CreateRequest:
    """Ask for a new program with limits; what a child uses also counts against its ancestors."""

    program_id: ProgramId
    account_id: AccountId
    profile: str
    limits: ProgramLimits
    parent_id: ProgramId | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRequest:
    """Ask for one call of a program.

    `call_id` is new for every request, also for one that repeats a call. `idempotency_key` is
    empty if the caller gave none; the program and the turn then identify the call. `reservation`
    is the most that the call may cost.
    """

    call_id: CallId
    program_id: ProgramId
    account_id: AccountId
    turn: int
    route: RouteName
    is_idempotent: bool
    content_digest: str
    body: bytes
    reservation: Cost
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Replay:
    """The call is recorded: return the turn's answer if `match_replay` accepts the request."""

    turn: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Join:
    """The same call is running: wait for it to settle, then replay it."""

    call_id: CallId


@dataclass(frozen=True, slots=True, kw_only=True)
class Execute:
    """Send the call upstream and commit `records`.

    With `commit_first`, no byte may be sent before the records are durable. Otherwise sending may
    overlap the commit, and the end of the answer is held back until both are done.
    """

    call_id: CallId
    records: tuple[Record, ...]
    commit_first: bool


CallDecision = Replay | Join | Execute


def match_replay(recorded: Turn, request: CallRequest) -> Result[Turn, Refusal]:
    """Return the recorded turn if the request repeats it and its outcome is known.

    Errors: `IDEMPOTENCY_MISMATCH` for another key or content, `OUTCOME_UNKNOWN` for a turn whose
    outcome is unknown.
    """
    same_key = recorded.idempotency_key == request.idempotency_key
    if not same_key or recorded.content_digest != request.content_digest:
        return idempotency_mismatch(
            f"turn {request.turn} was made with another idempotency key or content"
        )
    if recorded.outcome is CallOutcome.UNKNOWN:
        detail = f"the outcome of turn {recorded.number} is unknown; it is not run again"
        return refusal_error(ErrorKind.OUTCOME_UNKNOWN, detail, ran=Ran.UNKNOWN)
    return Ok(recorded)


def decide_join(running: CallBegun, request: CallRequest) -> Result[CallDecision, Refusal]:
    """Join the running call if the request repeats it, else refuse the request."""
    if request.turn != running.turn:
        detail = f"turn {running.turn} is under way"
        if request.turn != running.turn + 1:
            return turn_out_of_order(detail)
        return refusal_error(ErrorKind.CALL_IN_PROGRESS, detail, retry_after_s=IN_PROGRESS_RETRY_S)
    same_key = running.idempotency_key == request.idempotency_key
    if not same_key or running.content_digest != request.content_digest:
        return idempotency_mismatch(
            f"turn {request.turn} is under way with another idempotency key or content"
        )
    return Ok(Join(call_id=CallId(running.call_id)))


def idempotency_mismatch(detail: str) -> Err[Refusal]:
    """Refuse a call that reuses a turn or an idempotency key for a different call."""
    return refusal_error(ErrorKind.IDEMPOTENCY_MISMATCH, detail)


def turn_out_of_order(detail: str) -> Err[Refusal]:
    """Refuse a call that is not the next of its program."""
    return refusal_error(ErrorKind.TURN_OUT_OF_ORDER, detail)


def refusal_error(
    kind: ErrorKind, detail: str, *, ran: Ran = Ran.NO, retry_after_s: float = 0.0
) -> Err[Refusal]:
    """Return a refusal as an error."""
    return Err(Refusal(kind=kind, detail=detail, ran=ran, retry_after_s=retry_after_s))
