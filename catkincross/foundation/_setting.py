"""The attrs field of a setting."""

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
    """Return an attrs field that carries what the settings check needs.

    Args:
        default: Value if the key is absent; without it the key must be given.
        unit: Unit of the value, for messages and docs.
        low: Smallest allowed value.
        high: Largest allowed value.
        allowed: The only allowed values, for a choice.
        about: One sentence for the operators' page.
    """
    metadata = {
        "unit": unit,
        "low": low,
        "high": high,
        "allowed": allowed,
        "about": about,
    }
    return attrs.field(default=default, metadata=metadata, kw_only=True)
