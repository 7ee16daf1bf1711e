"""The priority of a call in its account's wait queue, derived from its program.

An account whose programs need more than its rate finishes more of them in time if some get all the
tokens they need and the others wait than if all are slowed down alike. The account's owner commits
rate to programs (see `Commitments`), and calls of committed programs go first. Among these, tool
calls go before turns, because a program fails when a tool call is refused but repeats a refused
turn. Calls of equal rank go in order of their programs' soft deadlines.
"""

import heapq
import itertools
import math
from collections import OrderedDict
from dataclasses import dataclass

from lagoonfold.rates._messages import RANK_CALL, RANK_TURN, RANK_UNCOMMITTED, ProgramNeed

MAX_TRACKED_PROGRAMS = 4_096  # per account, ended ones included; beyond it the oldest is dropped
FIRST_CALLS_PER_S = 4.6  # of the time to the soft deadline, until programs have been seen
FIRST_SPAN_S = 20.0  # the weight of that guess: about ten programs
CALLS_MARGIN = 1.3  # programs with refused calls, often the longer ones, are not counted
LOOP_FACTOR = 3.0  # a program with more than this many times its usual calls probably loops
MAX_SPEEDUP = 1.6  # soft deadlines allow 1.2 to 1.6 times a program's time on idle upstreams


@dataclass(frozen=True, slots=True, kw_only=True)
class ProgramCall:
    """A call that needs a token of its account's rate.

    `wait_s` is how long the call may wait for the token. `time_left_s` is the time until its
    program's soft deadline, or None if it has no program or the program no soft deadline.
    """

    program_id: str
    is_turn: bool
    wait_s: float
    time_left_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallPriority:
    """A call's priority in its account's wait queue: lower rank first, then lower tie break.

    The call waits for a token until `wait_until_s`.
    """

    rank: int
    tie_break: float
    wait_until_s: float


@dataclass(slots=True, kw_only=True)
class _Program:
    start_s: float
    soft_deadline_s: float
    usual_calls_per_s: float
    calls: int = 0
    is_committed: bool = False
    is_budget_exhausted: bool = False
    has_refused_calls: bool = False

    @property
    def usual_calls(self) -> int:
        return math.ceil(self.usual_calls_per_s * (self.soft_deadline_s - self.start_s))

    def can_finish_in_time(self, now_s: float) -> bool:
        """Return whether the program has time and budget left and does not seem to loop."""
        is_failing = self.is_budget_exhausted or self.calls > LOOP_FACTOR * self.usual_calls
        return now_s < self.soft_deadline_s and not is_failing


class _UsualCalls:
    """The calls that an account's programs make for each second to their soft deadlines."""

    def __init__(self) -> None:
        self._calls = FIRST_CALLS_PER_S * FIRST_SPAN_S
        self._span_s = FIRST_SPAN_S
        self._running: list[tuple[float, int, _Program]] = []  # a heap, the next to end first
        self._numbers = itertools.count()

    @property
    def per_s(self) -> float:
        """Return the calls to expect of a program."""
        return CALLS_MARGIN * self._calls / self._span_s

    def add(self, program: _Program) -> None:
        """Follow a program, unless many are followed already."""
        if len(self._running) < MAX_TRACKED_PROGRAMS:
            entry = (program.soft_deadline_s, next(self._numbers), program)
            heapq.heappush(self._running, entry)

    def update(self, now_s: float) -> None:
        """Count the programs whose soft deadline has passed, if no call of theirs was refused."""
        while self._running and self._running[0][0] <= now_s:
            _, _, program = heapq.heappop(self._running)
            if not program.has_refused_calls:
                self._calls += program.calls
                self._span_s += program.soft_deadline_s - program.start_s


class ProgramTracker:
    """Track the programs of one account."""

    def __init__(self) -> None:
        self._program_by_id: OrderedDict[str, _Program] = OrderedDict()
        self._usual_calls = _UsualCalls()

    def prioritize(self, call: ProgramCall, *, now_s: float) -> CallPriority:
        """Return the call's priority; start to track its program at its first call."""
        wait_until_s = now_s + call.wait_s
        if call.time_left_s is None:
            rank = RANK_TURN if call.is_turn else RANK_CALL
            return CallPriority(rank=rank, tie_break=now_s, wait_until_s=wait_until_s)
        program = self._program_by_id.get(call.program_id)
        if program is None:
            program = self._add(call, now_s)
        rank = self._rank(program, call.is_turn, now_s)
        return CallPriority(rank=rank, tie_break=program.soft_deadline_s, wait_until_s=wait_until_s)

    def record_call(self, program_id: str) -> None:
        """Count a call of a program that got a token."""
        program = self._program_by_id.get(program_id)
        if program is not None:
            program.calls += 1

    def mark_refused(self, program_id: str) -> None:
        """Record that a call of a program was refused for want of a token."""
        program = self._program_by_id.get(program_id)
        if program is not None:
            program.has_refused_calls = True

    def mark_budget_exhausted(self, program_id: str) -> None:
        """Record that a program's budget was too small for one of its turns."""
        program = self._program_by_id.get(program_id)
        if program is not None:
            program.is_budget_exhausted = True

    def mark_committed(self, program_id: str) -> None:
        """Record that the account's owner has committed rate to a program."""
        program = self._program_by_id.get(program_id)
        if program is not None:
            program.is_committed = True

    def is_committed(self, program_id: str) -> bool:
        """Return whether rate is committed to a program."""
        program = self._program_by_id.get(program_id)
        return program is not None and program.is_committed

    def need(self, program_id: str, *, now_s: float) -> ProgramNeed | None:
        """Return the calls a program still has to make to be done in time.

        Return None if the program is unknown, has a commitment, can no longer be done in time, has
        exhausted its budget or probably loops.
        """
        program = self._program_by_id.get(program_id)
        if program is None or program.is_committed or not program.can_finish_in_time(now_s):
            return None
        calls_left = max(1, program.usual_calls - program.calls)
        time_left_s = program.soft_deadline_s - now_s
        if calls_left > MAX_SPEEDUP * program.usual_calls_per_s * time_left_s + 1:
            return None
        return ProgramNeed(program=program_id, calls_left=calls_left, time_left_s=time_left_s)

    def _add(self, call: ProgramCall, now_s: float) -> _Program:
        assert call.time_left_s is not None
        self._usual_calls.update(now_s)
        program = _Program(
            start_s=now_s,
            soft_deadline_s=now_s + call.time_left_s,
            usual_calls_per_s=self._usual_calls.per_s,
        )
        self._program_by_id[call.program_id] = program
        self._usual_calls.add(program)
        while len(self._program_by_id) > MAX_TRACKED_PROGRAMS:
            self._program_by_id.popitem(last=False)
        return program

    @staticmethod
    def _rank(program: _Program, is_turn: bool, now_s: float) -> int:
        if not program.is_committed or not program.can_finish_in_time(now_s):
            return RANK_UNCOMMITTED
        return RANK_TURN if is_turn else RANK_CALL
