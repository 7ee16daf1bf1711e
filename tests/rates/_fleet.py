"""Simulates lenders and borrowers with lost and repeated messages, takeovers and clock drift.

Only the fleet knows real time; each lender and borrower reads its own clock. An ideal token bucket,
which sees every spent token at its real time, checks the bound.
"""

import random
from dataclasses import dataclass, field

from result import Ok

from lagoonfold.rates import MAX_CLOCK_DRIFT, Borrower, Lender, Loan, LoanRequest, RateLimit

LIMIT = RateLimit(rate_per_s=20.0, burst=10)
INSTANCE_COUNT = 4
_TOLERANCE = 1e-6


@dataclass(slots=True)
class _Clock:
    offset_s: float
    drift: float

    def at(self, real_s: float) -> float:
        return self.offset_s + real_s * (1 + self.drift)


@dataclass(slots=True)
class _Message:
    borrower: int
    request: LoanRequest
    loan: Loan | None = None


@dataclass(slots=True)
class _Instance:
    clock: _Clock
    borrower: Borrower = field(default_factory=Borrower)


class Fleet:
    """Simulate instances, the current lender and the messages between them."""

    lender_type: type[Lender] = Lender
    borrower_type: type[Borrower] = Borrower

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._real_s = 0.0
        self._instances = [self._new_instance() for _ in range(INSTANCE_COUNT)]
        self._messages: list[_Message] = []
        self._epoch = 0
        self._spend_times_s: list[float] = []
        self.take_over(is_new=True)

    @property
    def spent_count(self) -> int:
        return len(self._spend_times_s)

    def _new_instance(self) -> _Instance:
        drift = self._rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
        clock = _Clock(offset_s=self._rng.uniform(0, 1000), drift=drift)
        return _Instance(clock=clock, borrower=self.borrower_type())

    def wait(self, seconds: float) -> None:
        """Advance real time."""
        self._real_s += seconds

    def take_over(self, *, is_new: bool = False) -> None:
        """Replace the lender by a new one on another instance."""
        self._epoch += 1
        self._lender_clock = self._instances[self._epoch % INSTANCE_COUNT].clock
        self._lender = self.lender_type(
            limit=LIMIT,
            epoch=self._epoch,
            now_s=self._lender_clock.at(self._real_s),
            is_new=is_new,
        )

    def request_loan(self, index: int, needed: int) -> None:
        """Send a loan request, with reports of all loans that the borrower holds."""
        instance = self._instances[index]
        now_s = instance.clock.at(self._real_s)
        self._messages.append(
            _Message(index, instance.borrower.new_request(now_s=now_s, needed=needed))
        )

    def arrive(self, index: int, count: int) -> None:
        """Simulate arriving calls, each of which spends a token if one is available."""
        instance = self._instances[index]
        now_s = instance.clock.at(self._real_s)
        for _ in range(count):
            instance.borrower.record_arrival(now_s=now_s)
            if instance.borrower.take(now_s=now_s):
                self._spend_times_s.append(self._real_s)

    def deliver(self, pick: int, *, repeat: bool) -> None:
        """Deliver an undelivered message; keep it for another delivery if `repeat` is set."""
        if not self._messages:
            return
        position = pick % len(self._messages)
        message = self._messages[position]
        if not repeat:
            del self._messages[position]
        if message.loan is None:
            self._deliver_request(message)
        else:
            self._deliver_loan(message, message.loan)

    def lose(self, pick: int) -> None:
        """Drop an undelivered message."""
        if self._messages:
            del self._messages[pick % len(self._messages)]

    def _deliver_request(self, message: _Message) -> None:
        now_s = self._lender_clock.at(self._real_s)
        answer = self._lender.lend(str(message.borrower), message.request, now_s=now_s)
        if isinstance(answer, Ok):
            self._messages.append(_Message(message.borrower, message.request, answer.ok_value))

    def _deliver_loan(self, message: _Message, loan: Loan) -> None:
        instance = self._instances[message.borrower]
        now_s = instance.clock.at(self._real_s)
        instance.borrower.receive(message.request, loan, now_s=now_s)

    def excess(self) -> float:
        """Return the most tokens by which any window exceeds rate x t + burst, 0 if none does."""
        level, last_s, worst = LIMIT.burst, 0.0, 0.0
        rate_per_s = LIMIT.rate_per_s * (1 + MAX_CLOCK_DRIFT)
        for spent_s in sorted(self._spend_times_s):
            level = min(LIMIT.burst, level + (spent_s - last_s) * rate_per_s) - 1
            last_s = spent_s
            worst = max(worst, -level)
        return worst if worst > _TOLERANCE else 0.0


def run_random(fleet_type: type[Fleet], seed: int, steps: int) -> Fleet:
    """Return a fleet after `steps` random steps."""
    fleet = fleet_type(seed)
    rng = random.Random(seed)
    for _ in range(steps):
        _step(fleet, rng)
    return fleet


def _step(fleet: Fleet, rng: random.Random) -> None:
    draw = rng.random()
    index = rng.randrange(INSTANCE_COUNT)
    if draw < 0.25:
        fleet.arrive(index, rng.randint(1, 8))
    elif draw < 0.6:
        _borrow_without_delay(fleet, index, rng.randint(1, 10))
    elif draw < 0.65:
        fleet.request_loan(index, rng.randint(1, 10))
    elif draw < 0.7:
        fleet.deliver(rng.randrange(100), repeat=rng.random() < 0.3)
    elif draw < 0.72:
        fleet.lose(rng.randrange(100))
    elif draw < 0.73:
        fleet.take_over()
    else:
        fleet.wait(rng.choice((0.001, 0.02, 0.1, 0.3, 0.7)))


def _borrow_without_delay(fleet: Fleet, index: int, needed: int) -> None:
    fleet.request_loan(index, needed)
    fleet.deliver(-1, repeat=False)
    fleet.deliver(-1, repeat=False)
