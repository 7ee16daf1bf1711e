"""Programs of one account that share its rate, in simulated time.

A program makes its calls one after the other; each takes a token and then `CALL_S`. A call that
gets no token within its patience is sent again twice, and then its program has failed.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from lagoonfold.forwarding import WaitQueue
from lagoonfold.rates import (
    RANK_PREFETCH,
    RANK_UNCOMMITTED,
    Borrower,
    Commitments,
    Lender,
    ProgramCall,
    ProgramTracker,
    RateLimit,
)

CALL_S = 0.12
CALL_LIMIT_S = 4.0
REPEATS = 2
STEP_S = 0.02
HURRY = 1.5  # a program's objective is that many times the time of its calls
SLACK_S = 0.25


@dataclass(slots=True, eq=False)
class _Program:
    name: str
    calls: int
    began_s: float
    soft_deadline_s: float
    done: int = 0
    repeats: int = 0


@dataclass(slots=True)
class Outcome:
    """How many programs there were, and how many ended in time, late or not at all."""

    programs: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0


@dataclass(slots=True)
class ProgramLoad:
    """Plays programs that arrive at random against one lender and one instance."""

    limit: RateLimit
    commits: bool
    seed: int
    outcome: Outcome = field(default_factory=Outcome)
    now_s: float = 0.0
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=itertools.count)
    _line: WaitQueue[_Program] = field(default_factory=WaitQueue)
    _book: ProgramTracker = field(default_factory=ProgramTracker)
    _borrower: Borrower = field(default_factory=Borrower)
    _commitments: Commitments = field(default_factory=Commitments)

    def play(self, *, programs_per_s: float, seconds: float) -> Outcome:
        """Let programs arrive for some seconds and return what became of them."""
        rng = random.Random(self.seed)
        lender = Lender(limit=self.limit, epoch=1, now_s=0.0, is_new=True)
        at_s = 0.0
        while at_s < seconds:
            at_s += rng.expovariate(programs_per_s)
            calls = rng.randint(3, 20)
            self._at(at_s, lambda calls=calls: self._begin(calls))
        while self.now_s < 2 * seconds:
            self.now_s += STEP_S
            while self._events and self._events[0][0] <= self.now_s:
                heapq.heappop(self._events)[2]()
            self._lend(lender)
        return self.outcome

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def _begin(self, calls: int) -> None:
        whole_s = HURRY * calls * CALL_S + SLACK_S
        name = f"program-{next(self._numbers)}"
        self.outcome.programs += 1
        self._wait(_Program(name, calls, self.now_s, self.now_s + whole_s))

    def _call_of(self, program: _Program) -> ProgramCall:
        return ProgramCall(
            program_id=program.name,
            is_turn=True,
            timeout_s=CALL_LIMIT_S,
            time_left_s=program.soft_deadline_s - self.now_s,
        )

    def _wait(self, program: _Program) -> None:
        claim = self._book.prioritize(self._call_of(program), now_s=self.now_s)
        number = program.done
        rank = claim.rank if self.commits else 0
        order = claim.tie_break if self.commits else self.now_s
        self._line.enqueue(
            program, rank=rank, tie_break=order, wait_until_s=claim.wait_until_s, now_s=self.now_s
        )
        self._at(claim.wait_until_s, lambda: self._give_up(program, number))

    def _give_up(self, program: _Program, number: int) -> None:
        if program not in self._line.items() or program.done != number:
            return
        self._line.remove(program)
        program.repeats += 1
        if program.repeats > REPEATS:
            self.outcome.failed += 1
        else:
            self._wait(program)

    def _lend(self, lender: Lender) -> None:
        if self.commits:
            self._commit(lender)
        while (program := self._line.head()) is not None:
            rank = self._line.head_rank() or 0
            request = self._borrower.new_request(now_s=self.now_s, needed=1, rank=rank)
            reserved = self._commitments.reserved(self.limit, now_s=self.now_s)
            lent = lender.lend("front", request, now_s=self.now_s, reserved=reserved)
            if lent.is_err():
                self._borrower.abandon(request)
                return
            self._borrower.receive(request, lent.ok_value, now_s=self.now_s)
            assert self._borrower.take(now_s=self.now_s)
            self._line.remove(program)
            self._book.record_call(program.name)
            self._at(self.now_s + CALL_S, lambda program=program: self._end_call(program))

    def _commit(self, lender: Lender) -> None:
        lender.report("front", (), now_s=self.now_s)
        for program in self._line.items():
            need = self._book.need(program.name, now_s=self.now_s)
            if need is not None and self._commitments.try_commit(
                need, self.limit, level=lender.level, now_s=self.now_s
            ):
                self._book.mark_committed(program.name)
                rank = self._book.prioritize(self._call_of(program), now_s=self.now_s).rank
                assert rank < RANK_UNCOMMITTED < RANK_PREFETCH
                self._line.change_rank(program, rank=rank)

    def _end_call(self, program: _Program) -> None:
        program.done += 1
        if program.done < program.calls:
            self._wait(program)
        elif self.now_s <= program.soft_deadline_s:
            self.outcome.in_time += 1
        else:
            self.outcome.late += 1
