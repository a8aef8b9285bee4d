"""Running percentile estimates, and the earlier attempt of a hedged request."""

from __future__ import annotations

import attrs

# Smallest step by which a value moves the estimate, relative to the estimate; the
# first values take larger steps.
QUANTILE_STEP = 0.02


@attrs.define
class Quantile:
    """Running estimate of a percentile.

    Attributes:
        share: Share of the values that lie below the estimate, from 0 to 1.
        value: Current estimate.
        count: Number of values added.
    """

    share: float
    value: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """Add a value."""
        self.count += 1
        if self.count == 1:
            self.value = value
            return
        step = max(1.0, self.value) * max(QUANTILE_STEP, 1.0 / self.count)
        self.value += step * (self.share - (value <= self.value))
        self.value = max(0.0, self.value)


@attrs.frozen
class EarlierAttempt:
    """An attempt that still runs beside a hedge of the same request."""

    home: str
    attempt: int
