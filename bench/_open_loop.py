"""Generates open-loop load, which starts each request on schedule even if answers are slow.

Each latency counts from the scheduled start of its request, so that a stall shows in every request
that it delays (no coordinated omission).
"""

import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

import trio
from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_S = 1_000_000
MAX_LATENCY_US = 600 * MICROSECONDS_PER_S
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of times in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class Samples:
    """Measurements of a run: histograms in microseconds and counts."""

    total_latency: HdrHistogram = field(default_factory=new_histogram)
    first_token_latency: HdrHistogram = field(default_factory=new_histogram)
    token_gap: HdrHistogram = field(default_factory=new_histogram)
    tokens: int = 0
    failures_by_reason: dict[str, int] = field(default_factory=dict)

    def record_failure(self, reason: str) -> None:
        """Count a request that got no complete answer."""
        self.failures_by_reason[reason] = self.failures_by_reason.get(reason, 0) + 1

    def summary(self) -> dict:
        """Return percentiles in milliseconds and counts."""
        return {
            "requests": self.total_latency.get_total_count(),
            "tokens": self.tokens,
            "failures": self.failures_by_reason,
            "whole_ms": _percentiles_ms(self.total_latency),
            "first_token_ms": _percentiles_ms(self.first_token_latency),
            "token_gap_ms": _percentiles_ms(self.token_gap),
        }


def record_s(histogram: HdrHistogram, seconds: float) -> None:
    """Record a time in seconds; times below a microsecond count as one."""
    histogram.record_value(max(1, int(seconds * MICROSECONDS_PER_S)))


def _percentiles_ms(histogram: HdrHistogram) -> dict[str, float]:
    return {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1_000
        for percentile in PERCENTILES
    }


def draw_arrivals(rate_per_s: float, seconds: float, seed: int) -> list[float]:
    """Return the times of a Poisson process, in seconds from its start."""
    rng = random.Random(seed)
    arrivals: list[float] = []
    next_s = rng.expovariate(rate_per_s)
    while next_s < seconds:
        arrivals.append(next_s)
        next_s += rng.expovariate(rate_per_s)
    return arrivals


async def run_open_loop(
    arrivals: Sequence[float], send: Callable[[int, float], Awaitable[None]]
) -> None:
    """Start `send(number, due_s)` at each arrival time and wait until all have ended."""
    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number, arrival in enumerate(arrivals):
            due_s = started + arrival
            await trio.sleep_until(due_s)
            nursery.start_soon(send, number, due_s)
