"""The registry of the library's quantities, and how one sample of them is taken.

Each function is one quantity at one size; the registry says over which sizes it is measured.
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
    def register(sample: Sample) -> Sample:
        name = sample.__name__
        QUANTITIES_BY_NAME[name] = Quantity(
            name=name, unit=unit, per=per, sizes=sizes, sample=sample
        )
        return sample

    return register


def timed_us(action: Callable[[], object], repeats: int = 20) -> float:
    started = time.perf_counter()
    for _ in range(repeats):
        action()
    return (time.perf_counter() - started) / repeats * 1e6


def bytes_held(make: Callable[[], object]) -> float:
    tracemalloc.start()
    held = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held
    return float(size)
