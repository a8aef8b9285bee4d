"""In-memory stand-in for the platform's store, for the topic of jobs.

It implements the published rules for appends by producers: a higher epoch fences lower
ones, sequence numbers of an epoch are consecutive, and a repeated append is answered as
the first one without being applied again.
"""

from __future__ import annotations

import attrs

from catkincross.owner import AppendOutcome

# Number of last appends of an epoch that are recognised as repeats.
REMEMBERED_SEQUENCES = 5


@attrs.define
class Partition:
    """One partition.

    Attributes:
        records: All records, oldest first.
        epoch: Highest epoch of an append so far; -1 before the first.
        sequence: Sequence of the last append in the epoch; None before the first.
        applied: Sequences of all appends in the epoch.
    """

    records: list[bytes] = attrs.field(factory=list)
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
        partitions: Partitions by shard.
    """

    down: bool = False
    lose_answers: int = 0
    partitions: dict[int, Partition] = attrs.field(factory=dict)

    def append(
        self, shard: int, epoch: int, sequence: int, records: tuple[bytes, ...]
    ) -> AppendOutcome:
        """Append records; an append without records only sets the epoch.

        Raises:
            AssertionError: If the sequence does not follow the last one of the epoch.
        """
        if self.down:
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
        if self.lose_answers:
            self.lose_answers -= 1
            return AppendOutcome.UNKNOWN
        return AppendOutcome.APPENDED

    def read(self, shard: int) -> list[bytes]:
        """Return all records of a shard."""
        return list(self.partitions.setdefault(shard, Partition()).records)
