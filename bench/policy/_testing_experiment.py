"""The experiment on putting a failing replica aside: three rules at equal false alarms.

One is the sequential test of "Peeking with PEAK: Sequential, Nonparametric Composite Hypothesis
Tests for Means of Multiple Data Streams", for one stream of failures and the null hypothesis that
its mean is at most `HEALTHY_BOUND`. As given it looks at the whole stream; a second variant starts
anew every `RESTART_CALLS` calls, since a replica fails after a long healthy time.
"""

import random
import statistics
from collections import deque
from collections.abc import Callable

from bench.policy._report import write_report

HEALTHY_FAILURES = 0.01
HEALTHY_BOUND = 0.05
HEALTHY_CALLS = 500
MAX_CALLS = 1000
FAILING = (0.2, 0.5, 1.0)
FALSE_ALARM_TARGETS = (0.0005, 0.005)
HEALTHY_STREAMS_PER_SEED = 10
RESTART_CALLS = 50
SMALLEST_C = 0.26

Rule = Callable[[bool], float]


def consecutive_failures() -> Rule:
    """Return a rule whose score is the number of failures in a row."""
    count = 0

    def score(failed: bool) -> float:
        nonlocal count
        count = count + 1 if failed else 0
        return count

    return score


def moving_average(window: int) -> Callable[[], Rule]:
    """Return a maker of rules whose score is the failures among the last calls."""

    def make() -> Rule:
        last: deque[bool] = deque(maxlen=window)

        def score(failed: bool) -> float:
            last.append(failed)
            return sum(last)

        return score

    return make


def peak(restart_calls: int) -> Callable[[], Rule]:
    """Return a maker of rules whose score is the capital against the bound."""

    def make() -> Rule:
        capital, total, calls = 1.0, 0.0, 0

        def score(failed: bool) -> float:
            nonlocal capital, total, calls
            if restart_calls and calls >= restart_calls:
                capital, total, calls = 1.0, 0.0, 0
            mean = total / calls if calls else HEALTHY_BOUND
            bet = (mean - HEALTHY_BOUND) / SMALLEST_C
            capital *= 1 + bet * (failed - HEALTHY_BOUND)
            total += failed
            calls += 1
            return capital if total / calls > HEALTHY_BOUND else 0.0

        return score

    return make


RULES_BY_NAME = {
    "consecutive failures": consecutive_failures,
    "moving average of 10": moving_average(10),
    "moving average of 20": moving_average(20),
    "PEAK": peak(0),
    "PEAK, restarted": peak(RESTART_CALLS),
}


def run_health_tests(seeds: int) -> dict:
    """Set each rule's threshold by false alarms on healthy streams, then time the detection."""
    healthy = [_stream(f"healthy/{n}", None) for n in range(HEALTHY_STREAMS_PER_SEED * seeds)]
    failing = {
        share: [_stream(f"failing/{seed}", share) for seed in range(seeds)] for share in FAILING
    }
    results: dict = {}
    for name, make in RULES_BY_NAME.items():
        highest = sorted(_highest(make(), stream) for stream in healthy)
        for target in FALSE_ALARM_TARGETS:
            results[f"{name}, at most {target:.2%} false alarms"] = _run_rule(
                make, highest, target, failing
            )
    write_report("health", results)
    return results


def _run_rule(
    make: Callable[[], Rule],
    highest: list[float],
    target: float,
    failing: dict[float, list[list[bool]]],
) -> dict:
    threshold = highest[len(highest) - 1 - int(target * len(highest))] * (1 + 1e-9)
    alarms = sum(value > threshold for value in highest)
    row: dict = {"threshold": round(threshold, 3), "false_alarms": alarms / len(highest)}
    for share, streams in failing.items():
        delays = [_delay(make, threshold, stream) for stream in streams]
        found = sorted(delay for delay in delays if delay is not None)
        row[f"calls to detect at {share}"] = {
            "median": statistics.median(found) if found else None,
            "p95": found[int(0.95 * (len(found) - 1))] if found else None,
            "found": round(len(found) / len(delays), 3),
        }
    return row


def _stream(seed: str, failing: float | None) -> list[bool]:
    rng = random.Random(seed)
    shares = [HEALTHY_FAILURES] * HEALTHY_CALLS
    shares += [HEALTHY_FAILURES if failing is None else failing] * (MAX_CALLS - HEALTHY_CALLS)
    return [rng.random() < share for share in shares]


def _highest(rule: Rule, stream: list[bool]) -> float:
    return max(rule(failed) for failed in stream)


def _delay(make: Callable[[], Rule], threshold: float, stream: list[bool]) -> int | None:
    """Return the calls from the change to the alarm; an earlier alarm counts from its restart."""
    rule = make()
    for number, failed in enumerate(stream):
        alarm = rule(failed) > threshold
        if alarm and number >= HEALTHY_CALLS:
            return number - HEALTHY_CALLS + 1
        if alarm:
            rule = make()
    return None
