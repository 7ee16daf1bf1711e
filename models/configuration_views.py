"""The configuration version that each of two instances serves, over outages and restarts.

The version in the store only grows; an instance learns it by reading the store or from its peer,
whose messages may be late. After a start, an instance serves only a version that was read from the
store since then: a version that its peer read earlier may be older than the one that the instance
served before.

A step is a change of the configuration, a read, a message, a restart, or the start or end of an
outage of the store. The invariant: the version that an instance serves never goes back, not even
over a restart.
"""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

from models._specification import Step, protocol, specification

MAX_VERSION = 2
NOTHING = -1
INSTANCES = (0, 1)


class Fault(Enum):
    """A rule of the protocol that is switched off."""

    # An instance accepts a peer's version although it is older than its own.
    TAKE_OLDER = "older-message-taken"
    # An instance starts with the version in a local file.
    START_FROM_DISK = "start-from-an-old-file"
    # An instance starts with a peer's version that was not read from the store since the start.
    START_FROM_STALE_PEER = "start-from-a-peer-not-verified-since"


class Instance(NamedTuple):
    """The version that an instance serves, `NOTHING` before it knows one.

    `newest_served` is the newest that it has ever served, `on_disk` the one in its file, which may
    be old; `is_verified` is whether it has read the store since its peer last started.
    """

    version: int = NOTHING
    newest_served: int = NOTHING
    on_disk: int = NOTHING
    is_verified: bool = False


class Message(NamedTuple):
    """A version sent by one instance to the other.

    `is_verified` is whether the sender has read the store since the receiver last started.
    """

    target: int
    version: int
    is_verified: bool


class State(NamedTuple):
    """The version in the store, whether the store is down, the instances and their messages."""

    version: int = 0
    is_down: bool = False
    instances: tuple[Instance, ...] = (Instance(),) * len(INSTANCES)
    messages: frozenset[Message] = frozenset()
    has_reverted: bool = False


def _put(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _serve(state: State, index: int, version: int) -> State:
    """Make an instance serve a version and record whether it served a newer one before."""
    before = state.instances[index]
    after = before._replace(version=version, newest_served=max(before.newest_served, version))
    return state._replace(
        instances=_put(state.instances, index, after),
        has_reverted=state.has_reverted or version < before.newest_served,
    )


class _Steps:
    """The steps of the protocol, sound or with one fault."""

    def __init__(self, fault: Fault | None) -> None:
        self._fault = fault

    def __call__(self, state: State) -> Iterator[Step]:
        label = "recovery" if state.is_down else "outage"
        yield label, state._replace(is_down=not state.is_down)
        if state.version < MAX_VERSION and not state.is_down:
            yield "change", state._replace(version=state.version + 1)
        for index, instance in enumerate(state.instances):
            yield from self._instance(state, index, instance)
        for message in state.messages:
            yield f"deliver to {message.target}", self._deliver(state, message)

    def _instance(self, state: State, index: int, instance: Instance) -> Iterator[Step]:
        if not state.is_down:
            yield f"read at {index}", self._read_head(state, index)
        if instance.version == NOTHING:
            return
        if not any(message.target == 1 - index for message in state.messages):
            message = Message(1 - index, instance.version, instance.is_verified)
            yield f"send from {index}", state._replace(messages=state.messages | {message})
        if self._fault is Fault.START_FROM_DISK:
            on_disk = instance._replace(on_disk=instance.version)
            yield f"write file at {index}", state._replace(
                instances=_put(state.instances, index, on_disk)
            )
        yield f"restart {index}", self._restart(state, index, instance)

    def _read_head(self, state: State, index: int) -> State:
        verified = state.instances[index]._replace(is_verified=True)
        after_read = state._replace(instances=_put(state.instances, index, verified))
        return _serve(after_read, index, state.version)

    def _restart(self, state: State, index: int, instance: Instance) -> State:
        """Restart without state; what the peer read before no longer counts as verified."""
        stopped = instance._replace(version=NOTHING, is_verified=False)
        peer = state.instances[1 - index]._replace(is_verified=False)
        instances = _put(_put(state.instances, index, stopped), 1 - index, peer)
        messages = frozenset(
            message._replace(is_verified=message.is_verified and message.target != index)
            for message in state.messages
        )
        restarted = state._replace(instances=instances, messages=messages)
        if self._fault is Fault.START_FROM_DISK and instance.on_disk != NOTHING:
            return _serve(restarted, index, instance.on_disk)
        return restarted

    def _deliver(self, state: State, message: Message) -> State:
        rest = state._replace(messages=state.messages - {message})
        known = state.instances[message.target].version
        may_start = message.is_verified or self._fault is Fault.START_FROM_STALE_PEER
        is_accepted = may_start if known == NOTHING else message.version > known
        if is_accepted or self._fault is Fault.TAKE_OLDER:
            return _serve(rest, message.target, message.version)
        return rest


@specification(
    {
        Fault.TAKE_OLDER: "served_never_reverts",
        Fault.START_FROM_DISK: "served_never_reverts",
        Fault.START_FROM_STALE_PEER: "served_never_reverts",
    }
)
def configuration_views(fault: Fault | None) -> Protocol:
    """Return the protocol of the served versions, without the rule that a fault names."""
    invariants = {"served_never_reverts": lambda state: not state.has_reverted}
    return protocol("configuration_views", State(), _Steps(fault), invariants)
