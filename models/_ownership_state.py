"""The states of the specification of ownership, and small changes of them."""

from enum import Enum
from typing import NamedTuple

MAX_EPOCH = 2
MAX_ENTRIES = 4
MAX_RECORDS = 1
FENCE = 0


class Mode(Enum):
    """What an instance is doing with the shard."""

    IDLE = "idle"
    OPENING = "opening"
    OPEN = "open"
    APPENDING = "appending"
    UNSURE = "unsure"


class Entry(NamedTuple):
    """A journal entry with its unique writer: the epoch and a number within it."""

    epoch: int
    record: int


class Write(NamedTuple):
    """An append on its way to the store."""

    instance: int
    sequence: int
    entry: Entry


class Checkpoint(NamedTuple):
    """A checkpoint on its way to the store: the one that it replaces, and its entries."""

    instance: int
    replaced: int
    covered: int


class Instance(NamedTuple):
    """One instance; `known` counts the entries that its state of the shard contains.

    `checkpoint` counts the entries of the last checkpoint that it read or wrote.
    """

    mode: Mode = Mode.IDLE
    epoch: int = 0
    known: int = 0
    record: int = 0
    checkpoint: int = 0
    has_authority: bool = False
    has_asked: bool = False
    answer: str = ""


class State(NamedTuple):
    """The store, the network, the instances, and what callers were told.

    `opened` is the latest epoch under which an instance has opened the shard, `opened_at` the
    number of entries that it knew then; `overwritten` notes that an entry has changed, `sent_late`
    that an instance acted on an upstream under an earlier epoch, `has_copied` that a write was
    applied of which a copy is still on its way.
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
    opened: int = 0
    opened_at: int = 0
    overwritten: bool = False
    sent_late: bool = False
    has_copied: bool = False


def with_instance(state: State, index: int, **changes: object) -> State:
    instances = list(state.instances)
    instances[index] = instances[index]._replace(**changes)
    return state._replace(instances=tuple(instances))


def opened(state: State, index: int) -> State:
    after = with_instance(state, index, mode=Mode.OPEN, answer="")
    instance = after.instances[index]
    if instance.epoch <= state.opened:
        return after
    return after._replace(opened=instance.epoch, opened_at=instance.known)


def append(state: State, index: int, record: int) -> State:
    instance = state.instances[index]
    write = Write(index, instance.known, Entry(instance.epoch, record))
    sent = state._replace(writes=state.writes | {write})
    return with_instance(sent, index, mode=Mode.APPENDING, record=record, answer="")
