"""The most recently folded records, kept for peers that lag behind."""

from __future__ import annotations

from collections import deque

import attrs

from ..protocol._messages import LogRecord

MAX_RECENT_RECORDS = 1_000


@attrs.define
class RecentRecords:
    """Consecutive records up to the version that was folded last.

    Attributes:
        after: Control version that the first kept record follows directly.
        version: Offset of the last kept record, or `after` if none is kept.
        records: The kept records in order, at most `MAX_RECENT_RECORDS`.
    """

    after: int = 0
    version: int = 0
    records: deque[LogRecord] = attrs.field(factory=deque)

    def add(self, record: LogRecord) -> None:
        """Add the record that was folded last, and drop the oldest excess record."""
        self.records.append(record)
        self.version = record.offset
        while len(self.records) > MAX_RECENT_RECORDS:
            self.after = self.records.popleft().offset

    def reset(self, version: int) -> None:
        """Remove all records after a snapshot has replaced the control state.

        Args:
            version: Control version of the snapshot.
        """
        self.records.clear()
        self.after = self.version = version

    def records_after(self, version: int) -> list[LogRecord] | None:
        """Return the records after a version, or None if some are no longer kept."""
        if version < self.after:
            return None
        return [record for record in self.records if record.offset > version]
