"""The registry of the checks over a whole run."""

from collections.abc import Callable
from dataclasses import dataclass

from soak.run_checks._evidence import Evidence

FindFaults = Callable[[Evidence], list[str]]


@dataclass(frozen=True, slots=True)
class RunCheck:
    """A check; the result of one that `is_timed` also depends on the machine's speed."""

    find: FindFaults
    is_timed: bool


CHECK_BY_NAME: dict[str, RunCheck] = {}


def run_check(name: str, *, is_timed: bool) -> Callable[[FindFaults], FindFaults]:
    """Enter a function that returns a line for each fault of a run."""

    def enter(find: FindFaults) -> FindFaults:
        CHECK_BY_NAME[name] = RunCheck(find, is_timed)
        return find

    return enter
