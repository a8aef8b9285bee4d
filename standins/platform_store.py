"""Stand-in of the platform's store for shards of jobs, in memory.

It keeps the published rules of appends by producers: epochs fence, a sequence number
must follow the last one, and a repeat gets the first answer.
"""

from __future__ import annotations

import attrs

from catkincross.owner import AppendOutcome

# Appends whose answer is repeated.
REMEMBERED_SEQUENCES = 5


@attrs.define
class Partition:
    """One partition."""

    records: list[bytes] = attrs.field(factory=list)
    epoch: int = -1
    sequence: int | None = None
    applied: list[int] = attrs.field(factory=list)


@attrs.define
class PlatformStore:
    """Partitions of the topic of jobs.

    Attributes:
        down: Whether calls are rejected.
        lose_answers: Number of appends that are carried out and not answered.
    """

    down: bool = False
    lose_answers: int = 0
    partitions: dict[int, Partition] = attrs.field(factory=dict)

    def append(
        self, shard: int, epoch: int, sequence: int, records: tuple[bytes, ...]
    ) -> AppendOutcome:
        """Append records, or set the epoch if there are none."""
        if self.down:
            return AppendOutcome.BUSY
        partition = self.partitions.setdefault(shard, Partition())
        if epoch < partition.epoch:
            return AppendOutcome.FENCED
        if epoch > partition.epoch:
            partition.epoch, partition.sequence, partition.applied = epoch, None, []
        elif sequence in partition.applied[-REMEMBERED_SEQUENCES:]:
            return AppendOutcome.DONE
        elif partition.sequence is not None and sequence != partition.sequence + 1:
            raise AssertionError(f"append {sequence} after {partition.sequence}")
        partition.sequence = sequence
        partition.applied.append(sequence)
        partition.records.extend(records)
        if self.lose_answers:
            self.lose_answers -= 1
            return AppendOutcome.UNKNOWN
        return AppendOutcome.DONE

    def read(self, shard: int) -> list[bytes]:
        """Return all records of a shard."""
        return list(self.partitions.setdefault(shard, Partition()).records)
