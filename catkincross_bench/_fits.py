"""Fits of measured costs against the size of what was measured."""

from __future__ import annotations

import math
from collections.abc import Sequence

import attrs

Point = tuple[float, float]


@attrs.frozen
class Fit:
    """A least-squares line through measured points.

    Attributes:
        form: `linear` (value = base + slope * n) or `n log n`
            (value = base + slope * n * log2 n).
        r2: Share of the variance that the line explains.
    """

    form: str
    base: float
    slope: float
    r2: float


def linear_fit(points: Sequence[Point]) -> Fit:
    """Return the line through points `(n, value)`.

    Raises:
        ValueError: If there are fewer than three different sizes.
    """
    return _least_squares("linear", [(size, value) for size, value in points])


def n_log_n_fit(points: Sequence[Point]) -> Fit:
    """Return the line through points `(n log2 n, value)`."""
    scaled = [(size * math.log2(max(size, 2)), value) for size, value in points]
    return _least_squares("n log n", scaled)


def _least_squares(form: str, points: Sequence[Point]) -> Fit:
    if len({x for x, _ in points}) < 3:
        raise ValueError("a fit needs three sizes or more")
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    total = sum((y - mean_y) ** 2 for _, y in points)
    residual = sum((y - base - slope * x) ** 2 for x, y in points)
    return Fit(form, base, slope, 1.0 if total == 0 else 1 - residual / total)


def growth_exponent(points: Sequence[Point]) -> float:
    """Return k of the best power law `value = c * n**k` through the points.

    An exponent near 0 means that the value does not grow with n, 1 that it is
    proportional to n.
    """
    logs = [(math.log(size), math.log(value)) for size, value in points]
    return _least_squares("power", logs).slope
