"""A model of one account's calls over several instances, for the choice of rate enforcement.

The judge is an ideal token bucket that sees every call as it arrives and decides at once. A
refusal is wrongful if the ideal bucket admitted that call. A second bucket, fed with what was
admitted, shows whether any window went over the bound.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Result

from bench.policy._clock import Clock
from lagoonfold.rates import Borrower, Lender, Loan, LoanReport, LoanRequest, RateLimit, Shortage

HOP_S = 0.0006
PATIENCE_S = 0.1
MAX_WAITING = 8
OWNER = 0
REPORT_S = 0.1

Decide = Callable[[bool], None]

LIMITERS_BY_NAME: dict[str, type["Limiter"]] = {}


@dataclass(frozen=True, slots=True, kw_only=True)
class RateScenario:
    """An account's limit, its load as a share of the rate, and where its calls arrive.

    `skew` is the exponent of the instances' shares: 0 is even, 1 is strongly uneven. The busy
    instance changes each `shift_s` seconds.
    """

    limiter: str
    load: float
    instance_count: int
    seed: int
    limit: RateLimit = RateLimit(rate_per_s=50.0, burst=50)
    skew: float = 1.0
    shift_s: float = 7.0
    span_s: float = 120.0
    burst_size: int = 4


@dataclass(slots=True, kw_only=True)
class RateOutcome:
    """Counts of one run; `excess` is by how much any window went over the bound."""

    calls: int = 0
    admitted: int = 0
    ideal: int = 0
    wrongful: int = 0
    messages: int = 0
    excess: float = 0.0
    waits_s: float = 0.0


class IdealBucket:
    """The token bucket that sees every call."""

    def __init__(self, limit: RateLimit) -> None:
        self._limit = limit
        self._level = limit.burst
        self._seen_s = 0.0
        self.lowest = 0.0

    def has_token(self, now_s: float) -> bool:
        """Tell whether a call could be admitted now."""
        self._advance(now_s)
        return self._level >= 1

    def admit(self, now_s: float) -> None:
        """Count an admitted call."""
        self._advance(now_s)
        self._level -= 1
        self.lowest = min(self.lowest, self._level)

    def _advance(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._seen_s)
        self._level = min(self._limit.burst, self._level + passed_s * self._limit.rate_per_s)
        self._seen_s = max(self._seen_s, now_s)


def limiter(name: str) -> Callable[[type["Limiter"]], type["Limiter"]]:
    """Register a way of enforcing the rate."""

    def register(cls: type["Limiter"]) -> type["Limiter"]:
        LIMITERS_BY_NAME[name] = cls
        return cls

    return register


class Limiter:
    """Decides on one call after another, in order of time."""

    def __init__(self, scenario: RateScenario, clock: Clock) -> None:
        self.scenario = scenario
        self.clock = clock
        self.messages = 0

    def submit(self, instance: int, decide: Decide) -> None:
        """Call `decide`, now or later, with whether the call is admitted."""
        raise NotImplementedError


@limiter("static-shares")
class StaticShares(Limiter):
    """Each instance enforces an equal share of rate and burst."""

    def __init__(self, scenario: RateScenario, clock: Clock) -> None:
        super().__init__(scenario, clock)
        count = scenario.instance_count
        limit = scenario.limit
        share = RateLimit(rate_per_s=limit.rate_per_s / count, burst=limit.burst / count)
        self._buckets = [IdealBucket(share) for _ in range(count)]

    def submit(self, instance: int, decide: Decide) -> None:
        """Admit from the instance's own share."""
        _decide_by(self._buckets[instance], decide, self.clock.now_s)


@limiter("call-per-request")
class CallPerRequest(Limiter):
    """The owner is asked for each call."""

    def __init__(self, scenario: RateScenario, clock: Clock) -> None:
        super().__init__(scenario, clock)
        self._bucket = IdealBucket(scenario.limit)

    def submit(self, instance: int, decide: Decide) -> None:
        """Ask the owner."""
        if instance == OWNER:
            _decide_by(self._bucket, decide, self.clock.now_s)
            return
        self.messages += 2
        self.clock.after(HOP_S, self._ask, decide)

    def _ask(self, decide: Decide) -> None:
        is_admitted = self._bucket.has_token(self.clock.now_s)
        if is_admitted:
            self._bucket.admit(self.clock.now_s)
        self.clock.after(HOP_S, decide, is_admitted)


def _decide_by(bucket: IdealBucket, decide: Decide, now_s: float) -> None:
    is_admitted = bucket.has_token(now_s)
    if is_admitted:
        bucket.admit(now_s)
    decide(is_admitted)


@limiter("loans")
class Loans(Limiter):
    """Loans from the owner by the library's lender and borrowers.

    As in the node, calls that wait at one instance share its asks.
    """

    def __init__(self, scenario: RateScenario, clock: Clock) -> None:
        super().__init__(scenario, clock)
        self._lender = Lender(limit=scenario.limit, epoch=1, now_s=0.0, is_new=True)
        self._borrowers = [Borrower() for _ in range(scenario.instance_count)]
        self._asking = [False] * scenario.instance_count
        self._waiting = [0] * scenario.instance_count
        clock.after(REPORT_S, self._report_all)

    def submit(self, instance: int, decide: Decide) -> None:
        """Take a borrowed token, or ask the owner at once."""
        now_s = self.clock.now_s
        borrower = self._borrowers[instance]
        borrower.record_arrival(now_s=now_s)
        if borrower.take(now_s=now_s):
            decide(True)
            if borrower.should_renew(now_s=now_s) and not self._asking[instance]:
                self._ask(instance)
        elif self._waiting[instance] >= MAX_WAITING and borrower.backoff_left_s(now_s=now_s) > 0:
            decide(False)
        else:
            self._waiting[instance] += 1
            self._wait(instance, decide, now_s)

    def _wait(self, instance: int, decide: Decide, started_s: float) -> None:
        now_s = self.clock.now_s
        borrower = self._borrowers[instance]
        is_admitted = borrower.take(now_s=now_s)
        if is_admitted or now_s - started_s > PATIENCE_S:
            self._waiting[instance] -= 1
            decide(is_admitted)
            return
        pause_s = borrower.backoff_left_s(now_s=now_s)
        if pause_s == 0.0 and not self._asking[instance]:
            self._ask(instance)
        self.clock.after(max(pause_s, 2 * HOP_S + 1e-5), self._wait, instance, decide, started_s)

    def _ask(self, instance: int) -> None:
        self._asking[instance] = True
        needed = max(1, self._waiting[instance])
        request = self._borrowers[instance].new_request(now_s=self.clock.now_s, needed=needed)
        self.messages += 0 if instance == OWNER else 2
        self.clock.after(0.0 if instance == OWNER else HOP_S, self._lend, instance, request)

    def _lend(self, instance: int, request: LoanRequest) -> None:
        now_s = self.clock.now_s
        answer = self._lender.lend(str(instance), request, now_s=now_s)
        hop_s = 0.0 if instance == OWNER else HOP_S
        self.clock.after(hop_s, self._answer, instance, request, answer)

    def _answer(self, instance: int, request: LoanRequest, answer: Result[Loan, Shortage]) -> None:
        self._asking[instance] = False
        borrower = self._borrowers[instance]
        if isinstance(answer, Err):
            borrower.back_off(request, answer.err_value, now_s=self.clock.now_s)
        else:
            borrower.receive(request, answer.ok_value, now_s=self.clock.now_s)

    def _report(self, number: int) -> None:
        reports = self._borrowers[number].report(now_s=self.clock.now_s)
        self.clock.after(HOP_S, self._take_report, number, reports)

    def _take_report(self, number: int, reports: tuple[LoanReport, ...]) -> None:
        self._lender.report(str(number), reports, now_s=self.clock.now_s)

    def _report_all(self) -> None:
        for number, borrower in enumerate(self._borrowers):
            if borrower.needs_report(now_s=self.clock.now_s):
                self.messages += 0 if number == OWNER else 1
                self._report(number)
        self.clock.after(REPORT_S, self._report_all)


def run_rates(scenario: RateScenario) -> RateOutcome:
    """Run one scenario and judge each refusal."""
    clock = Clock()
    chosen = LIMITERS_BY_NAME[scenario.limiter](scenario, clock)
    ideal, judge = IdealBucket(scenario.limit), IdealBucket(scenario.limit)
    outcome = RateOutcome()

    def arrive(instance: int) -> None:
        outcome.calls += 1
        arrived_s = clock.now_s
        could = ideal.has_token(arrived_s)
        if could:
            ideal.admit(arrived_s)
            outcome.ideal += 1

        def decide(is_admitted: bool) -> None:
            if is_admitted:
                judge.admit(clock.now_s)
                outcome.admitted += 1
                outcome.waits_s += clock.now_s - arrived_s
            else:
                outcome.wrongful += could

        chosen.submit(instance, decide)

    for when_s, instance in _arrivals(scenario):
        clock.at(when_s, arrive, instance)
    clock.run(scenario.span_s + 1.0)
    outcome.messages = chosen.messages
    outcome.excess = max(0.0, -judge.lowest)
    return outcome


def _arrivals(scenario: RateScenario) -> list[tuple[float, int]]:
    """Return small bursts of calls, each at one instance."""
    rng = random.Random(f"rates/{scenario.seed}")
    count = scenario.instance_count
    weights = [1 / math.pow(rank + 1, scenario.skew) for rank in range(count)]
    rate = scenario.load * scenario.limit.rate_per_s / ((1 + scenario.burst_size) / 2)
    arrivals: list[tuple[float, int]] = []
    now_s = 0.0
    while now_s < scenario.span_s:
        now_s += rng.expovariate(rate)
        rank = rng.choices(range(count), weights)[0]
        instance = (rank + int(now_s / scenario.shift_s)) % count
        for _ in range(rng.randint(1, scenario.burst_size)):
            arrivals.append((now_s, instance))
    return arrivals
