"""One kept turn on three disks, of which one may be lost at a time.

A writer sends the turn to disks and acknowledges it to its caller once two of them have said that
it is durable. What a disk holds in memory only is gone after a loss of power. A disk that is wiped
comes back empty under another id, and is listed with that id after a while. Holders copy the turn
to disks that lack it. A disk that is to be emptied takes no more turns, and goes once two others
hold the turn, or once it has none. A reader takes the list of disks, asks each of them, and says
that the turn does not exist if each one that is listed, and has the id that is listed, has answered
that it lacks it.

One disk is lost at a time: the next one only after the holders have had time to copy all they can.
All disks may lose power at any moment, also together with the loss of one of them. A confirmation
of a disk that is lost before the acknowledgement does not count, since the writer waits for both
within a moment.
"""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

from models._specification import Step, protocol, specification

DISKS = (0, 1, 2)
COPIES = 2
MAX_WIPES = 2
ABSENT, PENDING, DURABLE = range(3)


class Fault(Enum):
    """A rule of the protocol that is switched off."""

    # Disks confirm a turn that they hold in memory only.
    CONFIRM_BEFORE_SYNC = "turn-confirmed-before-it-is-durable"
    # One copy is enough for an acknowledgement.
    ONE_COPY = "acknowledged-with-one-copy"
    # Holders do not copy a turn to disks that lack it.
    NO_REPAIR = "no-copies-after-a-loss"
    # A disk is called empty while its turns are nowhere else.
    EMPTY_WITHOUT_COPIES = "disk-called-empty-before-its-turns-are-copied"
    # A disk goes on confirming turns after it was called empty.
    CONFIRM_AFTER_REMOVAL = "removed-disk-confirms-turns"
    # The reader takes the list when it has asked, not before.
    LIST_AFTER_ASKING = "list-read-after-the-answers"
    # An answer counts although the disk has another id than the listed one.
    IGNORE_DISK_ID = "answer-of-a-disk-that-has-been-wiped"


class Disk(NamedTuple):
    """A disk: what it holds, its id, and the one that is listed, None once the disk has gone."""

    held: int = ABSENT
    disk_id: int = 0
    listed_id: int | None = 0
    is_leaving: bool = False


class State(NamedTuple):
    """The disks, what the writer was told, the reader's progress, and the losses so far.

    `confirmed` are the disks that have confirmed the turn to the writer, `lost` is the disk whose
    loss is not repaired yet. `listed` is what the reader has read, None before; `lacking` are the
    disks that lack the turn as they have answered.
    """

    disks: tuple[Disk, ...] = (Disk(), Disk(), Disk())
    confirmed: frozenset[int] = frozenset()
    is_acknowledged: bool = False
    listed: frozenset[tuple[int, int]] | None = None
    lacking: frozenset[int] = frozenset()
    says_unknown: bool = False
    lost: int | None = None
    wipes: int = 0
    power_losses: int = 0
    has_retired: bool = False

    def copies(self) -> int:
        return sum(disk.held == DURABLE for disk in self.disks)


def _put(state: State, index: int, **changes: object) -> State:
    disk = state.disks[index]._replace(**changes)
    return state._replace(disks=(*state.disks[:index], disk, *state.disks[index + 1 :]))


class _Steps:
    """The steps of the protocol, sound or with one fault."""

    def __init__(self, fault: Fault | None) -> None:
        self._fault = fault

    def __call__(self, state: State) -> Iterator[Step]:
        if state.says_unknown:
            return
        for index in DISKS:
            if state.disks[index].listed_id is None:
                if self._fault is Fault.CONFIRM_AFTER_REMOVAL:
                    confirmed = state._replace(confirmed=state.confirmed | {index})
                    yield f"confirm {index} after its removal", confirmed
            else:
                yield from self._write(state, index)
                yield from self._copy(state, index)
                yield from self._lose(state, index)
                yield from self._retire(state, index)
        needed = 1 if self._fault is Fault.ONE_COPY else COPIES
        if not state.is_acknowledged and len(state.confirmed) >= needed:
            yield "acknowledge", state._replace(is_acknowledged=True)
        if state.power_losses == 0:
            yield "all lose power", _lose_power(state)
        yield from self._read(state)

    @staticmethod
    def _takes_turns(disk: Disk) -> bool:
        return disk.listed_id is not None and not disk.is_leaving

    def _write(self, state: State, index: int) -> Iterator[Step]:
        """Let the writer's message arrive, or the disk write what it has in memory."""
        disk = state.disks[index]
        if disk.held == ABSENT and self._takes_turns(disk) and not state.is_acknowledged:
            written = _put(state, index, held=PENDING)
            if self._fault is Fault.CONFIRM_BEFORE_SYNC:
                written = written._replace(confirmed=state.confirmed | {index})
            yield f"write {index}", written
        if disk.held == PENDING:
            synced = _put(state, index, held=DURABLE)
            yield f"sync {index}", synced._replace(confirmed=state.confirmed | {index})

    def _copy(self, state: State, index: int) -> Iterator[Step]:
        """Copy the turn to a disk that lacks it; the copy counts when it is durable."""
        if state.disks[index].held != DURABLE or self._fault is Fault.NO_REPAIR:
            return
        for target in DISKS:
            other = state.disks[target]
            if other.held == ABSENT and self._takes_turns(other):
                yield f"copy {index} to {target}", _put(state, target, held=DURABLE)

    def _lose(self, state: State, index: int) -> Iterator[Step]:
        """Wipe a disk, list its new id, or let the time for repair be over."""
        disk = state.disks[index]
        if disk.listed_id != disk.disk_id:
            yield f"list {index}", _put(state, index, listed_id=disk.disk_id)
        if state.lost is None and state.wipes < MAX_WIPES:
            wiped = _put(state, index, held=ABSENT, disk_id=disk.disk_id + 1)
            # Before the acknowledgement, the writer waits for those that still have it.
            confirmed = state.confirmed if state.is_acknowledged else state.confirmed - {index}
            yield f"wipe {index}", wiped._replace(
                wipes=state.wipes + 1, confirmed=confirmed, lost=index
            )
        if state.lost == index and not self._is_repairing(state):
            yield "loss repaired", state._replace(lost=None)

    def _is_repairing(self, state: State) -> bool:
        """Return whether a copy is still to be made; a disk that stalls for long counts as lost."""
        is_writing = any(disk.held == PENDING for disk in state.disks)
        return is_writing or any(list(self._copy(state, index)) for index in DISKS)

    def _retire(self, state: State, index: int) -> Iterator[Step]:
        disk = state.disks[index]
        if not disk.is_leaving:
            if not state.has_retired:
                leaving = _put(state, index, is_leaving=True)
                yield f"empty {index}", leaving._replace(has_retired=True)
            return
        copies = sum(
            other.held == DURABLE for place, other in enumerate(state.disks) if place != index
        )
        is_empty = disk.held == ABSENT or (disk.held == DURABLE and copies >= COPIES)
        if is_empty or self._fault is Fault.EMPTY_WITHOUT_COPIES:
            gone = _put(state, index, held=ABSENT, listed_id=None)
            confirmed = state.confirmed if state.is_acknowledged else state.confirmed - {index}
            yield f"remove {index}", gone._replace(confirmed=confirmed)

    def _read(self, state: State) -> Iterator[Step]:
        """Read the list, ask a disk, or conclude that the turn does not exist."""
        if not state.is_acknowledged:
            return
        lists_last = self._fault is Fault.LIST_AFTER_ASKING
        if state.listed is None and not lists_last:
            yield "read list", state._replace(listed=_listed(state), lacking=frozenset())
            return
        listed = _listed(state) if lists_last else state.listed
        for index, listed_id in sorted(listed or ()):
            disk = state.disks[index]
            is_same = disk.disk_id == listed_id or self._fault is Fault.IGNORE_DISK_ID
            if disk.listed_id is None or index in state.lacking or not is_same:
                continue
            if disk.held != DURABLE:
                yield f"ask {index}", state._replace(lacking=state.lacking | {index})
        if all(index in state.lacking for index, _ in listed or ()):
            yield "say unknown", state._replace(says_unknown=True)


def _listed(state: State) -> frozenset[tuple[int, int]]:
    return frozenset(
        (index, disk.listed_id)
        for index, disk in enumerate(state.disks)
        if disk.listed_id is not None
    )


def _lose_power(state: State) -> State:
    """Drop the turn where it is in memory only."""
    disks = tuple(
        disk._replace(held=ABSENT) if disk.held == PENDING else disk for disk in state.disks
    )
    return state._replace(disks=disks, power_losses=state.power_losses + 1)


@specification(
    {
        Fault.CONFIRM_BEFORE_SYNC: "acknowledged_turn_is_held",
        Fault.ONE_COPY: "acknowledged_turn_is_held",
        Fault.NO_REPAIR: "acknowledged_turn_is_held",
        Fault.EMPTY_WITHOUT_COPIES: "acknowledged_turn_is_held",
        Fault.CONFIRM_AFTER_REMOVAL: "acknowledged_turn_is_held",
        Fault.LIST_AFTER_ASKING: "acknowledged_turn_is_not_called_unknown",
        Fault.IGNORE_DISK_ID: "acknowledged_turn_is_not_called_unknown",
    }
)
def kept_turns(fault: Fault | None) -> Protocol:
    """Return the protocol of one kept turn, without the rule that a fault names."""
    return protocol(
        "kept_turns",
        State(),
        _Steps(fault),
        {
            "acknowledged_turn_is_held": lambda state: (
                not state.is_acknowledged or state.copies() > 0
            ),
            "acknowledged_turn_is_not_called_unknown": lambda state: not state.says_unknown,
        },
    )
