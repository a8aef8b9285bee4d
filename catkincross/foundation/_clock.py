"""The clock of every process, in whole milliseconds."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time."""

    def now_ms(self) -> int:
        """Return the time in milliseconds since an arbitrary fixed point."""


class SystemClock:
    """Clock of the host that keeps counting while process or host are suspended.

    The monotonic clock stands still during a suspension, and a lease that ended
    meanwhile would seem valid.
    """

    def now_ms(self) -> int:
        """Return the host's time since its start in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class ManualClock:
    """Clock that moves only when told to.

    Args:
        start_ms: The first reading, in milliseconds.
    """

    def __init__(self, start_ms: int = 0) -> None:
        self.time_ms = start_ms

    def now_ms(self) -> int:
        """Return the time set last, in milliseconds."""
        return self.time_ms

    def advance(self, duration_ms: int) -> int:
        """Move the clock forward.

        Args:
            duration_ms: How far to move, in milliseconds; not negative.

        Returns:
            The new reading in milliseconds.

        Raises:
            ValueError: If the duration is negative.
        """
        if duration_ms < 0:
            raise ValueError("a monotonic clock cannot go back")
        self.time_ms += duration_ms
        return self.time_ms
