"""Fits lines to measured quantities and reports their spread and fit."""

import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Point:
    """The samples taken at one size."""

    size: float
    samples: tuple[float, ...]

    @property
    def median(self) -> float:
        """Return the median of the samples."""
        return statistics.median(self.samples)


@dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """A quantity as a linear function of a size, fitted to the medians by least squares."""

    name: str
    unit: str
    per: str
    points: tuple[Point, ...]
    base: float
    slope: float
    r_squared: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.base + self.slope * size

    def to_fields(self) -> dict[str, object]:
        """Return the fields of the slope for JSON."""
        points = [
            {
                "size": point.size,
                "median": point.median,
                "min": min(point.samples),
                "max": max(point.samples),
            }
            for point in self.points
        ]
        return {
            "name": self.name,
            "unit": self.unit,
            "per": self.per,
            "base": self.base,
            "slope": self.slope,
            "r_squared": self.r_squared,
            "points": points,
        }


def fit(name: str, unit: str, per: str, points: Sequence[Point]) -> Slope:
    """Fit a line to the medians.

    `r_squared` is 1 if all medians are equal, because their correlation is undefined.
    """
    sizes = [point.size for point in points]
    medians = [point.median for point in points]
    line = statistics.linear_regression(sizes, medians)
    varies = len(set(medians)) > 1
    r_squared = statistics.correlation(sizes, medians) ** 2 if varies else 1.0
    return Slope(
        name=name,
        unit=unit,
        per=per,
        points=tuple(points),
        base=line.intercept,
        slope=line.slope,
        r_squared=r_squared,
    )


def measure(
    name: str,
    unit: str,
    per: str,
    sizes: Sequence[int],
    sample: Callable[[int], float],
    repeats: int,
) -> Slope:
    """Take samples at each size and fit a line."""
    points = [
        Point(size=size, samples=tuple(sample(size) for _ in range(repeats))) for size in sizes
    ]
    return fit(name, unit, per, points)
