"""Every invariant of every specification holds, and every fault breaks its invariant."""

from collections.abc import Callable
from enum import Enum

from models import SPECIFICATIONS_BY_NAME, Specification, check_faulty, check_sound
from tests._suite import load_functions


def _expect_sound(specification: Specification) -> Callable[[], None]:
    def check() -> None:
        broken = [found for found in check_sound(specification) if found.holds is not True]
        assert not broken, broken

    return check


def _expect_caught(specification: Specification, fault: Enum) -> Callable[[], None]:
    def check() -> None:
        found = check_faulty(specification, fault)
        assert found.holds is False, f"{specification.name} with {fault.value}: {found.verdict()}"

    return check


def _define(name: str, check: Callable[[], None]) -> None:
    check.__module__ = __name__
    check.__name__ = check.__qualname__ = name
    globals()[name] = check


for _specification in SPECIFICATIONS_BY_NAME.values():
    _define(f"test_{_specification.name}_holds", _expect_sound(_specification))
    for _fault in _specification.invariant_by_fault:
        _name = f"test_{_specification.name}_catches_{_fault.name.lower()}"
        _define(_name, _expect_caught(_specification, _fault))


def test_every_invariant_has_a_fault() -> None:
    """Each invariant is broken by at least one fault, so that no check is without effect."""
    for specification in SPECIFICATIONS_BY_NAME.values():
        invariants = set(specification.build(None).invariants)
        unbroken = invariants - set(specification.invariant_by_fault.values())
        assert not unbroken, f"{specification.name}: {unbroken}"


load_tests = load_functions(globals())
