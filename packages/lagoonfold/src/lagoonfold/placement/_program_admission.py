"""Until when a place is of use to a program that competes for scarce capacity.

A program has its full value within its objective, and a part of it within twice that time. A
program that has not begun is taken in only if it can still be done within its objective; one that
has begun, as long as its turn can end within twice the objective. How long the objective was is
known if the pool's owner has seen the program before it began; otherwise it stays open.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass

MAX_PROGRAMS = 8_192  # of one pool; beyond it the oldest are forgotten
WORK_SHARE = 0.8  # of an objective; it is 1.2 to 1.6 times the program's time on idle replicas


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementOrder:
    """A request's place among those that wait.

    `WaitingOrder` has the order; `tie_break` is the soft deadline of the request's program.

    `wait_until_s` is when waiting becomes useless; `may_wait` is false for a request that is to be
    placed at once or not at all. `account` is the client account, None if it has none or is not
    known, `program` the id of the program, `caller` what a caller is known by when it returns.
    `waited_s` is how long the request has waited before, None if the instance that asks is of the
    build before, which tells none of these. The caller waits until `answer_until_s`.
    """

    rank: int
    tie_break: float
    wait_until_s: float
    may_wait: bool = True
    is_begun: bool = True
    account: str | None = None
    program: str | None = None
    caller: str | None = None
    waited_s: float | None = None
    answer_until_s: float = math.inf


@dataclass(frozen=True, slots=True)
class _Objective:
    soft_deadline_s: float
    length_s: float


class ProgramAdmission:
    """Knows the objectives of the programs that were seen before they began."""

    def __init__(self) -> None:
        self._objective_by_program: OrderedDict[str, _Objective] = OrderedDict()

    def snapshot(self) -> "ProgramAdmission":
        """Return a copy."""
        copied = ProgramAdmission()
        copied._objective_by_program = self._objective_by_program.copy()
        return copied

    def record(self, order: PlacementOrder, *, now_s: float) -> None:
        """Remember the objective of a program that has not begun, from its first request."""
        if order.program is None or order.is_begun or order.program in self._objective_by_program:
            return
        length_s = max(0.0, order.tie_break - now_s)
        self._objective_by_program[order.program] = _Objective(order.tie_break, length_s)
        if len(self._objective_by_program) > MAX_PROGRAMS:
            self._objective_by_program.popitem(last=False)

    def useful_until_s(self, order: PlacementOrder, typical_s: float) -> float:
        """Return until when a place lets a program end within twice its objective."""
        objective = self._objective_by_program.get(order.program or "")
        if objective is None:
            return order.wait_until_s
        needed_s = typical_s if order.is_begun else max(typical_s, WORK_SHARE * objective.length_s)
        end_s = objective.soft_deadline_s + objective.length_s
        return min(order.wait_until_s, end_s - needed_s)

    def latest_place_s(self, order: PlacementOrder, typical_s: float) -> float:
        """Return until when a request that takes `typical_s` seconds is to be taken in."""
        objective = self._objective_by_program.get(order.program or "")
        if objective is None or order.is_begun:
            return self.useful_until_s(order, typical_s)
        needed_s = max(typical_s, WORK_SHARE * objective.length_s)
        return min(order.wait_until_s, objective.soft_deadline_s - needed_s)
