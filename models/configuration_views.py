"""What instances serve of the configuration: late messages, outages and restarts.

The head's version grows; instances learn it by reading the head and from their peer, whose
messages may be late. After a start an instance serves only a version that was verified since then:
a peer's older knowledge could be behind what the instance served before.

What an instance serves never goes back, over restarts too.
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
    """A deliberate fault of the protocol."""

    TAKE_OLDER = "older-message-taken"
    START_FROM_DISK = "start-from-an-old-file"
    START_FROM_STALE_PEER = "start-from-a-peer-not-verified-since"


class Instance(NamedTuple):
    """The version that an instance serves, `NOTHING` before it has learned one.

    `served` is the newest that it has ever served, `kept` an older one left in a file;
    `is_verified` tells whether it has asked the service since its peer last started.
    """

    version: int = NOTHING
    served: int = NOTHING
    kept: int = NOTHING
    is_verified: bool = False


class Message(NamedTuple):
    """What one instance tells the other; `is_verified` as of the receiver's last start."""

    target: int
    version: int
    is_verified: bool


class State(NamedTuple):
    """The head's version, whether the service is down, the instances and their messages."""

    version: int = 0
    is_down: bool = False
    instances: tuple[Instance, ...] = (Instance(),) * len(INSTANCES)
    messages: frozenset[Message] = frozenset()
    has_reverted: bool = False


def _put(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _serve(state: State, index: int, version: int) -> State:
    """Let an instance serve a version, noting whether that goes back."""
    before = state.instances[index]
    after = before._replace(version=version, served=max(before.served, version))
    return state._replace(
        instances=_put(state.instances, index, after),
        has_reverted=state.has_reverted or version < before.served,
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
            yield f"learn at {index}", self._learn(state, index)
        if instance.version == NOTHING:
            return
        if not any(message.target == 1 - index for message in state.messages):
            message = Message(1 - index, instance.version, instance.is_verified)
            yield f"tell peer of {index}", state._replace(messages=state.messages | {message})
        if self._fault is Fault.START_FROM_DISK:
            kept = instance._replace(kept=instance.version)
            yield f"keep file at {index}", state._replace(
                instances=_put(state.instances, index, kept)
            )
        yield f"restart {index}", self._restart(state, index, instance)

    def _learn(self, state: State, index: int) -> State:
        verified = state.instances[index]._replace(is_verified=True)
        asked = state._replace(instances=_put(state.instances, index, verified))
        return _serve(asked, index, state.version)

    def _restart(self, state: State, index: int, instance: Instance) -> State:
        """Start again with nothing; what others know has not been verified since."""
        stopped = instance._replace(version=NOTHING, is_verified=False)
        peer = state.instances[1 - index]._replace(is_verified=False)
        instances = _put(_put(state.instances, index, stopped), 1 - index, peer)
        messages = frozenset(
            message._replace(is_verified=message.is_verified and message.target != index)
            for message in state.messages
        )
        restarted = state._replace(instances=instances, messages=messages)
        if self._fault is Fault.START_FROM_DISK and instance.kept != NOTHING:
            return _serve(restarted, index, instance.kept)
        return restarted

    def _deliver(self, state: State, message: Message) -> State:
        rest = state._replace(messages=state.messages - {message})
        known = state.instances[message.target].version
        may_start = message.is_verified or self._fault is Fault.START_FROM_STALE_PEER
        takes = may_start if known == NOTHING else message.version > known
        if takes or self._fault is Fault.TAKE_OLDER:
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
    """Return the protocol of what instances serve."""
    invariants = {"served_never_reverts": lambda state: not state.has_reverted}
    return protocol("configuration_views", State(), _Steps(fault), invariants)
