"""The records folded last, kept for peers that lag behind."""

from __future__ import annotations

from collections import deque

import attrs

from ..protocol._messages import LogRecord

KEPT_RECORDS = 1_000


@attrs.define
class RecentRecords:
    """Records without a gap, up to the version that was folded last.

    Attributes:
        after: Version that the first kept record follows directly.
        version: Offset of the last record, or `after` if there is none.
    """

    after: int = 0
    version: int = 0
    records: deque[LogRecord] = attrs.field(factory=deque)

    def add(self, record: LogRecord) -> None:
        """Add the record that was folded last."""
        self.records.append(record)
        self.version = record.offset
        while len(self.records) > KEPT_RECORDS:
            self.after = self.records.popleft().offset

    def restart(self, version: int) -> None:
        """Forget all records, after the state was replaced by a snapshot."""
        self.records.clear()
        self.after = self.version = version

    def following(self, version: int) -> list[LogRecord] | None:
        """Return the records after a version, or None if some are not kept."""
        if version < self.after:
            return None
        return [record for record in self.records if record.offset > version]
