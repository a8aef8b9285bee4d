"""One shard of jobs at its owner, and the queue of its appends."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any

import attrs

from ..jobs import (
    VOLATILE_SHARD,
    AgentsUsed,
    Job,
    JobAccepted,
    JobCancelled,
    JobRecord,
    JobState,
    TasksEnded,
    encode_record,
)
from ._effects import Append, AppendOutcome

# Ends that do not complete a step wait this long for others, in milliseconds, so that
# they share an append; the platform counts an end as noted after 100 ms.
END_BATCH_DELAY_MS = 40
# Pause before an append that the store rejected is repeated, in milliseconds.
APPEND_RETRY_MS = 60
# Bytes in one append; the platform's store allows 2 MiB by default.
MAX_APPEND_BYTES = 1_048_576


class ShardPhase(enum.Enum):
    """How far an owner has a shard."""

    CLAIMING = "claiming"
    OPEN = "open"


@attrs.frozen
class _PendingRecord:
    data: bytes
    on_durable: Callable[[int], None]
    on_lost: Callable[[bool], None]


def _ignore(_: Any) -> None:
    return None


@attrs.define(eq=False)
class Shard:
    """Jobs of one shard.

    Attributes:
        number: The shard.
        epoch: Epoch under which this owner writes.
        phase: How far the owner has it.
        jobs: Jobs that are known, also ended ones.
        open_jobs: Jobs that have not ended.
        recorded_ms: When the newest full record of each job was written or read.
        recorded_agents: Agents that the log names as possible holders of tasks.
        pending_agents: Agents whose naming is on the way to the log.
        unresolved: Agents that may hold tasks of earlier owners and have not reported.
        unresolved_until_ms: When these have let go of all tasks.
        pending_ends: Runs whose end is on the way to the log.
        pending_accepts: Requests that wait for the acceptance of a job.
        open_callbacks: Calls that wait for the shard to open.
        append_failing_since_ms: Since when appends fail; None while they succeed.
    """

    number: int
    epoch: int
    phase: ShardPhase = ShardPhase.CLAIMING
    jobs: dict[str, Job] = attrs.field(factory=dict)
    open_jobs: dict[str, Job] = attrs.field(factory=dict)
    recorded_ms: dict[str, int] = attrs.field(factory=dict)
    recorded_agents: set[str] = attrs.field(factory=set)
    pending_agents: set[str] = attrs.field(factory=set)
    unresolved: set[str] = attrs.field(factory=set)
    unresolved_until_ms: int = 0
    pending_ends: set[tuple[str, int]] = attrs.field(factory=set)
    pending_accepts: dict[str, list[Any]] = attrs.field(factory=dict)
    open_callbacks: list[Callable[[int], None]] = attrs.field(factory=list)
    append_failing_since_ms: int | None = None
    sequence: int = 0
    flush_at_ms: int | None = None
    _queue: list[_PendingRecord] = attrs.field(factory=list)
    _in_flight: list[_PendingRecord] = attrs.field(factory=list)
    _retry: bool = False

    def replay(self, record: JobRecord, now_ms: int) -> None:
        """Apply a record that was read from the log."""
        match record:
            case JobAccepted():
                job = Job.from_record(record, now_ms)
                self.jobs[record.spec.id] = job
                self.recorded_ms[record.spec.id] = now_ms
                self.update_open_jobs(job)
            case TasksEnded(ends):
                for end in ends:
                    ended_job = self.jobs.get(end.job_id)
                    if ended_job is not None:
                        ended_job.apply_end(end, now_ms)
                        self.update_open_jobs(ended_job)
            case JobCancelled(job_id):
                found = self.jobs.get(job_id)
                if found is not None and found.state_end is None:
                    found.finish(JobState.CANCELLED, now_ms)
                    self.update_open_jobs(found)
            case AgentsUsed(names, replaces):
                self.recorded_agents = (
                    set(names) if replaces else self.recorded_agents | set(names)
                )

    def update_open_jobs(self, job: Job) -> None:
        """Keep the table of open jobs in step with a job's state."""
        if job.state_end is None:
            self.open_jobs[job.spec.id] = job
        else:
            self.open_jobs.pop(job.spec.id, None)

    def forget(self, job_id: str) -> None:
        """Drop a job that nobody may ask for any more."""
        self.jobs.pop(job_id, None)
        self.open_jobs.pop(job_id, None)
        self.recorded_ms.pop(job_id, None)

    def append(
        self,
        record: JobRecord,
        now_ms: int,
        *,
        delay_ms: int = 0,
        on_durable: Callable[[int], None] = _ignore,
        on_lost: Callable[[bool], None] = _ignore,
    ) -> None:
        """Queue a record.

        Args:
            record: The record.
            now_ms: Time.
            delay_ms: How long it may wait for others.
            on_durable: Is called with the time once the record is in the log.
            on_lost: Is called if the shard is lost first, with whether the record may
                be in the log.
        """
        self._queue.append(_PendingRecord(encode_record(record), on_durable, on_lost))
        due = now_ms + delay_ms
        if self.flush_at_ms is None or due < self.flush_at_ms:
            self.flush_at_ms = due

    def next_append(self, now_ms: int) -> Append | None:
        """Return the append to send now, or None.

        One append of a shard is under way at a time; records that come meanwhile
        share the next one.
        """
        if self.phase is not ShardPhase.OPEN:
            return None
        if self._in_flight:
            if not self._retry:
                return None
            self._retry = False
            return self._append(APPEND_RETRY_MS)
        if not self._queue or self.flush_at_ms is None or now_ms < self.flush_at_ms:
            return None
        size = 0
        while self._queue and size < MAX_APPEND_BYTES:
            size += len(self._queue[0].data)
            self._in_flight.append(self._queue.pop(0))
        self.flush_at_ms = now_ms if self._queue else None
        self.sequence += 1
        return self._append(0)

    def _append(self, wait_ms: int) -> Append:
        records = tuple(queued.data for queued in self._in_flight)
        return Append(self.number, self.epoch, self.sequence, records, wait_ms)

    def appended(self, sequence: int, outcome: AppendOutcome, now_ms: int) -> None:
        """Take the outcome of an append; `FENCED` is for `lost`."""
        if sequence != self.sequence or not self._in_flight:
            return
        if outcome is not AppendOutcome.DONE:
            self._retry = True
            if self.append_failing_since_ms is None:
                self.append_failing_since_ms = now_ms
            return
        self.append_failing_since_ms = None
        done, self._in_flight = self._in_flight, []
        for queued in done:
            queued.on_durable(now_ms)

    def fail_pending_records(self) -> None:
        """Give up all that waits for the log: another owner writes the shard."""
        in_flight, queued_records = self._in_flight, self._queue
        self._in_flight, self._queue, self.flush_at_ms = [], [], None
        for queued in in_flight:
            queued.on_lost(True)
        for queued in queued_records:
            queued.on_lost(False)

    def fail_queued_requests(self) -> None:
        """Give up acceptances that no append carries yet."""
        kept = [queued for queued in self._queue if queued.on_lost is _ignore]
        failed = [queued for queued in self._queue if queued.on_lost is not _ignore]
        self._queue = kept
        for queued in failed:
            queued.on_lost(False)

    @property
    def idle(self) -> bool:
        """Whether nothing waits for the log."""
        return not self._queue and not self._in_flight


@attrs.define(eq=False)
class VolatileShard(Shard):
    """Volatile jobs of one entry: no log, and the entry's process is the epoch.

    Attributes:
        requests: Requests that wait for the end of each job.
        resubmissions: Calls that wait until a given-up job has left its workers.
    """

    requests: dict[str, list[Any]] = attrs.field(factory=dict)
    resubmissions: dict[str, list[Callable[[], None]]] = attrs.field(factory=dict)

    @classmethod
    def for_process(cls, incarnation: int) -> VolatileShard:
        """Return the shard of a process."""
        return cls(VOLATILE_SHARD, incarnation, ShardPhase.OPEN)

    def append(
        self,
        record: JobRecord,
        now_ms: int,
        *,
        delay_ms: int = 0,
        on_durable: Callable[[int], None] = _ignore,
        on_lost: Callable[[bool], None] = _ignore,
    ) -> None:
        """Apply a record at once: nothing of the shard is written."""
        on_durable(now_ms)
