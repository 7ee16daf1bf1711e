"""The token budget of a program, charged by compare-and-swap by owners unaware of each other.

Tokens are counted in turns: each turn delivers one. A record in the store holds how many have been
charged. An owner delivers only what it has charged itself; the owner that started the program may
deliver one more turn before its first charge. A charge whose answer is lost may be in the store;
the owner finds itself as the writer of the record before it charges again. A restarted owner has
lost its state, and two owners may act at the same time, since a paused owner does not know that
another has taken over.

A charge may also wait behind another one of its owner; it keeps the total that was computed when it
was queued, and is dropped if the owner has learnt of another record since.

A step is a delivery, a charge with or without its answer, the queueing of a charge or its write, a
read of the record, or a restart. The invariant: no more turns are delivered than the budget and
the one free turn.
"""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

from models._specification import Step, protocol, specification

BUDGET = 2
FREE_TURNS = 1
OWNERS = (0, 1)
MAX_INCARNATION = 3


class Fault(Enum):
    """A rule of the protocol that is switched off."""

    # Owners deliver turns that they have not charged.
    HAND_OUT_BEFORE_CHARGE = "turn-goes-out-before-its-charge"
    # Charges overwrite the record without comparing its revision.
    BLIND_WRITE = "charge-without-comparing"
    # Every restarted owner has a free turn, not only the one that started the program.
    FREE_FOR_EVERY_OWNER = "every-owner-has-a-free-turn"
    # An owner that finds a charge of its own whose answer was lost counts one turn too many.
    COUNT_LOST_TWICE = "own-charge-of-a-lost-answer-counted-twice"
    # A queued charge is written with its total although the record has changed since.
    WRITE_OUTDATED_TOTAL = "queued-charge-written-with-an-outdated-total"


class Owner(NamedTuple):
    """What an owner knows since its last start.

    `charged` and `revision` are the record as last read, `own_charged` the part that it charged
    itself, `delivered` the turns that it delivered, `free_turns` those it may deliver uncharged.
    `queued` is the total of a charge that waits and the revision from which it was computed.
    """

    incarnation: int = 0
    charged: int = 0
    revision: int | None = None
    own_charged: int = 0
    delivered: int = 0
    free_turns: int = 0
    queued: tuple[int, int] | None = None


class Record(NamedTuple):
    """The record in the store; `writer` is the index of an owner and its incarnation."""

    charged: int = 0
    revision: int = 0
    writer: tuple[int, int] | None = None


class State(NamedTuple):
    """The store's record, both owners, and the number of turns delivered in total."""

    record: Record = Record()
    owners: tuple[Owner, ...] = (Owner(free_turns=FREE_TURNS), Owner())
    delivered: int = 0


def _put(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


class _Steps:
    """The steps of the protocol, sound or with one fault."""

    def __init__(self, fault: Fault | None) -> None:
        self._fault = fault

    def __call__(self, state: State) -> Iterator[Step]:
        for index in OWNERS:
            owner = state.owners[index]
            if self._may_deliver(owner):
                delivered = owner._replace(delivered=owner.delivered + 1)
                yield f"deliver {index}", state._replace(
                    owners=_put(state.owners, index, delivered), delivered=state.delivered + 1
                )
            yield from self._charge(state, index, owner)
            yield from self._queue(state, index, owner)
            if owner.incarnation < MAX_INCARNATION:
                yield f"restart {index}", self._restart(state, index, owner)

    def _may_deliver(self, owner: Owner) -> bool:
        """Return whether the budget and the owner's charges cover one more turn."""
        others = owner.charged - owner.own_charged
        if others + owner.delivered + 1 > BUDGET:
            return False
        is_charged = owner.delivered + 1 <= owner.own_charged + owner.free_turns
        return is_charged or self._fault is Fault.HAND_OUT_BEFORE_CHARGE

    def _charge(self, state: State, index: int, owner: Owner) -> Iterator[Step]:
        """Charge one more turn, with or without an answer, or read a record that has changed."""
        record = state.record
        is_current = (owner.revision or 0) == record.revision
        if not is_current and self._fault is not Fault.BLIND_WRITE:
            updated = self._read_record(owner, record, index)
            yield f"read record {index}", state._replace(owners=_put(state.owners, index, updated))
            return
        if owner.charged + 1 > BUDGET:
            return
        written = Record(owner.charged + 1, record.revision + 1, (index, owner.incarnation))
        charged = owner._replace(
            charged=owner.charged + 1, own_charged=owner.own_charged + 1, revision=written.revision
        )
        yield f"charge {index}", state._replace(
            record=written, owners=_put(state.owners, index, charged)
        )
        yield f"charge {index}, answer lost", state._replace(record=written)

    def _queue(self, state: State, index: int, owner: Owner) -> Iterator[Step]:
        """Queue the charge of one more turn, or write or drop the one that is queued."""
        revision = owner.revision or 0
        if owner.queued is None:
            if owner.charged + 1 <= BUDGET:
                queued = owner._replace(queued=(owner.charged + 1, revision))
                yield f"queue {index}", state._replace(owners=_put(state.owners, index, queued))
            return
        total, base_revision = owner.queued
        is_outdated = base_revision != revision and self._fault is not Fault.WRITE_OUTDATED_TOTAL
        if is_outdated or revision != state.record.revision:
            dropped = owner._replace(queued=None)
            yield f"drop {index}", state._replace(owners=_put(state.owners, index, dropped))
            return
        written = Record(total, state.record.revision + 1, (index, owner.incarnation))
        charged = owner._replace(
            charged=total,
            own_charged=owner.own_charged + total - owner.charged,
            revision=written.revision,
            queued=None,
        )
        yield f"write queued {index}", state._replace(
            record=written, owners=_put(state.owners, index, charged)
        )

    def _read_record(self, owner: Owner, record: Record, index: int) -> Owner:
        own_charged = owner.own_charged
        if record.writer == (index, owner.incarnation):
            own_charged += record.charged - owner.charged
            own_charged += 1 if self._fault is Fault.COUNT_LOST_TWICE else 0
        return owner._replace(
            charged=record.charged, revision=record.revision, own_charged=own_charged
        )

    def _restart(self, state: State, index: int, owner: Owner) -> State:
        free_turns = FREE_TURNS if self._fault is Fault.FREE_FOR_EVERY_OWNER else 0
        restarted = Owner(incarnation=owner.incarnation + 1, free_turns=free_turns)
        return state._replace(owners=_put(state.owners, index, restarted))


@specification(
    {
        Fault.HAND_OUT_BEFORE_CHARGE: "budget_is_kept",
        Fault.BLIND_WRITE: "budget_is_kept",
        Fault.FREE_FOR_EVERY_OWNER: "budget_is_kept",
        Fault.COUNT_LOST_TWICE: "budget_is_kept",
        Fault.WRITE_OUTDATED_TOTAL: "budget_is_kept",
    }
)
def budget_charges(fault: Fault | None) -> Protocol:
    """Return the protocol of one program's budget, without the rule that a fault names."""
    return protocol(
        "budget_charges",
        State(),
        _Steps(fault),
        {"budget_is_kept": lambda state: state.delivered <= BUDGET + FREE_TURNS},
    )
