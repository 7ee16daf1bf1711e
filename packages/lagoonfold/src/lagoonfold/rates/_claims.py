"""Which of an account's calls go first when its rate does not hold them all.

A call of a tool goes before a turn, since a program fails with a refused call but repeats a refused
turn. Among equals the program that has made fewer calls goes first, so that one that loops does not
take the rate of the others.
"""

from collections import OrderedDict
from dataclasses import dataclass

from lagoonfold.rates._messages import RANK_CALL, RANK_TURN

PATIENCE = 0.4  # share of a call's time that it may wait for a token; the rest is to serve it
MAX_PROGRAMS = 4_096  # programs under way at one instance, with room for those that have ended


@dataclass(frozen=True, slots=True, kw_only=True)
class RateClaim:
    """A call's place among those of its account: by rank, then by its program's calls so far.

    `due_s` is how long it waits at most, in seconds on the own clock.
    """

    rank: int
    calls_before: int
    due_s: float


class ProgramBook:
    """How many calls each program has made at this instance."""

    def __init__(self) -> None:
        self._calls_by_program: OrderedDict[str, int] = OrderedDict()

    def claim(self, program_id: str, *, is_turn: bool, limit_s: float, now_s: float) -> RateClaim:
        """Count a call of a program and return its claim; `limit_s` is the call's whole time."""
        calls_before = self._calls_by_program.pop(program_id, 0)
        self._calls_by_program[program_id] = calls_before + 1
        while len(self._calls_by_program) > MAX_PROGRAMS:
            self._calls_by_program.popitem(last=False)
        return RateClaim(
            rank=RANK_TURN if is_turn else RANK_CALL,
            calls_before=calls_before,
            due_s=now_s + PATIENCE * limit_s,
        )
