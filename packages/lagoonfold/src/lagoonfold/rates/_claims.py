"""Which of an account's calls go first when its rate does not hold them all.

With more demand than rate, spreading the rate over all programs finishes none in time. So programs
that have begun are finished before others begin, the oldest first, and a program that has made far
more calls than others do goes last. A first turn that gets no token within its objective is refused
at once: its program could not be on time any more.
"""

from collections import OrderedDict
from dataclasses import dataclass

from lagoonfold.rates._messages import RANK_CALL, RANK_LOOPING, RANK_NEW, RANK_TURN

LOOPING_CALLS = 96  # at one instance; the longest programs of the sheets make some 90 calls in all
PATIENCE = 0.4  # share of a call's time that it may wait for a token; the rest is to serve it
MAX_PROGRAMS = 4_096  # programs under way at one instance, with room for those that have ended


@dataclass(frozen=True, slots=True, kw_only=True)
class RateClaim:
    """A call's place among those of its account: by rank, then by age of its program.

    `due_s` is how long it waits at most; times in seconds on the own clock.
    """

    rank: int
    began_s: float
    due_s: float


@dataclass(slots=True)
class _Program:
    began_s: float
    calls: int = 0


class ProgramBook:
    """When each program began at this instance, and how many calls it has made since."""

    def __init__(self) -> None:
        self._program_by_id: OrderedDict[str, _Program] = OrderedDict()

    def claim(
        self, program_id: str, *, is_turn: bool, objective_s: float, limit_s: float, now_s: float
    ) -> RateClaim:
        """Count a call of a program and return its claim; `limit_s` is the call's whole time."""
        program = self._program_by_id.pop(program_id, None) or _Program(now_s)
        self._program_by_id[program_id] = program
        while len(self._program_by_id) > MAX_PROGRAMS:
            self._program_by_id.popitem(last=False)
        program.calls += 1
        is_first = is_turn and program.calls == 1
        patience_s = min(objective_s, PATIENCE * limit_s) if is_first else PATIENCE * limit_s
        return RateClaim(
            rank=_rank(program.calls, is_turn=is_turn),
            began_s=program.began_s,
            due_s=now_s + patience_s,
        )


def _rank(calls: int, *, is_turn: bool) -> int:
    """Return the rank of a call: the lower goes first."""
    if calls > LOOPING_CALLS:
        return RANK_LOOPING
    if not is_turn:
        return RANK_CALL
    return RANK_NEW if calls == 1 else RANK_TURN
