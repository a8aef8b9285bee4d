"""Registry of the entry's handlers and systems."""

from __future__ import annotations

from ._entry_state import EntryState
from ._systems import CoreRegistry

ENTRY: CoreRegistry[EntryState] = CoreRegistry("entry")
