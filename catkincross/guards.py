"""Switches that disable safety checks, for tests."""

from __future__ import annotations

from .foundation._guards import ALL_GUARDS, Guards

__all__ = ["ALL_GUARDS", "Guards"]
