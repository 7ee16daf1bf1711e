"""Measures the cost quantities of docs/CAPACITY.md and fits a line to each.

    python -m bench.capacity --out=capacity.json   # all, in under ten minutes
    python -m bench.capacity --only=library        # without processes

Each quantity is measured at three sizes or more, by library calls or on idle fleets that listen on
loopback and end with the command. The command prints a row of a Markdown table for each quantity:
its unit, the median and the range at each size, the line through the medians, and its r squared.
"""

import json
from pathlib import Path

import fire

from bench import (  # noqa: F401
    _configuration_slopes,
    _membership_slopes,
    _prompt_slopes,
    _rate_slopes,
    _record_slopes,
)
from bench._fit import Slope, measure
from bench._fleet_slopes import measure_engines, measure_instances
from bench._quantities import QUANTITIES_BY_NAME, REPEATS

PARTS = ("library", "instances", "engines")


def measure_library() -> list[Slope]:
    """Measure the library's quantities, registered by the imported `_slopes` modules."""
    return [
        measure(
            quantity.name,
            quantity.unit,
            quantity.per,
            quantity.sizes,
            quantity.sample,
            REPEATS,
        )
        for quantity in QUANTITIES_BY_NAME.values()
    ]


_MEASURES_BY_PART = {
    "library": measure_library,
    "instances": measure_instances,
    "engines": measure_engines,
}


def render_row(slope: Slope) -> str:
    """Return a slope as a row of a Markdown table."""
    points = "; ".join(
        f"{point.size:g}: {point.median:.4g} ({min(point.samples):.4g}-{max(point.samples):.4g})"
        for point in slope.points
    )
    line = f"{slope.base:.4g} + {slope.slope:.4g} per {slope.per}"
    return f"| {slope.name} | {slope.unit} | {points} | {line} | {slope.r_squared:.3f} |"


def main(only: str = "", out: str = "") -> None:
    """Measure all parts, or only library, instances or engines; write JSON to the file `out`."""
    parts = [only] if only else PARTS
    slopes: list[Slope] = []
    print("| quantity | unit | size: median (min-max) | line | r2 |")
    print("|---|---|---|---|---|")
    for part in parts:
        for slope in _MEASURES_BY_PART[part]():
            slopes.append(slope)
            print(render_row(slope), flush=True)
    if out:
        Path(out).write_text(json.dumps([slope.to_fields() for slope in slopes], indent=1))


if __name__ == "__main__":
    fire.Fire(main)
