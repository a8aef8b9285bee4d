"""Ramp-up: the share of its slots that a restored upstream may use."""

from __future__ import annotations

RAMP_STEPS = 10


def ramp_slots(slots: int, restored_ms: int | None, now_ms: int, ramp_ms: int) -> int:
    """Return the number of slots that may be used, at least 1.

    Args:
        slots: All slots of the upstream.
        restored_ms: When the upstream was restored, or None if it never was.
        now_ms: The time now.
        ramp_ms: Time over which the share grows to all slots.
    """
    if restored_ms is None or now_ms >= restored_ms + ramp_ms:
        return slots
    step = 1 + (now_ms - restored_ms) * RAMP_STEPS // ramp_ms
    return max(1, slots * step // RAMP_STEPS)


def next_step_ms(restored_ms: int, now_ms: int, ramp_ms: int) -> int | None:
    """Return when the share next grows, or None once the ramp is complete."""
    if now_ms >= restored_ms + ramp_ms:
        return None
    step = 1 + (now_ms - restored_ms) * RAMP_STEPS // ramp_ms
    return restored_ms + -(-step * ramp_ms // RAMP_STEPS)
