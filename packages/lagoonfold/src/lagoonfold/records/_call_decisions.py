"""Requests to a shard, the decisions about them, and the rules of replay and joining."""

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
    """Asks for a new program under limits; a child also draws on its parent's budget."""

    program_id: ProgramId
    account_id: AccountId
    profile: str
    limits: ProgramLimits
    parent_id: ProgramId | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRequest:
    """Asks for the call at a place in a program's order.

    `call_id` is new for every attempt. `idempotency_key` is empty if the caller chose none; the
    program and the turn then identify the call. `reservation` is the most that the call may use.
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
    """The call was made before: give the recorded turn's answer, after `match_replay`."""

    turn: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Join:
    """The same call is under way: wait for it to settle, then replay."""

    call_id: CallId


@dataclass(frozen=True, slots=True, kw_only=True)
class Execute:
    """Make the call; with `commit_first` no byte may go upstream before `records` are durable.

    Otherwise sending may overlap the commit, and the answer's end waits for both.
    """

    call_id: CallId
    records: tuple[Record, ...]
    commit_first: bool


CallDecision = Replay | Join | Execute


def match_replay(recorded: Turn, request: CallRequest) -> Result[Turn, Refusal]:
    """Return the recorded turn if the request repeats it, else the refusal.

    A repeated call whose outcome is unknown is refused as such.
    """
    same_key = recorded.idempotency_key == request.idempotency_key
    if not same_key or recorded.content_digest != request.content_digest:
        return idempotency_mismatch(f"turn {request.turn} was made with another key or content")
    if recorded.outcome is CallOutcome.UNKNOWN:
        detail = f"the outcome of turn {recorded.number} is unknown; it is not run again"
        return refusal_error(ErrorKind.OUTCOME_UNKNOWN, detail, ran=Ran.UNKNOWN)
    return Ok(recorded)


def decide_join(running: CallBegun, request: CallRequest) -> Result[CallDecision, Refusal]:
    """Return the decision about a call while another, or the same, is under way."""
    if request.turn != running.turn:
        detail = f"turn {running.turn} is under way"
        if request.turn != running.turn + 1:
            return turn_out_of_order(detail)
        return refusal_error(ErrorKind.CALL_IN_PROGRESS, detail, retry_after_s=IN_PROGRESS_RETRY_S)
    same_key = running.idempotency_key == request.idempotency_key
    if not same_key or running.content_digest != request.content_digest:
        return idempotency_mismatch(f"turn {request.turn} is under way with another key or content")
    return Ok(Join(call_id=CallId(running.call_id)))


def idempotency_mismatch(detail: str) -> Err[Refusal]:
    """Refuse a call that reuses a turn or a key for something else."""
    return refusal_error(ErrorKind.IDEMPOTENCY_MISMATCH, detail)


def turn_out_of_order(detail: str) -> Err[Refusal]:
    """Refuse a call that is not the next of its program."""
    return refusal_error(ErrorKind.TURN_OUT_OF_ORDER, detail)


def refusal_error(
    kind: ErrorKind, detail: str, *, ran: Ran = Ran.NO, retry_after_s: float = 0.0
) -> Err[Refusal]:
    """Return a refusal as an error."""
    return Err(Refusal(kind=kind, detail=detail, ran=ran, retry_after_s=retry_after_s))
