"""The budget of a program: charges by compare-and-swap, owners that don't know of each other.

Tokens are counted in turns: a turn produces one. The record in the store says how many have been
charged. An owner hands out only what it has charged itself; the owner under which the program began
may hand out one more before its first charge. A charge whose answer is lost may be in the store;
the owner finds its own name there before it charges again. Owners die with what they knew, and a
second one may act beside the first, since a paused owner does not know that it was passed over.

No more goes out than the budget and the one turn, through any of that.
"""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

from models._specification import Step, protocol, specification

BUDGET = 2
FREE = 1
OWNERS = (0, 1)
MAX_LIVES = 3


class Fault(Enum):
    """A deliberate fault of the protocol."""

    HAND_OUT_BEFORE_CHARGE = "turn-goes-out-before-its-charge"
    BLIND_WRITE = "charge-without-comparing"
    FREE_FOR_EVERY_OWNER = "every-owner-has-a-free-turn"
    COUNT_LOST_TWICE = "own-charge-of-a-lost-answer-counted-twice"


class Owner(NamedTuple):
    """What one life of an owner knows: the record, its own charges, what it handed out."""

    life: int = 0
    charged: int = 0
    revision: int | None = None
    own: int = 0
    handed: int = 0
    free: int = 0


class Record(NamedTuple):
    """The record in the store; `writer` is an owner and its life."""

    charged: int = 0
    revision: int = 0
    writer: tuple[int, int] | None = None


class State(NamedTuple):
    """The store's record, both owners, and all that has gone out."""

    record: Record = Record()
    owners: tuple[Owner, ...] = (Owner(free=FREE), Owner())
    out: int = 0


def _put(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


class _Steps:
    """The steps of the protocol, sound or with one fault."""

    def __init__(self, fault: Fault | None) -> None:
        self._fault = fault

    def __call__(self, state: State) -> Iterator[Step]:
        for index in OWNERS:
            owner = state.owners[index]
            if self._may_hand_out(owner):
                handed = owner._replace(handed=owner.handed + 1)
                yield f"hand out {index}", state._replace(
                    owners=_put(state.owners, index, handed), out=state.out + 1
                )
            yield from self._charge(state, index, owner)
            if owner.life < MAX_LIVES:
                yield f"restart {index}", self._restart(state, index, owner)

    def _may_hand_out(self, owner: Owner) -> bool:
        """Tell whether budget and charges hold one more turn."""
        others = owner.charged - owner.own
        if others + owner.handed + 1 > BUDGET:
            return False
        is_charged = owner.handed + 1 <= owner.own + owner.free
        return is_charged or self._fault is Fault.HAND_OUT_BEFORE_CHARGE

    def _charge(self, state: State, index: int, owner: Owner) -> Iterator[Step]:
        """Charge one more turn, with or without an answer, or learn of another's record."""
        record = state.record
        is_current = (owner.revision or 0) == record.revision
        if not is_current and self._fault is not Fault.BLIND_WRITE:
            learnt = self._learn(owner, record, index)
            yield f"learn {index}", state._replace(owners=_put(state.owners, index, learnt))
            return
        if owner.charged + 1 > BUDGET:
            return
        written = Record(owner.charged + 1, record.revision + 1, (index, owner.life))
        charged = owner._replace(
            charged=owner.charged + 1, own=owner.own + 1, revision=written.revision
        )
        yield f"charge {index}", state._replace(
            record=written, owners=_put(state.owners, index, charged)
        )
        yield f"charge {index}, answer lost", state._replace(record=written)

    def _learn(self, owner: Owner, record: Record, index: int) -> Owner:
        own = owner.own
        if record.writer == (index, owner.life):
            own += record.charged - owner.charged
            own += 1 if self._fault is Fault.COUNT_LOST_TWICE else 0
        return owner._replace(charged=record.charged, revision=record.revision, own=own)

    def _restart(self, state: State, index: int, owner: Owner) -> State:
        free = FREE if self._fault is Fault.FREE_FOR_EVERY_OWNER else 0
        born = Owner(life=owner.life + 1, free=free)
        return state._replace(owners=_put(state.owners, index, born))


@specification(
    {
        Fault.HAND_OUT_BEFORE_CHARGE: "budget_is_kept",
        Fault.BLIND_WRITE: "budget_is_kept",
        Fault.FREE_FOR_EVERY_OWNER: "budget_is_kept",
        Fault.COUNT_LOST_TWICE: "budget_is_kept",
    }
)
def budget_charges(fault: Fault | None) -> Protocol:
    """Return the protocol of one program's budget."""
    return protocol(
        "budget_charges",
        State(),
        _Steps(fault),
        {"budget_is_kept": lambda state: state.out <= BUDGET + FREE},
    )
