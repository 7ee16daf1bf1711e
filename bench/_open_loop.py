"""Open-loop load: requests start when they are due, however slow the answers are.

Each latency counts from the moment at which the request was due, so a stall shows in every request
that it delayed (no coordinated omission).
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
    """What a run saw, as histograms in microseconds and counts."""

    whole: HdrHistogram = field(default_factory=new_histogram)
    first: HdrHistogram = field(default_factory=new_histogram)
    gap: HdrHistogram = field(default_factory=new_histogram)
    tokens: int = 0
    failures_by_reason: dict[str, int] = field(default_factory=dict)

    def note_failure(self, reason: str) -> None:
        """Count a request that got no whole answer."""
        self.failures_by_reason[reason] = self.failures_by_reason.get(reason, 0) + 1

    def summary(self) -> dict:
        """Return percentiles in milliseconds, and counts."""
        return {
            "requests": self.whole.get_total_count(),
            "tokens": self.tokens,
            "failures": self.failures_by_reason,
            "whole_ms": _percentiles_ms(self.whole),
            "first_token_ms": _percentiles_ms(self.first),
            "token_gap_ms": _percentiles_ms(self.gap),
        }


def record_s(histogram: HdrHistogram, seconds: float) -> None:
    """Record a time given in seconds."""
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
    at = rng.expovariate(rate_per_s)
    while at < seconds:
        arrivals.append(at)
        at += rng.expovariate(rate_per_s)
    return arrivals


async def run_open_loop(
    arrivals: Sequence[float], send: Callable[[int, float], Awaitable[None]]
) -> None:
    """Start `send(number, due)` at each arrival time and wait for all of them."""
    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number, arrival in enumerate(arrivals):
            due = started + arrival
            await trio.sleep_until(due)
            nursery.start_soon(send, number, due)
