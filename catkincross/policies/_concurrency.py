"""Limit of concurrent tasks for an upstream that adapts to its latency."""

from __future__ import annotations

import attrs

from ..settings._settings import ConcurrencySettings

# The base follows faster answers quickly and slower ones slowly, so that a long
# overload does not become the normal state.
BASE_DOWN = 0.2
BASE_UP = 0.01


@attrs.define
class ConcurrencyLimit:
    """Additive increase and multiplicative decrease by windows of results.

    Attributes:
        limit: Tasks that may run at a time.
        base: Run time relative to the expected one without overload, or None.
        total: Sum of the relative run times of this window.
        count: Results of this window.
        most_held: Most slots in use during this window.
    """

    settings: ConcurrencySettings
    limit: float
    base: float | None = None
    total: float = 0.0
    count: int = 0
    most_held: int = 0

    def observe(self, expected_ms: float, run_ms: float, held: int, most: int) -> bool:
        """Take the run time of a task.

        Args:
            expected_ms: Run time expected of the task on any upstream.
            run_ms: Run time observed.
            held: Slots in use when it ended.
            most: Slots and connections that the upstream announced.

        Returns:
            Whether the usable number of slots has changed.
        """
        self.total += max(1.0, run_ms) / max(1.0, expected_ms)
        self.count += 1
        self.most_held = max(self.most_held, held)
        if self.count < self.settings.window:
            return False
        mean = self.total / self.count
        base = mean if self.base is None else self.base
        self.base = base + (BASE_DOWN if mean < base else BASE_UP) * (mean - base)
        before = int(self.limit)
        if mean > self.settings.tolerance * base:
            self.limit = max(1.0, self.limit * self.settings.decrease)
        elif self.most_held >= before:
            self.limit += 1
        self.limit = min(float(most), self.limit)
        self.total, self.count, self.most_held = 0.0, 0, 0
        return int(self.limit) != before
