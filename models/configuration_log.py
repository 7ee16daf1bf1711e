"""Concurrent changes of the configuration by two operators, with lost answers.

Each operator changes the head of the log by compare-and-swap from the version that it has read. A
write may take effect although its answer is lost, or take effect late; an operator without an
answer looks for the id of its change in the log before it reports an outcome.

A step is a read, a write, its effect with or without an answer, a timeout, a look-up in the log, or
the start or end of an outage of the store. The invariants: a change reported as accepted is in the
log and stays there; a change reported as refused is not in the log and never will be; no change is
in the log twice.
"""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

from models._specification import Step, protocol, specification

OPERATORS = (0, 1)


class Fault(Enum):
    """A rule of the protocol that is switched off."""

    # Writes replace the head without comparing its version.
    BLIND_WRITE = "write-without-compare"
    # A write without an answer is reported as refused, or as accepted, without a look-up.
    LOST_MEANS_REFUSED = "lost-answer-taken-for-refusal"
    LOST_MEANS_ACCEPTED = "lost-answer-taken-for-success"
    # A change not yet in the log is reported as refused although its write may still arrive.
    ABSENT_MEANS_REFUSED = "change-not-found-once-taken-for-refusal"
    # A write without an answer is repeated from the new head without a look-up.
    REPEAT_UNSEEN = "repeat-without-looking"
    # A conflict of a repeated write is reported as refused; it may be with its own first copy.
    CONFLICT_MEANS_REFUSED = "conflict-of-a-repeated-write-taken-for-refusal"


class Phase(Enum):
    """The stage of an operator's command; UNSURE: it got no answer to its write."""

    IDLE = "idle"
    READ = "read"
    SENT = "sent"
    UNSURE = "unsure"
    ACCEPTED = "accepted"
    REFUSED = "refused"


class Operator(NamedTuple):
    """One command: its stage, the version that it read, and whether it repeats its write."""

    phase: Phase = Phase.IDLE
    version: int = 0
    is_repeating: bool = False
    answer: str = ""


class State(NamedTuple):
    """The log (the author of each version), writes in flight, and the operators."""

    log: tuple[int, ...] = ()
    is_down: bool = False
    writes: frozenset[tuple[int, int]] = frozenset()
    operators: tuple[Operator, ...] = (Operator(),) * len(OPERATORS)


def _put(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _with(state: State, index: int, **changes: object) -> State:
    operator = state.operators[index]._replace(**changes)
    return state._replace(operators=_put(state.operators, index, operator))


class _Steps:
    """The steps of the protocol, sound or with one fault."""

    def __init__(self, fault: Fault | None) -> None:
        self._fault = fault

    def __call__(self, state: State) -> Iterator[Step]:
        yield "outage" if not state.is_down else "recovery", state._replace(
            is_down=not state.is_down
        )
        for write in state.writes:
            yield from self._apply(state, write)
        for index, operator in enumerate(state.operators):
            yield from self._operator(state, index, operator)

    def _apply(self, state: State, write: tuple[int, int]) -> Iterator[Step]:
        """Apply a write; its author may have stopped waiting."""
        index, expected = write
        rest = state._replace(writes=state.writes - {write})
        matches = len(state.log) == expected or self._fault is Fault.BLIND_WRITE
        answer = "done" if matches else "conflict"
        after = rest._replace(log=(*state.log[:expected], index)) if matches else rest
        yield f"lose answer to {index}", after
        if state.operators[index].phase is Phase.SENT:
            yield f"answer {answer} to {index}", _with(after, index, answer=answer)

    def _operator(self, state: State, index: int, operator: Operator) -> Iterator[Step]:
        if operator.phase is Phase.IDLE and not state.is_down:
            yield f"read {index}", _with(state, index, phase=Phase.READ, version=len(state.log))
        elif operator.phase is Phase.READ:
            writes = state.writes | {(index, operator.version)}
            yield f"write {index}", _with(state, index, phase=Phase.SENT)._replace(writes=writes)
        elif operator.phase is Phase.SENT:
            yield f"give up {index}", _with(state, index, phase=Phase.UNSURE, answer="")
            if operator.answer:
                yield f"receive answer {index}", self._receive_answer(state, index, operator)
        elif operator.phase is Phase.UNSURE:
            yield f"resolve {index}", self._resolve(state, index, operator)

    def _receive_answer(self, state: State, index: int, operator: Operator) -> State:
        """Process the answer; a repeated write may conflict with its own first copy."""
        if operator.answer == "done":
            return _with(state, index, phase=Phase.ACCEPTED, answer="")
        if operator.is_repeating and self._fault is not Fault.CONFLICT_MEANS_REFUSED:
            return _with(state, index, phase=Phase.UNSURE, answer="")
        return _with(state, index, phase=Phase.REFUSED, answer="")

    def _resolve(self, state: State, index: int, operator: Operator) -> State:
        """Look for the change in the log.

        If another change has the version that this one would have created, this one is refused.
        """
        if self._fault is Fault.LOST_MEANS_REFUSED:
            return _with(state, index, phase=Phase.REFUSED)
        if self._fault is Fault.LOST_MEANS_ACCEPTED:
            return _with(state, index, phase=Phase.ACCEPTED)
        if state.is_down:
            return state
        if self._fault is Fault.REPEAT_UNSEEN:
            return _with(state, index, phase=Phase.READ, version=len(state.log))
        if len(state.log) > operator.version:
            is_own = state.log[operator.version] == index
            return _with(state, index, phase=Phase.ACCEPTED if is_own else Phase.REFUSED)
        if self._fault is Fault.ABSENT_MEANS_REFUSED:
            return _with(state, index, phase=Phase.REFUSED)
        return _with(state, index, phase=Phase.READ, is_repeating=True)


def _is_accepted_in_log(state: State) -> bool:
    return all(
        index in state.log
        for index, operator in enumerate(state.operators)
        if operator.phase is Phase.ACCEPTED
    )


def _is_refused_absent(state: State) -> bool:
    return not any(
        index in state.log
        for index, operator in enumerate(state.operators)
        if operator.phase is Phase.REFUSED
    )


INVARIANTS = {
    "accepted_is_in_log": _is_accepted_in_log,
    "refused_is_absent": _is_refused_absent,
    "applied_once": lambda state: len(set(state.log)) == len(state.log),
}


@specification(
    {
        Fault.BLIND_WRITE: "accepted_is_in_log",
        Fault.LOST_MEANS_REFUSED: "refused_is_absent",
        Fault.LOST_MEANS_ACCEPTED: "accepted_is_in_log",
        Fault.ABSENT_MEANS_REFUSED: "refused_is_absent",
        Fault.REPEAT_UNSEEN: "applied_once",
        Fault.CONFLICT_MEANS_REFUSED: "refused_is_absent",
    }
)
def configuration_log(fault: Fault | None) -> Protocol:
    """Return the protocol of the configuration log, without the rule that a fault names."""
    return protocol("configuration_log", State(), _Steps(fault), INVARIANTS)
