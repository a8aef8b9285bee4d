"""Defines attrs fields of settings classes."""

from __future__ import annotations

from typing import Any

import attrs


def setting(
    default: Any = attrs.NOTHING,
    *,
    unit: str = "",
    low: float | None = None,
    high: float | None = None,
    allowed: tuple[str, ...] = (),
    about: str = "",
) -> Any:
    """Return an attrs field whose metadata holds the unit and bounds of a setting.

    Args:
        default: Value if the key is absent; without a default the key is required.
        unit: Unit of the value, for messages and docs.
        low: Smallest allowed number, or least length of a string or list.
        high: Largest allowed number, or greatest length of a string or list.
        allowed: All allowed values, for a setting with a fixed set of values.
        about: Description of the setting in one sentence, for the operators' page.
    """
    metadata = {
        "unit": unit,
        "low": low,
        "high": high,
        "allowed": allowed,
        "about": about,
    }
    return attrs.field(default=default, metadata=metadata, kw_only=True)
