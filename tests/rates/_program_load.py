"""Simulates programs of one account that share its rate.

A program makes its calls one after the other; each needs a token and then takes `CALL_S`. A call
that gets no token before its wait ends is retried twice; then its program has failed.
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
CALL_TIMEOUT_S = 4.0
MAX_RETRIES = 2
STEP_S = 0.02
DEADLINE_FACTOR = 1.5  # times the total time of a program's calls
DEADLINE_SLACK_S = 0.25


@dataclass(slots=True, eq=False)
class _Program:
    name: str
    calls: int
    start_s: float
    soft_deadline_s: float
    calls_done: int = 0
    retries: int = 0


@dataclass(slots=True)
class Outcome:
    """Count the programs, and those that were done in time, done late or failed."""

    programs: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0


@dataclass(slots=True)
class ProgramLoad:
    """Run programs that arrive at random against one lender and one instance."""

    limit: RateLimit
    commits: bool
    seed: int
    outcome: Outcome = field(default_factory=Outcome)
    now_s: float = 0.0
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _sequence: itertools.count = field(default_factory=itertools.count)
    _queue: WaitQueue[_Program] = field(default_factory=WaitQueue)
    _tracker: ProgramTracker = field(default_factory=ProgramTracker)
    _borrower: Borrower = field(default_factory=Borrower)
    _commitments: Commitments = field(default_factory=Commitments)

    def run(self, *, programs_per_s: float, duration_s: float) -> Outcome:
        """Simulate programs that arrive for `duration_s` seconds, and return their outcome."""
        rng = random.Random(self.seed)
        lender = Lender(limit=self.limit, epoch=1, now_s=0.0, is_new=True)
        at_s = 0.0
        while at_s < duration_s:
            at_s += rng.expovariate(programs_per_s)
            calls = rng.randint(3, 20)
            self._schedule(at_s, lambda calls=calls: self._start_program(calls))
        while self.now_s < 2 * duration_s:
            self.now_s += STEP_S
            while self._events and self._events[0][0] <= self.now_s:
                heapq.heappop(self._events)[2]()
            self._lend(lender)
        return self.outcome

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def _start_program(self, calls: int) -> None:
        time_to_deadline_s = DEADLINE_FACTOR * calls * CALL_S + DEADLINE_SLACK_S
        name = f"program-{next(self._sequence)}"
        self.outcome.programs += 1
        self._enqueue_call(_Program(name, calls, self.now_s, self.now_s + time_to_deadline_s))

    def _call_for(self, program: _Program) -> ProgramCall:
        return ProgramCall(
            program_id=program.name,
            is_turn=True,
            timeout_s=CALL_TIMEOUT_S,
            time_left_s=program.soft_deadline_s - self.now_s,
        )

    def _enqueue_call(self, program: _Program) -> None:
        priority = self._tracker.prioritize(self._call_for(program), now_s=self.now_s)
        number = program.calls_done
        rank = priority.rank if self.commits else 0
        tie_break = priority.tie_break if self.commits else self.now_s
        self._queue.enqueue(
            program,
            rank=rank,
            tie_break=tie_break,
            wait_until_s=priority.wait_until_s,
            now_s=self.now_s,
        )
        self._schedule(priority.wait_until_s, lambda: self._time_out(program, number))

    def _time_out(self, program: _Program, number: int) -> None:
        if program not in self._queue.items() or program.calls_done != number:
            return
        self._queue.remove(program)
        program.retries += 1
        if program.retries > MAX_RETRIES:
            self.outcome.failed += 1
        else:
            self._enqueue_call(program)

    def _lend(self, lender: Lender) -> None:
        if self.commits:
            self._commit(lender)
        while (program := self._queue.head()) is not None:
            rank = self._queue.head_rank() or 0
            request = self._borrower.new_request(now_s=self.now_s, needed=1, rank=rank)
            reserved = self._commitments.reserved(self.limit, now_s=self.now_s)
            granted = lender.lend("i-1", request, now_s=self.now_s, reserved=reserved)
            if granted.is_err():
                self._borrower.abandon(request)
                return
            self._borrower.receive(request, granted.ok_value, now_s=self.now_s)
            assert self._borrower.take(now_s=self.now_s)
            self._queue.remove(program)
            self._tracker.record_call(program.name)
            self._schedule(self.now_s + CALL_S, lambda program=program: self._end_call(program))

    def _commit(self, lender: Lender) -> None:
        lender.report("i-1", (), now_s=self.now_s)
        for program in self._queue.items():
            need = self._tracker.need(program.name, now_s=self.now_s)
            if need is not None and self._commitments.try_commit(
                need, self.limit, level=lender.level, now_s=self.now_s
            ):
                self._tracker.mark_committed(program.name)
                rank = self._tracker.prioritize(self._call_for(program), now_s=self.now_s).rank
                assert rank < RANK_UNCOMMITTED < RANK_PREFETCH
                self._queue.change_rank(program, rank=rank)

    def _end_call(self, program: _Program) -> None:
        program.calls_done += 1
        if program.calls_done < program.calls:
            self._enqueue_call(program)
        elif self.now_s <= program.soft_deadline_s:
            self.outcome.in_time += 1
        else:
            self.outcome.late += 1
