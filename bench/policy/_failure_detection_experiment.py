"""Measures how many calls three tests need to detect a failing replica at equal false alarms.

The tests count consecutive failures, average recent failures, or apply the sequential test of
"Peeking with PEAK: Sequential, Nonparametric Composite Hypothesis Tests for Means of Multiple Data
Streams" to one stream of failures. The null hypothesis of PEAK is a mean of at most
`MAX_HEALTHY_FAILURE_RATE`. The published test considers the whole stream; a second variant
restarts every `RESTART_CALLS` calls, because a replica fails after a long healthy time.
"""

import random
import statistics
from collections import deque
from collections.abc import Callable

from bench.policy._report import write_report

HEALTHY_FAILURE_RATE = 0.01
MAX_HEALTHY_FAILURE_RATE = 0.05
HEALTHY_CALLS = 500
MAX_CALLS = 1000
FAILURE_RATES = (0.2, 0.5, 1.0)
FALSE_ALARM_TARGETS = (0.0005, 0.005)
HEALTHY_STREAMS_PER_SEED = 10
RESTART_CALLS = 50
SMALLEST_C = 0.26

Rule = Callable[[bool], float]


def consecutive_failures() -> Rule:
    """Return a rule whose score is the number of consecutive failures."""
    count = 0

    def score(failed: bool) -> float:
        nonlocal count
        count = count + 1 if failed else 0
        return count

    return score


def moving_average(window: int) -> Callable[[], Rule]:
    """Return a factory of rules whose score is the number of failures among the last calls."""

    def make() -> Rule:
        last: deque[bool] = deque(maxlen=window)

        def score(failed: bool) -> float:
            last.append(failed)
            return sum(last)

        return score

    return make


def peak(restart_calls: int) -> Callable[[], Rule]:
    """Return a factory of rules whose score is the capital won by bets against the null hypothesis.

    Zero `restart_calls` means that the test never restarts.
    """

    def make() -> Rule:
        capital, total, calls = 1.0, 0.0, 0

        def score(failed: bool) -> float:
            nonlocal capital, total, calls
            if restart_calls and calls >= restart_calls:
                capital, total, calls = 1.0, 0.0, 0
            mean = total / calls if calls else MAX_HEALTHY_FAILURE_RATE
            bet = (mean - MAX_HEALTHY_FAILURE_RATE) / SMALLEST_C
            capital *= 1 + bet * (failed - MAX_HEALTHY_FAILURE_RATE)
            total += failed
            calls += 1
            return capital if total / calls > MAX_HEALTHY_FAILURE_RATE else 0.0

        return score

    return make


RULES_BY_NAME = {
    "consecutive failures": consecutive_failures,
    "moving average of 10": moving_average(10),
    "moving average of 20": moving_average(20),
    "PEAK": peak(0),
    "PEAK, restarted": peak(RESTART_CALLS),
}


def run_failure_detection(seeds: int) -> dict:
    """Set each rule's threshold by its false alarms on healthy streams; measure detection delays.

    A delay is the number of calls from the start of the failures to the alarm.
    """
    healthy = [_stream(f"healthy/{n}", None) for n in range(HEALTHY_STREAMS_PER_SEED * seeds)]
    failing = {
        share: [_stream(f"failing/{seed}", share) for seed in range(seeds)]
        for share in FAILURE_RATES
    }
    results: dict = {}
    for name, make in RULES_BY_NAME.items():
        max_scores = sorted(_max_score(make(), stream) for stream in healthy)
        for target in FALSE_ALARM_TARGETS:
            results[f"{name}, at most {target:.2%} false alarms"] = _run_rule(
                make, max_scores, target, failing
            )
    write_report("health", results)
    return results


def _run_rule(
    make: Callable[[], Rule],
    max_scores: list[float],
    target: float,
    failing: dict[float, list[list[bool]]],
) -> dict:
    threshold = max_scores[len(max_scores) - 1 - int(target * len(max_scores))] * (1 + 1e-9)
    alarms = sum(value > threshold for value in max_scores)
    row: dict = {"threshold": round(threshold, 3), "false_alarms": alarms / len(max_scores)}
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
    shares = [HEALTHY_FAILURE_RATE] * HEALTHY_CALLS
    shares += [HEALTHY_FAILURE_RATE if failing is None else failing] * (MAX_CALLS - HEALTHY_CALLS)
    return [rng.random() < share for share in shares]


def _max_score(rule: Rule, stream: list[bool]) -> float:
    return max(rule(failed) for failed in stream)


def _delay(make: Callable[[], Rule], threshold: float, stream: list[bool]) -> int | None:
    """Return the calls from the change to the first alarm after it, None without one.

    An alarm before the change restarts the rule.
    """
    rule = make()
    for number, failed in enumerate(stream):
        alarm = rule(failed) > threshold
        if alarm and number >= HEALTHY_CALLS:
            return number - HEALTHY_CALLS + 1
        if alarm:
            rule = make()
    return None
