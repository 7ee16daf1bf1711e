"""At-most-once execution of one non-idempotent call, over crashes, takeovers and repeats.

The owner of the program's shard commits an intent to the journal before it sends the request to the
upstream, and the outcome before it reports the answer to the caller. The journal is fenced: only
the owner of the current epoch can commit (see `models.ownership`). Requests and answers between
owner and upstream may be lost, and may arrive after the owner has crashed or been replaced; a
paused owner may send long after a takeover.

The caller sends the call, and repeats it with the same idempotency key whatever was reported
before. Each attempt ends with "no" (the call did not run), "unknown" or "yes" (the answer). A "no"
is about that attempt, the execution that it joined, or the execution in the journal, not about
other attempts.

A step is one action of the caller, of the upstream or of an owner, a crash, a takeover, or the loss
of a message. The invariants: the upstream runs the call at most once; a call reported as not run
neither ran nor is still in flight; an answer is reported only if the journal holds it and the call
ran exactly once.
"""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

from models._specification import Step, protocol, specification

MAX_EPOCH = 2
MAX_ATTEMPTS = 2
MAX_SENDS = 2
NOBODY = -1


class Fault(Enum):
    """A rule of the protocol that is switched off."""

    # The owner sends without committing an intent.
    SEND_BEFORE_INTENT = "send-before-intent"
    # A repeat runs the call again although the journal holds an intent or an unknown outcome.
    RERUN_AFTER_TAKEOVER = "rerun-an-intent-after-takeover"
    # The owner sends again while it has no answer to its first request.
    RETRY_AFTER_SEND = "retry-after-send"
    # A repeat runs the call again instead of waiting for the execution in progress.
    NO_JOIN = "repeat-does-not-join"
    # A former owner can still commit.
    UNFENCED_COMMIT = "commit-without-fence"
    # The owner reports the answer before it commits the outcome.
    ANSWER_BEFORE_OUTCOME = "answer-before-outcome"
    # Attempts that wait at an owner that crashes are reported as not run.
    LOST_OWNER_MEANS_NO = "lost-owner-told-as-not-run"
    # A repeat of a call whose outcome is unknown is reported as not run.
    UNKNOWN_TOLD_AS_NO = "unknown-outcome-told-as-not-run"
    # A call whose answer did not arrive is reported as not run, or as answered.
    TIMEOUT_MEANS_NO = "timeout-after-send-told-as-not-run"
    TIMEOUT_MEANS_YES = "timeout-after-send-told-as-done"


class Record(Enum):
    """The state of the call in the shard's journal."""

    NONE = "none"
    INTENT = "intent"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    ANSWER = "answer"


class Phase(Enum):
    """The stage of an owner's current execution; BROKEN: the connection broke after sending."""

    FREE = "free"
    DECIDED = "decided"
    INTENDED = "intended"
    SENT = "sent"
    ANSWERED = "answered"
    BROKEN = "broken"


class Owner(NamedTuple):
    """The process that owns the shard in one epoch.

    `view` is the record as this owner knows it, `attempt` the attempt that it executes.
    """

    is_up: bool = False
    view: Record = Record.NONE
    phase: Phase = Phase.FREE
    attempt: int = NOBODY


class State(NamedTuple):
    """The journal's record, the owners in order of their epochs, the network, and the attempts.

    Indexed by attempt: `in_flight` counts requests on their way to the upstream, `runs` the
    executions there, `answered` whether an answer was sent back; `waiting_at` is the owner at
    which the attempt waits, `reported` what the caller received, and `about` the attempt whose
    execution that report is about. `intended` is the attempt of the record, `requested` the number
    of attempts that the caller has made.
    """

    epoch: int = 0
    record: Record = Record.NONE
    owners: tuple[Owner, ...] = (Owner(is_up=True), Owner())
    in_flight: tuple[int, ...] = (0,) * MAX_ATTEMPTS
    runs: tuple[int, ...] = (0,) * MAX_ATTEMPTS
    answered: tuple[bool, ...] = (False,) * MAX_ATTEMPTS
    waiting_at: tuple[int, ...] = (NOBODY,) * MAX_ATTEMPTS
    reported: tuple[str, ...] = ("",) * MAX_ATTEMPTS
    about: tuple[int, ...] = tuple(range(MAX_ATTEMPTS))
    intended: int = NOBODY
    requested: int = 0


def _put(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _with(state: State, index: int, **changes: object) -> State:
    owner = state.owners[index]._replace(**changes)
    return state._replace(owners=_put(state.owners, index, owner))


def _report(state: State, attempt: int, ran: str, about: int) -> State:
    return state._replace(
        reported=_put(state.reported, attempt, ran),
        about=_put(state.about, attempt, attempt if about == NOBODY else about),
        waiting_at=_put(state.waiting_at, attempt, NOBODY),
    )


def _report_all(state: State, index: int, ran: str) -> State:
    about = state.owners[index].attempt
    for attempt, waiting_at in enumerate(state.waiting_at):
        if waiting_at == index:
            state = _report(state, attempt, ran, about)
    return state


def _send(state: State, index: int) -> State:
    attempt = state.owners[index].attempt
    in_flight = _put(state.in_flight, attempt, state.in_flight[attempt] + 1)
    return _with(state, index, phase=Phase.SENT)._replace(in_flight=in_flight)


class _Steps:
    """The steps of the protocol, sound or with one fault."""

    def __init__(self, fault: Fault | None) -> None:
        self._fault = fault

    def __call__(self, state: State) -> Iterator[Step]:
        yield from self._caller(state)
        yield from self._upstream(state)
        if state.epoch + 1 < MAX_EPOCH:
            view = state.record
            yield "take over", _with(state, state.epoch + 1, is_up=True, view=view)._replace(
                epoch=state.epoch + 1
            )
        for index, owner in enumerate(state.owners):
            if owner.is_up:
                for label, following in self._owner(state, index, owner):
                    yield f"{label} {index + 1}", following

    def _caller(self, state: State) -> Iterator[Step]:
        if state.requested < MAX_ATTEMPTS:
            for index, owner in enumerate(state.owners):
                if owner.is_up:
                    waiting = _put(state.waiting_at, state.requested, index)
                    yield f"request {index + 1}", state._replace(
                        waiting_at=waiting, requested=state.requested + 1
                    )
        for attempt, waiting_at in enumerate(state.waiting_at):
            if waiting_at != NOBODY:
                yield "stop waiting for owner", _report(state, attempt, "unknown", attempt)

    def _upstream(self, state: State) -> Iterator[Step]:
        for attempt, in_flight in enumerate(state.in_flight):
            if in_flight:
                rest = state._replace(in_flight=_put(state.in_flight, attempt, in_flight - 1))
                runs = _put(state.runs, attempt, state.runs[attempt] + 1)
                answered = _put(state.answered, attempt, True)
                yield "lose request", rest
                yield "run, lose answer", rest._replace(runs=runs)
                yield "run, answer", rest._replace(runs=runs, answered=answered)

    def _owner(self, state: State, index: int, owner: Owner) -> Iterator[Step]:
        yield "crash", self._crash(state, index)
        yield from self._decide(state, index, owner)
        if owner.phase is Phase.DECIDED:
            yield from self._intend(state, index)
        elif owner.phase is Phase.INTENDED:
            yield "send", _send(state, index)
            yield "refuse unsent", self._settle(state, index, Record.NOT_RUN, "no", "no")
        elif owner.phase is Phase.SENT:
            yield from self._await(state, index, owner)
        elif owner.phase is Phase.ANSWERED:
            yield "settle answer", self._settle(state, index, Record.ANSWER, "yes", "unknown")
        elif owner.phase is Phase.BROKEN:
            ran_by_fault = {Fault.TIMEOUT_MEANS_NO: "no", Fault.TIMEOUT_MEANS_YES: "yes"}
            ran = ran_by_fault.get(self._fault, "unknown")
            yield "settle unknown", self._settle(state, index, Record.UNKNOWN, ran, ran)

    def _crash(self, state: State, index: int) -> State:
        ran = "no" if self._fault is Fault.LOST_OWNER_MEANS_NO else "unknown"
        return _with(_report_all(state, index, ran), index, **Owner()._asdict())

    def _decide(self, state: State, index: int, owner: Owner) -> Iterator[Step]:
        """Decide a waiting attempt; during an execution it waits for the end of that execution."""
        joins = owner.phase is Phase.SENT and self._fault is not Fault.NO_JOIN
        if joins or owner.phase not in (Phase.FREE, Phase.SENT):
            return
        for attempt, waiting_at in enumerate(state.waiting_at):
            if waiting_at == index and attempt != owner.attempt:
                yield "decide", self._decide_one(state, index, attempt)

    def _decide_one(self, state: State, index: int, attempt: int) -> State:
        view = state.owners[index].view
        executed = _with(state, index, phase=Phase.DECIDED, attempt=attempt)
        if view in (Record.NONE, Record.NOT_RUN):
            return executed
        if view is Record.ANSWER:
            return _report(state, attempt, "yes", state.intended)
        if self._fault in (Fault.RERUN_AFTER_TAKEOVER, Fault.NO_JOIN):
            return executed
        ran = "no" if self._fault is Fault.UNKNOWN_TOLD_AS_NO else "unknown"
        return _report(state, attempt, ran, state.intended)

    def _may_commit(self, state: State, index: int) -> bool:
        return index == state.epoch or self._fault is Fault.UNFENCED_COMMIT

    def _intend(self, state: State, index: int) -> Iterator[Step]:
        if self._fault is Fault.SEND_BEFORE_INTENT:
            yield "send", _send(state, index)
        elif self._may_commit(state, index):
            intended = _with(state, index, phase=Phase.INTENDED, view=Record.INTENT)
            attempt = state.owners[index].attempt
            yield "commit intent", intended._replace(record=Record.INTENT, intended=attempt)
        else:
            refused = _report_all(state, index, "no")
            yield "refuse", _with(refused, index, phase=Phase.FREE, attempt=NOBODY)

    def _await(self, state: State, index: int, owner: Owner) -> Iterator[Step]:
        if state.answered[owner.attempt]:
            received = _with(state, index, phase=Phase.ANSWERED)
            if self._fault is Fault.ANSWER_BEFORE_OUTCOME:
                received = _report_all(received, index, "yes")
            yield "receive answer", received
        yield "lose connection", _with(state, index, phase=Phase.BROKEN)
        attempts = state.runs[owner.attempt] + state.in_flight[owner.attempt]
        if self._fault is Fault.RETRY_AFTER_SEND and attempts < MAX_SENDS:
            yield "send again", _send(state, index)

    def _settle(
        self, state: State, index: int, record: Record, ran: str, ran_if_fenced: str
    ) -> State:
        """Commit the outcome and report `ran` to every waiting attempt.

        An owner that can't commit any more reports `ran_if_fenced` instead.
        """
        if not self._may_commit(state, index):
            reported = _report_all(state, index, ran_if_fenced)
            return _with(reported, index, phase=Phase.FREE, attempt=NOBODY)
        reported = _report_all(state, index, ran)._replace(record=record)
        return _with(reported, index, phase=Phase.FREE, attempt=NOBODY, view=record)


def _is_not_run_true(state: State) -> bool:
    return not any(
        ran == "no" and state.runs[about] + state.in_flight[about] > 0
        for ran, about in zip(state.reported, state.about, strict=True)
    )


INVARIANTS = {
    "runs_at_most_once": lambda state: sum(state.runs) <= 1,
    "not_run_is_true": _is_not_run_true,
    "told_answer_is_recorded": lambda state: (
        "yes" not in state.reported or state.record is Record.ANSWER
    ),
    "told_answer_has_run": lambda state: "yes" not in state.reported or sum(state.runs) == 1,
}


@specification(
    {
        Fault.SEND_BEFORE_INTENT: "runs_at_most_once",
        Fault.RERUN_AFTER_TAKEOVER: "runs_at_most_once",
        Fault.RETRY_AFTER_SEND: "runs_at_most_once",
        Fault.NO_JOIN: "runs_at_most_once",
        Fault.UNFENCED_COMMIT: "runs_at_most_once",
        Fault.ANSWER_BEFORE_OUTCOME: "told_answer_is_recorded",
        Fault.LOST_OWNER_MEANS_NO: "not_run_is_true",
        Fault.UNKNOWN_TOLD_AS_NO: "not_run_is_true",
        Fault.TIMEOUT_MEANS_NO: "not_run_is_true",
        Fault.TIMEOUT_MEANS_YES: "told_answer_has_run",
    }
)
def at_most_once(fault: Fault | None) -> Protocol:
    """Return the protocol of one non-idempotent call, without the rule that a fault names."""
    return protocol("at_most_once", State(), _Steps(fault), INVARIANTS)
