"""A cost that is measured at several sizes."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ._fits import Fit, Point, growth_exponent, linear_fit, n_log_n_fit

SIZES = (500, 1_000, 2_000)


@attrs.frozen
class Case:
    """One row of the capacity measurement.

    Attributes:
        name: Key of the row in the JSON file and on the capacity page.
        unit: `bytes` or `us`.
        per: What one unit of the size is.
        measure: Returns the total at a size.
        form: `linear` or `n log n`: the total against the size. `each`: the
            measured value is that of one operation, in a system of the size.
    """

    name: str
    unit: str
    per: str
    measure: Callable[[int], float]
    sizes: tuple[int, ...] = SIZES
    form: str = "linear"


@attrs.frozen
class Slope:
    """A measured case: its points and their fit."""

    name: str
    unit: str
    per: str
    points: list[Point]
    fit: Fit
    exponent: float

    @property
    def value(self) -> float:
        """Cost of one unit; for `each`, that of an operation at the largest size."""
        return self.points[-1][1] if self.fit.form == "each" else self.fit.slope


CASES: list[Case] = []


def case(
    name: str,
    unit: str,
    *,
    per: str,
    sizes: tuple[int, ...] = SIZES,
    form: str = "linear",
) -> Callable[[Callable[[int], float]], Callable[[int], float]]:
    """Register a measurement `(size) -> total` as a case."""

    def register(measure: Callable[[int], float]) -> Callable[[int], float]:
        CASES.append(Case(name, unit, per, measure, sizes, form))
        return measure

    return register


def run_case(item: Case) -> Slope:
    """Measure a case at all its sizes and fit it."""
    points = [(float(size), item.measure(size)) for size in item.sizes]
    if item.form == "each":
        line = linear_fit(points)
        fit = Fit("each", line.base, line.slope, line.r2)
    elif item.form == "n log n":
        fit = n_log_n_fit(points)
    else:
        fit = linear_fit(points)
    exponent = growth_exponent([(size, max(value, 1e-9)) for size, value in points])
    return Slope(item.name, item.unit, item.per, points, fit, exponent)
