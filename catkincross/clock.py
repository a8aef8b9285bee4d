"""Monotonic clocks in milliseconds."""

from __future__ import annotations

from .foundation._clock import Clock, ManualClock, SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock"]
