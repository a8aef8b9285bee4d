"""Concurrency limit of an upstream, adapted to its latency."""

from __future__ import annotations

import attrs

from ..settings._settings import ConcurrencySettings

# The baseline adopts lower run times quickly and higher ones slowly, so that a long
# overload does not become the baseline.
BASELINE_FALL_WEIGHT = 0.2
BASELINE_RISE_WEIGHT = 0.01


@attrs.define
class ConcurrencyLimit:
    """Limit with additive increase and multiplicative decrease per window of results.

    Attributes:
        limit: Number of tasks that may run at a time, rounded down when it is applied;
            the fraction is kept from window to window.
        baseline: Ratio of observed to expected run time without overload; None before
            the first window ends.
        ratio_sum: Sum of the ratios of observed to expected run time in this window.
        ratio_count: Number of results in this window.
        max_slots_in_use: Highest number of slots in use during this window.
    """

    settings: ConcurrencySettings
    limit: float
    baseline: float | None = None
    ratio_sum: float = 0.0
    ratio_count: int = 0
    max_slots_in_use: int = 0

    def observe(
        self, expected_ms: float, run_ms: float, slots_in_use: int, max_limit: int
    ) -> bool:
        """Record the run time of a task and adapt the limit at the end of a window.

        Args:
            expected_ms: Expected run time of the task on an upstream of mean speed.
            run_ms: Observed run time.
            slots_in_use: Number of slots in use when the task ended, including the
                task's own.
            max_limit: Upper bound of the limit: the smaller of the slots and the
                connections that the upstream announced.

        Returns:
            Whether the number of usable slots has changed.
        """
        self.ratio_sum += max(1.0, run_ms) / max(1.0, expected_ms)
        self.ratio_count += 1
        self.max_slots_in_use = max(self.max_slots_in_use, slots_in_use)
        if self.ratio_count < self.settings.window:
            return False
        mean_ratio = self.ratio_sum / self.ratio_count
        baseline = mean_ratio if self.baseline is None else self.baseline
        self.baseline = baseline + (
            BASELINE_FALL_WEIGHT if mean_ratio < baseline else BASELINE_RISE_WEIGHT
        ) * (mean_ratio - baseline)
        previous_limit = int(self.limit)
        if mean_ratio > self.settings.tolerance * baseline:
            self.limit = max(1.0, self.limit * self.settings.decrease)
        elif self.max_slots_in_use >= previous_limit:
            self.limit += 1
        self.limit = min(float(max_limit), self.limit)
        self.ratio_sum, self.ratio_count, self.max_slots_in_use = 0.0, 0, 0
        return int(self.limit) != previous_limit
