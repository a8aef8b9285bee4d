"""Registry of the entry core's handlers and systems."""

from __future__ import annotations

from ..foundation._core_registry import CoreRegistry
from ._entry_state import EntryState

ENTRY: CoreRegistry[EntryState] = CoreRegistry("entry")
