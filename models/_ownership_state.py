"""The states of the ownership specification and helpers that change them."""

from enum import Enum
from typing import NamedTuple

MAX_EPOCH = 2
MAX_ENTRIES = 4
MAX_RECORDS = 1
FENCE = 0


class Mode(Enum):
    """What an instance is doing with the shard; UNSURE: it gave up waiting for an answer."""

    IDLE = "idle"
    OPENING = "opening"
    OPEN = "open"
    APPENDING = "appending"
    UNSURE = "unsure"


class Entry(NamedTuple):
    """A journal entry, identified by the epoch of its writer and a number within that epoch.

    The number of a fence entry is `FENCE`.
    """

    epoch: int
    record: int


class Write(NamedTuple):
    """An append that is in flight to the store."""

    instance: int
    sequence: int
    entry: Entry


class Checkpoint(NamedTuple):
    """A checkpoint that is in flight to the store.

    `covered` is the number of entries that it covers, `replaced` that of the one it replaces.
    """

    instance: int
    replaced: int
    covered: int


class Instance(NamedTuple):
    """One instance; `known` is the number of entries applied to its state of the shard.

    `record` is the number of its latest entry, `checkpoint` the number of entries covered by the
    last checkpoint that it read or wrote. `has_authority` is whether it may act as the owner,
    `is_reading_table` whether a read of the ownership table is in flight, and `answer` the store's
    answer that it has not processed yet.
    """

    mode: Mode = Mode.IDLE
    epoch: int = 0
    known: int = 0
    record: int = 0
    checkpoint: int = 0
    has_authority: bool = False
    is_reading_table: bool = False
    answer: str = ""


class State(NamedTuple):
    """The store, the network, the instances, and what was reported to callers.

    `has_waited` is whether the lease of the former owner has run out, `deleted` the number of
    entries below which all but fences are deleted; `acknowledged` and `refused` hold the entries
    reported as written or not written. `opened_epoch` is the latest epoch in which an instance
    opened the shard, and `known_at_opening` the number of entries that it knew then.

    `overwritten` is set once an entry has changed, `sent_late` once an instance sent to an upstream
    in an epoch before `opened_epoch`, and `has_copied` once a write was applied while a copy of it
    remained in flight.
    """

    owner: int = 0
    epoch: int = 1
    has_waited: bool = True
    journal: tuple[Entry, ...] = ()
    checkpoint: int = 0
    deleted: int = 0
    writes: frozenset[Write] = frozenset()
    checkpoints: frozenset[Checkpoint] = frozenset()
    instances: tuple[Instance, ...] = (Instance(), Instance())
    acknowledged: frozenset[tuple[int, Entry]] = frozenset()
    refused: frozenset[Entry] = frozenset()
    opened_epoch: int = 0
    known_at_opening: int = 0
    overwritten: bool = False
    sent_late: bool = False
    has_copied: bool = False


def with_instance(state: State, index: int, **changes: object) -> State:
    """Return the state with some fields of one instance changed."""
    instances = list(state.instances)
    instances[index] = instances[index]._replace(**changes)
    return state._replace(instances=tuple(instances))


def mark_opened(state: State, index: int) -> State:
    """Return the state in which an instance has opened the shard."""
    after = with_instance(state, index, mode=Mode.OPEN, answer="")
    instance = after.instances[index]
    if instance.epoch <= state.opened_epoch:
        return after
    return after._replace(opened_epoch=instance.epoch, known_at_opening=instance.known)


def append(state: State, index: int, record: int) -> State:
    """Return the state in which an instance has sent an append of a record."""
    instance = state.instances[index]
    write = Write(index, instance.known, Entry(instance.epoch, record))
    sent = state._replace(writes=state.writes | {write})
    return with_instance(sent, index, mode=Mode.APPENDING, record=record, answer="")
