"""Registers the library's cost quantities and takes samples of time and memory.

Each registered function measures one quantity at one size. The registry holds the sizes.
"""

import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass

REPEATS = 5

Sample = Callable[[int], float]


@dataclass(frozen=True, slots=True, kw_only=True)
class Quantity:
    """A quantity of the library and the sizes at which it is measured."""

    name: str
    unit: str
    per: str
    sizes: Sequence[int]
    sample: Sample


QUANTITIES_BY_NAME: dict[str, Quantity] = {}


def quantity(unit: str, per: str, sizes: Sequence[int]) -> Callable[[Sample], Sample]:
    """Register a function as a quantity under its own name."""

    def register(sample: Sample) -> Sample:
        name = sample.__name__
        QUANTITIES_BY_NAME[name] = Quantity(
            name=name, unit=unit, per=per, sizes=sizes, sample=sample
        )
        return sample

    return register


def mean_time_us(action: Callable[[], object], repeats: int = 20) -> float:
    """Return the mean duration of an action in microseconds."""
    started = time.perf_counter()
    for _ in range(repeats):
        action()
    return (time.perf_counter() - started) / repeats * 1e6


def allocated_bytes(make: Callable[[], object]) -> float:
    """Return the memory that a new object holds."""
    tracemalloc.start()
    kept = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(size)
