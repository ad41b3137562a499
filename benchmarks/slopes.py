"""Straight lines through measured points, for extrapolation to the growth target."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence
from typing import NamedTuple

# Below this coefficient of determination a line is reported as not linear.
LINEAR_R_SQUARED = 0.98


class Slope(NamedTuple):
    """A least-squares line through measured points; the units are those of the points."""

    name: str
    x_unit: str
    y_unit: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float
    r_squared: float

    def at(self, x: float) -> float:
        """Return the extrapolated value at ``x``."""
        return self.intercept + self.slope * x

    @property
    def linear(self) -> bool:
        """Return whether the points are close enough to a line."""
        return self.r_squared >= LINEAR_R_SQUARED


def measure(
    name: str, x_unit: str, y_unit: str, sizes: Sequence[int], sample: Callable[[int], float]
) -> Slope:
    """Take one sample at each size and fit a line."""
    return fit(name, x_unit, y_unit, [(float(size), sample(size)) for size in sizes])


def fit(name: str, x_unit: str, y_unit: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Fit a line through at least three points."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    line = statistics.linear_regression(xs, ys)
    flat = max(ys) == min(ys)
    r_squared = 1.0 if flat else statistics.correlation(xs, ys) ** 2
    return Slope(name, x_unit, y_unit, tuple(points), line.slope, line.intercept, r_squared)
