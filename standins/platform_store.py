"""In-memory stand-in for the platform's store, for the topic of jobs.

It implements the published rules for appends by producers: a higher epoch fences lower
ones, sequence numbers of an epoch are consecutive, and a repeated append is answered as
the first one without being applied again.
"""

from __future__ import annotations

import attrs

from catkincross.jobs import DEFAULT_RECORD_BYTES
from catkincross.owner import AppendOutcome

# Number of last appends of an epoch that are recognised as repeats.
REMEMBERED_SEQUENCES = 5


@attrs.define
class Partition:
    """One partition.

    Attributes:
        records: All records that have not expired, oldest first.
        appended_ms: Time at which each of them was appended.
        epoch: Highest epoch of an append so far; -1 before the first.
        sequence: Sequence of the last append in the epoch; None before the first.
        applied: Sequences of all appends in the epoch.
    """

    records: list[bytes] = attrs.field(factory=list)
    appended_ms: list[int] = attrs.field(factory=list)
    epoch: int = -1
    sequence: int | None = None
    applied: list[int] = attrs.field(factory=list)


@attrs.define
class PlatformStore:
    """Partitions of the topic of jobs.

    Attributes:
        down: Whether appends are rejected without effect.
        lose_answers: Number of next appends that take effect but whose outcome the
            producer does not learn.
        max_record_bytes: Largest record; an append with a larger one is rejected.
        keep_ms: Age at which records expire, in milliseconds; None for never.
        now_ms: Current time; set by the caller.
        partitions: Partitions by shard.
    """

    down: bool = False
    lose_answers: int = 0
    max_record_bytes: int = DEFAULT_RECORD_BYTES
    keep_ms: int | None = None
    now_ms: int = 0
    partitions: dict[int, Partition] = attrs.field(factory=dict)

    def append(
        self, shard: int, epoch: int, sequence: int, records: tuple[bytes, ...]
    ) -> AppendOutcome:
        """Append records; an append without records only sets the epoch.

        Raises:
            AssertionError: If the sequence does not follow the last one of the epoch.
        """
        if self.down or any(len(data) > self.max_record_bytes for data in records):
            return AppendOutcome.NOT_APPENDED
        partition = self.partitions.setdefault(shard, Partition())
        if epoch < partition.epoch:
            return AppendOutcome.FENCED
        if epoch > partition.epoch:
            partition.epoch, partition.sequence, partition.applied = epoch, None, []
        elif sequence in partition.applied[-REMEMBERED_SEQUENCES:]:
            return AppendOutcome.APPENDED
        elif partition.sequence is not None and sequence != partition.sequence + 1:
            raise AssertionError(f"append {sequence} after {partition.sequence}")
        partition.sequence = sequence
        partition.applied.append(sequence)
        partition.records.extend(records)
        partition.appended_ms.extend(self.now_ms for _ in records)
        if self.lose_answers:
            self.lose_answers -= 1
            return AppendOutcome.UNKNOWN
        return AppendOutcome.APPENDED

    def read(self, shard: int) -> list[bytes]:
        """Return all records of a shard that have not expired."""
        partition = self.partitions.setdefault(shard, Partition())
        if self.keep_ms is not None:
            oldest_ms = self.now_ms - self.keep_ms
            expired = sum(at_ms < oldest_ms for at_ms in partition.appended_ms)
            del partition.records[:expired], partition.appended_ms[:expired]
        return list(partition.records)
