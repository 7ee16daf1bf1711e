"""Simulates programs of one account whose turns are followed by tool calls at the same time.

A program is a few turns or many. A turn takes `TURN_S` seconds once it has a token; the calls of
its tools follow together, then the next turn. A refused call comes once more after the time that
it was told; a turn whose call has failed is sent again twice, and a program with a failed tool
call has failed.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err

from lagoonfold.rates import ProgramCall, QuotaTerms, RateLimit, TokenQueue

TERMS = QuotaTerms(window_s=5.0, slack_calls=20)
TURN_DEADLINE_S = 3.0
TOOL_DEADLINES_S = (1.2, 1.2, 3.0, 1.5)
WAIT_SHARE = 0.5  # of a call's time, to wait for a token
MAX_PAUSE_SHARE = 1 / 3  # of a call's time, that its caller waits before it comes again
MAX_TURN_REPEATS = 2
LONG_SHARE = 0.3  # of the programs
MEAN_CALLS = 15.5
AIM_FACTOR = 1.2  # times a program's time without waits
AIM_SLACK_S = 0.25
STEP_S = 0.02


@dataclass(slots=True, eq=False)
class _Program:
    name: str
    tools_by_turn: list[list[float]]
    worth: float
    soft_deadline_s: float
    turn: int = 0
    repeats: int = 0
    has_failed: bool = False


@dataclass(slots=True, eq=False)
class _Call:
    program: _Program
    is_turn: bool
    end_s: float
    on_token: Callable[[], None]
    on_failed: Callable[[], None]
    retries: int = 1
    is_waiting: bool = False


@dataclass(slots=True)
class AgentLoad:
    """Plays programs that arrive at random against the owner of one account.

    `overload` is the share of the account's rate that the programs need. `worth` counts programs
    that end in time, long ones more, `owed` all of them.
    """

    limit: RateLimit
    turn_s: float
    overload: float
    seed: int
    worth: float = 0.0
    owed: float = 0.0
    now_s: float = 0.0
    _rng: random.Random = field(init=False)
    _queue: TokenQueue[_Call] = field(init=False)
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _sequence: itertools.count = field(default_factory=itertools.count)

    def run(self, duration_s: float) -> None:
        """Play programs that arrive for some seconds, until all have ended."""
        self._rng = random.Random(self.seed)
        self._queue = TokenQueue(self.limit, TERMS, now_s=0.0, is_new=True)
        programs_per_s = self.overload * self.limit.rate_per_s / MEAN_CALLS
        at_s = self._rng.expovariate(programs_per_s)
        while at_s < duration_s:
            self._schedule(at_s, self._start_program)
            at_s += self._rng.expovariate(programs_per_s)
        while self._events:
            self.now_s = min(self._events[0][0], self.now_s + STEP_S)
            while self._events and self._events[0][0] <= self.now_s:
                heapq.heappop(self._events)[2]()
            for call in tuple(self._queue.grant(now_s=self.now_s)):
                call.is_waiting = False
                call.on_token()

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def _start_program(self) -> None:
        is_long = self._rng.random() < LONG_SHARE
        turns = self._rng.randint(6, 13) if is_long else self._rng.randint(1, 5)
        tools_by_turn = [
            [self._rng.uniform(0.05, 0.12) for _ in range(self._rng.choice((0, 1, 2, 2, 3, 4)))]
            for _ in range(turns)
        ]
        time_s = sum(self.turn_s + max(tools, default=0.0) for tools in tools_by_turn)
        aim_s = AIM_FACTOR * time_s + AIM_SLACK_S
        name, worth = f"p{next(self._sequence)}", 0.3 + 0.7 * time_s
        self.owed += worth
        self._send_turn(_Program(name, tools_by_turn, worth, self.now_s + aim_s))

    def _send_turn(self, program: _Program) -> None:
        if program.turn == len(program.tools_by_turn):
            if self.now_s <= program.soft_deadline_s:
                self.worth += program.worth
            return

        def run() -> None:
            program.repeats = 0
            self._schedule(self.now_s + self.turn_s, lambda: self._call_tools(program))

        def repeat() -> None:
            program.repeats += 1
            if program.repeats <= MAX_TURN_REPEATS:
                pause_s = self._rng.uniform(0.1, 0.4)
                self._schedule(self.now_s + pause_s, lambda: self._send_turn(program))

        self._request(_Call(program, True, self.now_s + TURN_DEADLINE_S, run, repeat))

    def _call_tools(self, program: _Program) -> None:
        tools = program.tools_by_turn[program.turn]
        program.turn += 1
        unfinished = len(tools)
        if not unfinished:
            self._send_turn(program)

        def end() -> None:
            nonlocal unfinished
            unfinished -= 1
            if not unfinished:
                self._send_turn(program)

        def fail() -> None:
            program.has_failed = True

        for time_s in tools:
            end_s = self.now_s + self._rng.choice(TOOL_DEADLINES_S)
            self._request(
                _Call(
                    program,
                    False,
                    end_s,
                    lambda time_s=time_s: self._schedule(self.now_s + time_s, end),
                    fail,
                )
            )

    def _request(self, call: _Call) -> None:
        if call.program.has_failed:
            return
        asked = ProgramCall(
            program_id=call.program.name,
            is_turn=call.is_turn,
            wait_s=WAIT_SHARE * (call.end_s - self.now_s),
            time_left_s=call.program.soft_deadline_s - self.now_s,
        )
        outcome = self._queue.request(call, asked, now_s=self.now_s)
        if isinstance(outcome, Err):
            self._retry(call, outcome.err_value.retry_after_s)
        elif outcome.ok_value:
            call.on_token()
        else:
            call.is_waiting = True
            self._schedule(self.now_s + asked.wait_s, lambda: self._end_wait(call))

    def _end_wait(self, call: _Call) -> None:
        if call.is_waiting:
            call.is_waiting = False
            self._queue.withdraw(call)
            self._retry(call, self._queue.next_grant_s(now_s=self.now_s))

    def _retry(self, call: _Call, after_s: float) -> None:
        pause_s = min(after_s, MAX_PAUSE_SHARE * (call.end_s - self.now_s))
        call.retries -= 1
        if call.retries >= 0:
            self._schedule(self.now_s + pause_s, lambda: self._request(call))
        else:
            call.on_failed()
