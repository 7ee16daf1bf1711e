"""The place of a call in its account's line, from the program that it belongs to.

An account whose rate does not hold all of its programs finishes more of them in time when some get
what they need and the rest wait than when all are slowed alike. The account's owner commits rate to
programs (`Commitments`); their calls go first. Among committed programs a call of a tool goes
before a turn, since a program fails with a refused call but repeats a refused turn; then the
program that should be done first.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass

from lagoonfold.rates._messages import RANK_CALL, RANK_TURN, RANK_UNCOMMITTED, ProgramNeed

PATIENCE = 0.4  # share of a call's time that it may wait for a token; the rest is to serve it
MAX_PROGRAMS = 4_096  # programs under way at one instance, with room for those that have ended
CALLS_PER_S = 6.0  # of a program's time: a turn of a third of a second with one tool's call
LOOP_FACTOR = 3.0  # a program that made that many times the usual calls probably loops
MAX_HURRY = 1.6  # programs' time objectives are 1.2 to 1.6 times their time on idle upstreams


@dataclass(frozen=True, slots=True, kw_only=True)
class ProgramCall:
    """A call that needs a token of its account's rate.

    `timeout_s` is the call's whole time. `time_left_s` is how long its program has until it should
    be done; None for a call of no program, or of one without an objective.
    """

    program_id: str
    is_turn: bool
    timeout_s: float
    time_left_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallPriority:
    """A call's place in its account's line: by rank, then by tie break.

    The call waits until `wait_until_s`.
    """

    rank: int
    tie_break: float
    wait_until_s: float


@dataclass(slots=True, kw_only=True)
class _Program:
    began_s: float
    soft_deadline_s: float
    calls: int = 0
    is_committed: bool = False
    is_spent: bool = False

    @property
    def usual_calls(self) -> int:
        return math.ceil(CALLS_PER_S * (self.soft_deadline_s - self.began_s))

    def is_hopeful(self, now_s: float) -> bool:
        """Tell whether the program has time left and does not seem to loop."""
        is_looping = self.is_spent or self.calls > LOOP_FACTOR * self.usual_calls
        return now_s < self.soft_deadline_s and not is_looping


class ProgramTracker:
    """The programs whose calls arrive at this instance."""

    def __init__(self) -> None:
        self._program_by_id: OrderedDict[str, _Program] = OrderedDict()

    def prioritize(self, call: ProgramCall, *, now_s: float) -> CallPriority:
        """Return the call's place; its program is noted at its first call."""
        wait_until_s = now_s + PATIENCE * call.timeout_s
        if call.time_left_s is None:
            rank = RANK_TURN if call.is_turn else RANK_CALL
            return CallPriority(rank=rank, tie_break=now_s, wait_until_s=wait_until_s)
        program = self._program_by_id.get(call.program_id)
        if program is None:
            program = self._add(call, now_s)
        rank = self._rank(program, call.is_turn, now_s)
        return CallPriority(rank=rank, tie_break=program.soft_deadline_s, wait_until_s=wait_until_s)

    def record_call(self, program_id: str) -> None:
        """Count a call of a program that got its token."""
        program = self._program_by_id.get(program_id)
        if program is not None:
            program.calls += 1

    def mark_budget_exhausted(self, program_id: str) -> None:
        """Take in that a program's budget did not hold one of its turns."""
        program = self._program_by_id.get(program_id)
        if program is not None:
            program.is_spent = True

    def mark_committed(self, program_id: str) -> None:
        """Take in that the account's owner has committed rate to a program."""
        program = self._program_by_id.get(program_id)
        if program is not None:
            program.is_committed = True

    def need(self, program_id: str, *, now_s: float) -> ProgramNeed | None:
        """Return what a program still needs to be done in time.

        None where rate is committed to it already, and where it can no longer be done in time or
        probably loops.
        """
        program = self._program_by_id.get(program_id)
        if program is None or program.is_committed or not program.is_hopeful(now_s):
            return None
        calls_left = max(1, program.usual_calls - program.calls)
        time_left_s = program.soft_deadline_s - now_s
        if calls_left > MAX_HURRY * CALLS_PER_S * time_left_s + 1:
            return None
        return ProgramNeed(program=program_id, calls_left=calls_left, time_left_s=time_left_s)

    def _add(self, call: ProgramCall, now_s: float) -> _Program:
        assert call.time_left_s is not None
        program = _Program(began_s=now_s, soft_deadline_s=now_s + call.time_left_s)
        self._program_by_id[call.program_id] = program
        while len(self._program_by_id) > MAX_PROGRAMS:
            self._program_by_id.popitem(last=False)
        return program

    @staticmethod
    def _rank(program: _Program, is_turn: bool, now_s: float) -> int:
        if not program.is_committed or not program.is_hopeful(now_s):
            return RANK_UNCOMMITTED
        return RANK_TURN if is_turn else RANK_CALL
