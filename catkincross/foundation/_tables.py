"""Tables that track changed rows, and a queue of due times."""

from __future__ import annotations

import heapq
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Row = TypeVar("Row")


class InvariantError(RuntimeError):
    """An invariant of the program is broken; the process must stop."""


class Table(Generic[Key, Row]):
    """Rows by key in order of insertion, and keys of the rows that have changed.

    `take_changed` returns the changed keys and clears them.

    Args:
        name: Name of the table, used in error messages.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.rows: dict[Key, Row] = {}
        # A dict keeps the order of changes, so that runs are reproducible.
        self.changed: dict[Key, None] = {}

    def __len__(self) -> int:
        return len(self.rows)

    def __contains__(self, key: object) -> bool:
        return key in self.rows

    def __iter__(self) -> Iterator[Row]:
        return iter(self.rows.values())

    def __repr__(self) -> str:
        return f"<Table {self.name}: {len(self.rows)} rows>"

    def get(self, key: Key) -> Row | None:
        """Return the row of a key, or None."""
        return self.rows.get(key)

    def add(self, key: Key, row: Row) -> Row:
        """Add a row under a new key.

        Raises:
            InvariantError: If the key already has a row.
        """
        if key in self.rows:
            raise InvariantError(f"table {self.name} already has a row {key!r}")
        self.rows[key] = row
        self.changed[key] = None
        return row

    def put(self, key: Key, row: Row) -> Row:
        """Add or replace the row of a key."""
        self.rows[key] = row
        self.changed[key] = None
        return row

    def mark_changed(self, key: Key) -> None:
        """Mark a row as changed."""
        self.changed[key] = None

    def remove(self, key: Key) -> Row | None:
        """Remove the row of a key and its change mark; return the row, or None."""
        self.changed.pop(key, None)
        return self.rows.pop(key, None)

    def take_changed(self) -> list[Key]:
        """Return the keys changed since the last call, in the order of change."""
        keys = list(self.changed)
        self.changed.clear()
        return keys


class DueQueue(Generic[Key]):
    """Priority queue of keys by due time.

    `set` takes O(log n). A replaced or cancelled heap entry stays until it reaches the
    head.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Key]] = []
        self.entries: dict[Key, tuple[int, int]] = {}
        self.sequence = 0

    def __len__(self) -> int:
        return len(self.entries)

    def set(self, key: Key, due_ms: int) -> None:
        """Set or replace the due time of a key."""
        self.sequence += 1
        self.entries[key] = (due_ms, self.sequence)
        heapq.heappush(self.heap, (due_ms, self.sequence, key))

    def cancel(self, key: Key) -> None:
        """Remove a key; unknown keys are ignored."""
        self.entries.pop(key, None)

    def next_due_ms(self) -> int | None:
        """Return the earliest due time in milliseconds, or None."""
        self._drop_stale_entries()
        return self.heap[0][0] if self.heap else None

    def pop_due(self, now_ms: int) -> list[Key]:
        """Remove and return the keys due at `now_ms` or before, earliest first."""
        keys = []
        while True:
            self._drop_stale_entries()
            if not self.heap or self.heap[0][0] > now_ms:
                return keys
            _, _, key = heapq.heappop(self.heap)
            del self.entries[key]
            keys.append(key)

    def _drop_stale_entries(self) -> None:
        while self.heap:
            due_ms, sequence, key = self.heap[0]
            if self.entries.get(key) == (due_ms, sequence):
                return
            heapq.heappop(self.heap)
