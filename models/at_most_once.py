"""One non-idempotent call: intent, send, outcome, takeover, and a caller that repeats it.

The record of the call is durable and fenced: only the owner of the current epoch changes it (see
`models.ownership`). The intent is durable before the first byte goes out, the outcome before the
caller hears it. Requests and answers on the way to and from the upstream may be lost, and may
arrive after their owner has died or been replaced; a paused owner may send long after a takeover.

The caller asks, and asks again with the same idempotency key whatever it has heard. It hears "no"
(did not run), "unknown" or "yes" (the answer) for each attempt. "No" speaks of that attempt, of
the execution that it joined, or of the recorded one; not of other attempts.
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
    """A deliberate fault of the protocol."""

    SEND_BEFORE_INTENT = "send-before-intent"
    RERUN_AFTER_TAKEOVER = "rerun-an-intent-after-takeover"
    RETRY_AFTER_SEND = "retry-after-send"
    NO_JOIN = "repeat-does-not-join"
    UNFENCED_COMMIT = "commit-without-fence"
    ANSWER_BEFORE_OUTCOME = "answer-before-outcome"
    LOST_OWNER_MEANS_NO = "lost-owner-told-as-not-run"
    UNKNOWN_TOLD_AS_NO = "unknown-outcome-told-as-not-run"
    TIMEOUT_MEANS_NO = "timeout-after-send-told-as-not-run"
    TIMEOUT_MEANS_YES = "timeout-after-send-told-as-done"


class Record(Enum):
    """What the shard's journal says of the call."""

    NONE = "none"
    INTENT = "intent"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    ANSWER = "answer"


class Phase(Enum):
    """How far an owner has got with an attempt."""

    FREE = "free"
    DECIDED = "decided"
    INTENDED = "intended"
    SENT = "sent"
    ANSWERED = "answered"
    BROKEN = "broken"


class Owner(NamedTuple):
    """The process that owns the shard under one epoch.

    `view` is the record as it knows it, `attempt` the attempt that it executes.
    """

    is_up: bool = False
    view: Record = Record.NONE
    phase: Phase = Phase.FREE
    attempt: int = NOBODY


class State(NamedTuple):
    """The record, the owners in the order of their epochs, the network, and the attempts.

    By attempt: `travelling` counts requests under way to the upstream, `runs` how often it ran,
    `waiting_at` is the owner that it waits at, `told` what its caller has heard, `about` the
    attempt whose execution that speaks of. `intended` is the attempt that the record speaks of.
    """

    epoch: int = 0
    record: Record = Record.NONE
    owners: tuple[Owner, ...] = (Owner(is_up=True), Owner())
    travelling: tuple[int, ...] = (0,) * MAX_ATTEMPTS
    runs: tuple[int, ...] = (0,) * MAX_ATTEMPTS
    answered: tuple[bool, ...] = (False,) * MAX_ATTEMPTS
    waiting_at: tuple[int, ...] = (NOBODY,) * MAX_ATTEMPTS
    told: tuple[str, ...] = ("",) * MAX_ATTEMPTS
    about: tuple[int, ...] = tuple(range(MAX_ATTEMPTS))
    intended: int = NOBODY
    asked: int = 0


def _put(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _with(state: State, index: int, **changes: object) -> State:
    owner = state.owners[index]._replace(**changes)
    return state._replace(owners=_put(state.owners, index, owner))


def _tell(state: State, attempt: int, ran: str, about: int) -> State:
    return state._replace(
        told=_put(state.told, attempt, ran),
        about=_put(state.about, attempt, attempt if about == NOBODY else about),
        waiting_at=_put(state.waiting_at, attempt, NOBODY),
    )


def _tell_all(state: State, index: int, ran: str) -> State:
    about = state.owners[index].attempt
    for attempt, waiting_at in enumerate(state.waiting_at):
        if waiting_at == index:
            state = _tell(state, attempt, ran, about)
    return state


def _send(state: State, index: int) -> State:
    attempt = state.owners[index].attempt
    travelling = _put(state.travelling, attempt, state.travelling[attempt] + 1)
    return _with(state, index, phase=Phase.SENT)._replace(travelling=travelling)


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
        if state.asked < MAX_ATTEMPTS:
            for index, owner in enumerate(state.owners):
                if owner.is_up:
                    asked = _put(state.waiting_at, state.asked, index)
                    yield f"ask {index + 1}", state._replace(
                        waiting_at=asked, asked=state.asked + 1
                    )
        for attempt, waiting_at in enumerate(state.waiting_at):
            if waiting_at != NOBODY:
                yield "arrival gives up", _tell(state, attempt, "unknown", attempt)

    def _upstream(self, state: State) -> Iterator[Step]:
        for attempt, travelling in enumerate(state.travelling):
            if travelling:
                rest = state._replace(travelling=_put(state.travelling, attempt, travelling - 1))
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
        return _with(_tell_all(state, index, ran), index, **Owner()._asdict())

    def _decide(self, state: State, index: int, owner: Owner) -> Iterator[Step]:
        """Decide an attempt that waits; while another is executed it waits for that one's end."""
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
            return _tell(state, attempt, "yes", state.intended)
        if self._fault in (Fault.RERUN_AFTER_TAKEOVER, Fault.NO_JOIN):
            return executed
        ran = "no" if self._fault is Fault.UNKNOWN_TOLD_AS_NO else "unknown"
        return _tell(state, attempt, ran, state.intended)

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
            refused = _tell_all(state, index, "no")
            yield "refuse", _with(refused, index, phase=Phase.FREE, attempt=NOBODY)

    def _await(self, state: State, index: int, owner: Owner) -> Iterator[Step]:
        if state.answered[owner.attempt]:
            heard = _with(state, index, phase=Phase.ANSWERED)
            if self._fault is Fault.ANSWER_BEFORE_OUTCOME:
                heard = _tell_all(heard, index, "yes")
            yield "hear answer", heard
        yield "break", _with(state, index, phase=Phase.BROKEN)
        attempts = state.runs[owner.attempt] + state.travelling[owner.attempt]
        if self._fault is Fault.RETRY_AFTER_SEND and attempts < MAX_SENDS:
            yield "send again", _send(state, index)

    def _settle(
        self, state: State, index: int, record: Record, ran: str, ran_if_fenced: str
    ) -> State:
        """Commit an outcome and tell everyone who waits, or tell what a fenced owner may say."""
        if not self._may_commit(state, index):
            told = _tell_all(state, index, ran_if_fenced)
            return _with(told, index, phase=Phase.FREE, attempt=NOBODY)
        told = _tell_all(state, index, ran)._replace(record=record)
        return _with(told, index, phase=Phase.FREE, attempt=NOBODY, view=record)


def _is_not_run_true(state: State) -> bool:
    return not any(
        ran == "no" and state.runs[about] + state.travelling[about] > 0
        for ran, about in zip(state.told, state.about, strict=True)
    )


INVARIANTS = {
    "runs_at_most_once": lambda state: sum(state.runs) <= 1,
    "not_run_is_true": _is_not_run_true,
    "told_answer_is_recorded": lambda state: (
        "yes" not in state.told or state.record is Record.ANSWER
    ),
    "told_answer_has_run": lambda state: "yes" not in state.told or sum(state.runs) == 1,
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
    """Return the protocol of one non-idempotent call."""
    return protocol("at_most_once", State(), _Steps(fault), INVARIANTS)
