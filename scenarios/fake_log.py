"""The control stream of the platform's log, in memory."""

from __future__ import annotations

import attrs

from catkincross.messages import LogRecord


@attrs.define
class FakeLog:
    """Records with offsets from 1.

    Attributes:
        first: Oldest offset that is kept.
        records: All records that are kept, oldest first.
    """

    first: int = 1
    records: list[LogRecord] = attrs.field(factory=list)

    @property
    def tail(self) -> int:
        """Offset of the last record; `first - 1` if none is kept."""
        return self.first + len(self.records) - 1

    def append(self, body: bytes) -> int:
        """Append a record and return its offset."""
        offset = self.tail + 1
        self.records.append(LogRecord(offset, body))
        return offset

    def read(self, from_offset: int, limit: int = 1_000) -> list[LogRecord] | None:
        """Return records from an offset, or None if it has expired."""
        if from_offset < self.first:
            return None
        start = from_offset - self.first
        return self.records[start : start + limit]

    def expire(self, before: int) -> None:
        """Remove the records with a lower offset."""
        count = max(0, min(before, self.tail + 1) - self.first)
        del self.records[:count]
        self.first += count
