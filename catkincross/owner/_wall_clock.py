"""Time of day that ignores short-lived steps of the host's clock.

The clock of some hosts steps by seconds, forwards or backwards, and steps back some
seconds later. An owner that followed it would start scheduled tasks too early.
"""

from __future__ import annotations

import attrs

# A change of the offset by this or more counts as a step; the drift and the adjustments
# of a working clock stay below it.
STEP_THRESHOLD_MS = 100
# A step that has lasted this long is accepted; steps that are reverted last some
# seconds.
STEP_ACCEPTED_AFTER_MS = 15_000


@attrs.define
class WallClock:
    """Offset of the time of day from the monotonic clock.

    A step of the offset is ignored until it has lasted `STEP_ACCEPTED_AFTER_MS`.
    """

    _offset_ms: int | None = None
    _stepped_offset_ms: int = 0
    _stepped_since_ms: int | None = None

    def offset_ms(self, now_ms: int, wall_ms: int) -> int:
        """Update the offset from readings of both clocks, and return the one to use.

        Args:
            now_ms: Current time on the process's clock, in milliseconds.
            wall_ms: Time of day of the host, in milliseconds since 1970.
        """
        measured_ms = wall_ms - now_ms
        if (
            self._offset_ms is None
            or abs(measured_ms - self._offset_ms) < STEP_THRESHOLD_MS
        ):
            self._offset_ms = measured_ms
            self._stepped_since_ms = None
            return measured_ms
        same_step = abs(measured_ms - self._stepped_offset_ms) < STEP_THRESHOLD_MS
        if self._stepped_since_ms is None or not same_step:
            self._stepped_since_ms = now_ms
        self._stepped_offset_ms = measured_ms
        if now_ms - self._stepped_since_ms >= STEP_ACCEPTED_AFTER_MS:
            self._offset_ms = measured_ms
        return self._offset_ms
