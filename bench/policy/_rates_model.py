"""Simulates ways to enforce one account's rate limit over several instances.

The reference is an ideal token bucket that sees every call on arrival and decides at once. A
refusal is wrongful if the ideal bucket admitted that call. A second bucket counts the admitted
calls and shows by how much they exceeded the limit in any window.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Result

from bench.policy._clock import Clock
from lagoonfold.rates import Borrower, Lender, Loan, LoanReport, LoanRequest, RateLimit, Shortage

MESSAGE_DELAY_S = 0.0006
MAX_WAIT_S = 0.1
MAX_WAITING_CALLS = 8
OWNER_INSTANCE = 0
REPORT_INTERVAL_S = 0.1

DecisionCallback = Callable[[bool], None]

LIMITERS_BY_NAME: dict[str, type["Limiter"]] = {}


@dataclass(frozen=True, slots=True, kw_only=True)
class RateScenario:
    """An account's limit, its load as a share of the rate, and where its calls arrive.

    `skew` is the exponent of the Zipf distribution of calls over the instances: 0 is even, 1 is
    strongly uneven. The busiest instance changes each `shift_s` seconds.
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
    """Counts of one run; `excess_tokens` is the most by which any window exceeded the limit."""

    calls: int = 0
    admitted: int = 0
    ideal_admissions: int = 0
    wrongful_refusals: int = 0
    messages: int = 0
    excess_tokens: float = 0.0
    total_wait_s: float = 0.0


class IdealBucket:
    """A token bucket that may become overdrawn; `lowest_level` records the lowest level."""

    def __init__(self, limit: RateLimit) -> None:
        self._limit = limit
        self._level = limit.burst
        self._updated_s = 0.0
        self.lowest_level = 0.0

    def has_token(self, now_s: float) -> bool:
        """Return whether a call could be admitted now."""
        self._advance(now_s)
        return self._level >= 1

    def admit(self, now_s: float) -> None:
        """Take a token, even if none is left."""
        self._advance(now_s)
        self._level -= 1
        self.lowest_level = min(self.lowest_level, self._level)

    def _advance(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._level = min(self._limit.burst, self._level + elapsed_s * self._limit.rate_per_s)
        self._updated_s = max(self._updated_s, now_s)


def limiter(name: str) -> Callable[[type["Limiter"]], type["Limiter"]]:
    """Register a limiter under a name."""

    def register(cls: type["Limiter"]) -> type["Limiter"]:
        LIMITERS_BY_NAME[name] = cls
        return cls

    return register


class Limiter:
    """Enforces the rate limit; calls are submitted in the order of their arrival."""

    def __init__(self, scenario: RateScenario, clock: Clock) -> None:
        self.scenario = scenario
        self.clock = clock
        self.messages = 0

    def submit(self, instance: int, on_decision: DecisionCallback) -> None:
        """Call `on_decision`, now or later, with whether the call is admitted."""
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

    def submit(self, instance: int, on_decision: DecisionCallback) -> None:
        """Decide by the instance's own share."""
        _decide_with(self._buckets[instance], on_decision, self.clock.now_s)


@limiter("call-per-request")
class CallPerRequest(Limiter):
    """Each instance sends one request to the account's owner for each call."""

    def __init__(self, scenario: RateScenario, clock: Clock) -> None:
        super().__init__(scenario, clock)
        self._bucket = IdealBucket(scenario.limit)

    def submit(self, instance: int, on_decision: DecisionCallback) -> None:
        """Decide at the owner, or send it a request."""
        if instance == OWNER_INSTANCE:
            _decide_with(self._bucket, on_decision, self.clock.now_s)
            return
        self.messages += 2
        self.clock.after(MESSAGE_DELAY_S, self._decide_at_owner, on_decision)

    def _decide_at_owner(self, on_decision: DecisionCallback) -> None:
        is_admitted = self._bucket.has_token(self.clock.now_s)
        if is_admitted:
            self._bucket.admit(self.clock.now_s)
        self.clock.after(MESSAGE_DELAY_S, on_decision, is_admitted)


def _decide_with(bucket: IdealBucket, on_decision: DecisionCallback, now_s: float) -> None:
    is_admitted = bucket.has_token(now_s)
    if is_admitted:
        bucket.admit(now_s)
    on_decision(is_admitted)


@limiter("loans")
class Loans(Limiter):
    """Instances borrow tokens from the owner by the library's lender and borrowers.

    As in an instance, all calls that wait at it share one loan request.
    """

    def __init__(self, scenario: RateScenario, clock: Clock) -> None:
        super().__init__(scenario, clock)
        self._lender = Lender(limit=scenario.limit, epoch=1, now_s=0.0, is_new=True)
        self._borrowers = [Borrower() for _ in range(scenario.instance_count)]
        self._is_requesting = [False] * scenario.instance_count
        self._waiting = [0] * scenario.instance_count
        clock.after(REPORT_INTERVAL_S, self._report_all)

    def submit(self, instance: int, on_decision: DecisionCallback) -> None:
        """Take a borrowed token, or send a loan request and wait."""
        now_s = self.clock.now_s
        borrower = self._borrowers[instance]
        borrower.record_arrival(now_s=now_s)
        if borrower.take(now_s=now_s):
            on_decision(True)
            if borrower.should_renew(now_s=now_s) and not self._is_requesting[instance]:
                self._request_loan(instance)
        elif (
            self._waiting[instance] >= MAX_WAITING_CALLS
            and borrower.backoff_left_s(now_s=now_s) > 0
        ):
            on_decision(False)
        else:
            self._waiting[instance] += 1
            self._wait(instance, on_decision, now_s)

    def _wait(self, instance: int, on_decision: DecisionCallback, started_s: float) -> None:
        now_s = self.clock.now_s
        borrower = self._borrowers[instance]
        is_admitted = borrower.take(now_s=now_s)
        if is_admitted or now_s - started_s > MAX_WAIT_S:
            self._waiting[instance] -= 1
            on_decision(is_admitted)
            return
        pause_s = borrower.backoff_left_s(now_s=now_s)
        if pause_s == 0.0 and not self._is_requesting[instance]:
            self._request_loan(instance)
        self.clock.after(
            max(pause_s, 2 * MESSAGE_DELAY_S + 1e-5), self._wait, instance, on_decision, started_s
        )

    def _request_loan(self, instance: int) -> None:
        self._is_requesting[instance] = True
        needed = max(1, self._waiting[instance])
        request = self._borrowers[instance].new_request(now_s=self.clock.now_s, needed=needed)
        self.messages += 0 if instance == OWNER_INSTANCE else 2
        self.clock.after(
            0.0 if instance == OWNER_INSTANCE else MESSAGE_DELAY_S, self._lend, instance, request
        )

    def _lend(self, instance: int, request: LoanRequest) -> None:
        now_s = self.clock.now_s
        answer = self._lender.lend(str(instance), request, now_s=now_s)
        delay_s = 0.0 if instance == OWNER_INSTANCE else MESSAGE_DELAY_S
        self.clock.after(delay_s, self._handle_answer, instance, request, answer)

    def _handle_answer(
        self, instance: int, request: LoanRequest, answer: Result[Loan, Shortage]
    ) -> None:
        self._is_requesting[instance] = False
        borrower = self._borrowers[instance]
        if isinstance(answer, Err):
            borrower.back_off(request, answer.err_value, now_s=self.clock.now_s)
        else:
            borrower.receive(request, answer.ok_value, now_s=self.clock.now_s)

    def _report(self, number: int) -> None:
        reports = self._borrowers[number].report(now_s=self.clock.now_s)
        self.clock.after(MESSAGE_DELAY_S, self._apply_report, number, reports)

    def _apply_report(self, number: int, reports: tuple[LoanReport, ...]) -> None:
        self._lender.report(str(number), reports, now_s=self.clock.now_s)

    def _report_all(self) -> None:
        for number, borrower in enumerate(self._borrowers):
            if borrower.needs_report(now_s=self.clock.now_s):
                self.messages += 0 if number == OWNER_INSTANCE else 1
                self._report(number)
        self.clock.after(REPORT_INTERVAL_S, self._report_all)


def run_rates(scenario: RateScenario) -> RateOutcome:
    """Run one scenario and count the wrongful refusals."""
    clock = Clock()
    enforcer = LIMITERS_BY_NAME[scenario.limiter](scenario, clock)
    ideal, bound_bucket = IdealBucket(scenario.limit), IdealBucket(scenario.limit)
    outcome = RateOutcome()

    def arrive(instance: int) -> None:
        outcome.calls += 1
        arrived_s = clock.now_s
        ideal_admits = ideal.has_token(arrived_s)
        if ideal_admits:
            ideal.admit(arrived_s)
            outcome.ideal_admissions += 1

        def on_decision(is_admitted: bool) -> None:
            if is_admitted:
                bound_bucket.admit(clock.now_s)
                outcome.admitted += 1
                outcome.total_wait_s += clock.now_s - arrived_s
            else:
                outcome.wrongful_refusals += ideal_admits

        enforcer.submit(instance, on_decision)

    for when_s, instance in _arrivals(scenario):
        clock.at(when_s, arrive, instance)
    clock.run(scenario.span_s + 1.0)
    outcome.messages = enforcer.messages
    outcome.excess_tokens = max(0.0, -bound_bucket.lowest_level)
    return outcome


def _arrivals(scenario: RateScenario) -> list[tuple[float, int]]:
    """Return the times and instances of the calls, in small bursts at one instance each."""
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
