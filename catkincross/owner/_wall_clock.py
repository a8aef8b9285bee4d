"""Time of day that does not follow the steps of a host's clock at once.

Load pattern: the time of day of some hosts jumps by seconds, either way, and jumps back
some seconds later. An owner that followed it would start occurrences too early.
"""

from __future__ import annotations

import attrs

# Drift and adjustments of a sound clock stay below this, in milliseconds.
STEP_MS = 100
# A step that has lasted this long is taken as the right time, in milliseconds; steps
# that are taken back last some seconds.
TRUSTED_AFTER_MS = 15_000


@attrs.define
class WallClock:
    """Offset of the time of day from a steady clock."""

    _offset_ms: int | None = None
    _stepped_offset_ms: int = 0
    _stepped_since_ms: int | None = None

    def offset_ms(self, now_ms: int, wall_ms: int) -> int:
        """Return the offset to use.

        Args:
            now_ms: Steady clock.
            wall_ms: Time of day of the host, in milliseconds since 1970.
        """
        seen_ms = wall_ms - now_ms
        if self._offset_ms is None or abs(seen_ms - self._offset_ms) < STEP_MS:
            self._offset_ms = seen_ms
            self._stepped_since_ms = None
            return seen_ms
        same = abs(seen_ms - self._stepped_offset_ms) < STEP_MS
        if self._stepped_since_ms is None or not same:
            self._stepped_since_ms = now_ms
        self._stepped_offset_ms = seen_ms
        if now_ms - self._stepped_since_ms >= TRUSTED_AFTER_MS:
            self._offset_ms = seen_ms
        return self._offset_ms
