"""Tables that track changed rows, and queues of due times."""

from __future__ import annotations

from .foundation._tables import DueQueue, InvariantError, Table

__all__ = ["DueQueue", "InvariantError", "Table"]
