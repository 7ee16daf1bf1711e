"""The registry of specifications and the functions that check one.

A specification is a function that takes a fault, or None, and returns a `minicheck.Protocol`.
Without a fault every invariant must hold; with a fault, the invariant registered for that fault
must be broken.

    @specification({Fault.NO_FENCE: "owner_knows_acknowledged"})
    def ownership(fault: Fault | None) -> Protocol: ...
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

MAX_STATES = 400_000

Step = tuple[str, NamedTuple]
Build = Callable[[Any], Protocol]


@dataclass(frozen=True, slots=True, kw_only=True)
class Specification:
    """A named protocol and, for each of its faults, the invariant that the fault must break."""

    name: str
    build: Build
    invariant_by_fault: Mapping[Enum, str]


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """The result of checking one invariant.

    `states` is the number of states explored. `holds` is None if the search reached `MAX_STATES`
    before it had explored every state. `trace` lists the steps of a shortest counterexample.
    """

    invariant: str
    states: int
    holds: bool | None
    trace: tuple[str, ...] = ()

    def verdict(self) -> str:
        """Return "holds", "broken" or "not decided"."""
        return {True: "holds", False: "broken", None: "not decided"}[self.holds]


SPECIFICATIONS_BY_NAME: dict[str, Specification] = {}


def specification(invariant_by_fault: Mapping[Enum, str]) -> Callable[[Build], Build]:
    """Return a decorator that registers a specification under the name of its function."""

    def register(build: Build) -> Build:
        name = build.__name__
        SPECIFICATIONS_BY_NAME[name] = Specification(
            name=name, build=build, invariant_by_fault=invariant_by_fault
        )
        return build

    return register


def protocol(
    name: str,
    initial: NamedTuple,
    steps: Callable[[Any], Iterable[Step]],
    invariants: Mapping[str, Callable[[Any], bool]],
) -> Protocol:
    """Return a protocol for the model checker whose states are named tuples.

    `steps` yields the label and the next state of every step that is possible in a state.
    """
    state_type = type(initial)

    def on_state(predicate: Callable[[Any], bool]) -> Callable[[dict[str, Any]], bool]:
        return lambda fields: predicate(state_type(**fields))

    return Protocol(
        name=name,
        candidate=False,
        fields=state_type._fields,
        initial=initial,
        transitions=steps,
        invariants={key: on_state(predicate) for key, predicate in invariants.items()},
    )


def check_sound(sound: Specification) -> tuple[Finding, ...]:
    """Check every invariant in every reachable state of the protocol without a fault."""
    return _search(sound.build(None))


def check_faulty(sound: Specification, fault: Enum) -> Finding:
    """Explore the protocol with a fault until the invariant registered for it is broken."""
    invariant = sound.invariant_by_fault[fault]
    faulty = sound.build(fault)
    (finding,) = _search(_stopping_at_first(faulty, invariant))
    return finding


def _stopping_at_first(checked: Protocol, invariant: str) -> Protocol:
    """Return the protocol with one invariant and no steps after its first violation."""
    predicate = checked.invariants[invariant]
    found = False

    def observe(fields: dict[str, Any]) -> bool:
        nonlocal found
        holds = predicate(fields)
        found = found or not holds
        return holds

    def steps(state: Any) -> Iterable[Step]:
        return () if found else checked.transitions(state)

    return replace(checked, transitions=steps, invariants={invariant: observe})


def _search(checked: Protocol) -> tuple[Finding, ...]:
    outcome = check_safety(checked, max_states=MAX_STATES)
    return tuple(
        Finding(
            invariant=name,
            states=outcome["reachable_states"],
            holds=found["holds"],
            trace=tuple(step["label"] for step in (found["counterexample"] or ())[1:]),
        )
        for name, found in outcome["properties"].items()
    )
