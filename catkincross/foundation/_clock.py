"""Monotonic clocks in whole milliseconds."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time."""

    def now_ms(self) -> int:
        """Return the time in milliseconds since an arbitrary fixed point."""


class SystemClock:
    """Clock of the host that includes the time for which the host was suspended.

    CLOCK_MONOTONIC stops while the host is suspended, so that a lease that expired in
    this time would seem valid.
    """

    def now_ms(self) -> int:
        """Return the time since the host's boot in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class ManualClock:
    """Clock for tests and simulations; `advance` sets its time.

    Args:
        start_ms: Initial time in milliseconds.
    """

    def __init__(self, start_ms: int = 0) -> None:
        self.time_ms = start_ms

    def now_ms(self) -> int:
        """Return the current time of this clock in milliseconds."""
        return self.time_ms

    def advance(self, duration_ms: int) -> int:
        """Advance the clock.

        Args:
            duration_ms: Time to add, in milliseconds; not negative.

        Returns:
            The new time in milliseconds.

        Raises:
            ValueError: If the duration is negative.
        """
        if duration_ms < 0:
            raise ValueError(f"a monotonic clock cannot go back by {-duration_ms} ms")
        self.time_ms += duration_ms
        return self.time_ms
