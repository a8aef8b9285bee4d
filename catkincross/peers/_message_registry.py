"""Registry of the classes of messages between processes."""

from __future__ import annotations

from typing import Any

# Message classes by the name that stands for them on the wire.
MESSAGE_CLASSES: dict[str, type[Any]] = {}


def register_message(cls: type[Any]) -> type[Any]:
    """Register a message class under its name, and return it."""
    MESSAGE_CLASSES[cls.__name__] = cls
    return cls
