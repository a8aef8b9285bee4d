"""One shard of jobs at its owner, with the records that wait to become durable."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any

import attrs

from ..jobs import (
    DEFAULT_RECORD_BYTES,
    AgentsUsed,
    AppendOutcome,
    Job,
    JobAccepted,
    JobCancelled,
    JobRecord,
    JobState,
    TasksEnded,
    encode_record,
    split_record,
)
from ._effects import Append

# An end that does not complete a step waits this long for others that share its append.
# The platform counts an end as durable after 100 ms.
END_BATCH_DELAY_MS = 40
# Pause before an append that failed, or whose outcome is not known, is repeated.
APPEND_RETRY_MS = 60
# An append that has reached this size takes no further record. The platform's store
# allows 2 MiB by default.
MAX_APPEND_BYTES = 1_048_576
# An append that has reached this size takes no further full record, so that ends and
# acceptances in the same append are not delayed by the records of many jobs.
MAX_REWRITE_BYTES = 262_144


class ShardPhase(enum.Enum):
    """Whether an owner has read the records of a shard."""

    CLAIMING = "claiming"
    OPEN = "open"


@attrs.frozen
class _PendingRecord:
    """An encoded record that is not durable yet, and the callbacks for its outcome.

    With `once`, `on_lost` is called when the first append of the record fails.
    """

    data: bytes
    on_durable: Callable[[int], None]
    on_lost: Callable[[bool], None]
    once: bool = False


def ignore_outcome(_: Any) -> None:
    """Do nothing: nobody waits for the outcome of a record."""


@attrs.define(eq=False)
class Shard:
    """State of one shard at its owner.

    Times are on the owner's clock, in milliseconds.

    Attributes:
        number: Number of the shard.
        epoch: Fencing epoch under which this owner writes.
        max_record_bytes: Largest record that the log takes, in bytes.
        phase: Whether the records of earlier owners have been read.
        jobs: Open jobs and jobs that ended recently, by job ID.
        open_jobs: Jobs without a final state, by job ID.
        recorded_ms: Time at which the newest full record of each job was written, by
            job ID; it may be before the start of this process.
        recorded_agents: Agents that the log names as possible holders of runs.
        agents_recorded_ms: Time at which the oldest of the records that name these
            agents was written.
        pending_agents: Agents whose `AgentsUsed` record is not durable yet.
        unresolved: Agents that may hold runs of earlier owners and have not reported
            the shard.
        unresolved_until_ms: Time by which the leases of the unresolved agents have
            ended and their workers have stopped the runs.
        pending_ends: Task name and run number of each run whose end is not durable yet.
        pending_accepts: Requests that wait for the acceptance of a job, by job ID.
        open_callbacks: Called with False when the shard opens, and with True when it
            is lost.
        append_failing_since_ms: Time of the first failure since the last successful
            append; None while appends succeed.
        sequence: Number of the newest append in this epoch.
        flush_at_ms: Time from which the queued records may be sent; None if none are
            queued.
    """

    number: int
    epoch: int
    phase: ShardPhase = ShardPhase.CLAIMING
    jobs: dict[str, Job] = attrs.field(factory=dict)
    open_jobs: dict[str, Job] = attrs.field(factory=dict)
    recorded_ms: dict[str, int] = attrs.field(factory=dict)
    recorded_agents: set[str] = attrs.field(factory=set)
    agents_recorded_ms: int = 0
    pending_agents: set[str] = attrs.field(factory=set)
    unresolved: set[str] = attrs.field(factory=set)
    unresolved_until_ms: int = 0
    pending_ends: set[tuple[str, int]] = attrs.field(factory=set)
    pending_accepts: dict[str, list[Any]] = attrs.field(factory=dict)
    open_callbacks: list[Callable[[int], None]] = attrs.field(factory=list)
    append_failing_since_ms: int | None = None
    sequence: int = 0
    flush_at_ms: int | None = None
    max_record_bytes: int = DEFAULT_RECORD_BYTES
    _queue: list[_PendingRecord] = attrs.field(factory=list)
    _in_flight: list[_PendingRecord] = attrs.field(factory=list)
    _rewrites: dict[str, Callable[[], JobRecord]] = attrs.field(factory=dict)
    _retry: bool = False

    def replay(self, record: JobRecord, now_ms: int, wall_ms: int) -> None:
        """Apply a record that was read from the log.

        Args:
            record: The record.
            now_ms: Current time on the process's clock, in milliseconds.
            wall_ms: Time of day, in milliseconds since 1970.
        """
        match record:
            case JobAccepted():
                job = Job.from_record(record, now_ms)
                self.jobs[record.spec.id] = job
                age_ms = max(0, wall_ms - (record.recorded_ms or record.accepted_ms))
                self.recorded_ms[record.spec.id] = now_ms - age_ms
                self.update_open_jobs(job)
            case TasksEnded(ends):
                for end in ends:
                    ended_job = self.jobs.get(end.job_id)
                    if ended_job is not None:
                        ended_job.apply_end(end, now_ms)
                        self.update_open_jobs(ended_job)
            case JobCancelled(job_id):
                found = self.jobs.get(job_id)
                if found is not None and found.final_state is None:
                    found.finish(JobState.CANCELLED, now_ms)
                    self.update_open_jobs(found)
            case AgentsUsed(names, replaces, recorded_ms):
                if replaces:
                    self.recorded_agents.clear()
                recorded_ms = now_ms - max(0, wall_ms - recorded_ms)
                self.add_recorded_agents(set(names), recorded_ms)

    def agents_record(self, wall_ms: int) -> AgentsUsed:
        """Return a record that changes nothing, to learn whether the epoch is in force.

        Args:
            wall_ms: Time of day, in milliseconds since 1970.
        """
        return AgentsUsed(tuple(sorted(self.recorded_agents)), recorded_ms=wall_ms)

    def add_recorded_agents(self, names: set[str], recorded_ms: int) -> None:
        """Add agents that the log names, by a record that was written at a time."""
        if not self.recorded_agents or recorded_ms < self.agents_recorded_ms:
            self.agents_recorded_ms = recorded_ms
        self.recorded_agents |= names

    def update_open_jobs(self, job: Job) -> None:
        """Add a job to the open jobs, or remove it if it has ended."""
        if job.final_state is None:
            self.open_jobs[job.spec.id] = job
        else:
            self.open_jobs.pop(job.spec.id, None)

    def forget(self, job_id: str) -> None:
        """Remove a job that no longer has to be known."""
        self.jobs.pop(job_id, None)
        self.open_jobs.pop(job_id, None)
        self.recorded_ms.pop(job_id, None)
        self._rewrites.pop(job_id, None)

    def append(
        self,
        record: JobRecord,
        now_ms: int,
        *,
        delay_ms: int = 0,
        on_durable: Callable[[int], None] = ignore_outcome,
        on_lost: Callable[[bool], None] = ignore_outcome,
        once: bool = False,
    ) -> None:
        """Queue a record for the next append.

        Args:
            record: The record.
            now_ms: Current time on the process's clock, in milliseconds.
            delay_ms: How long the record may wait for others to share an append, in
                milliseconds.
            on_durable: Called with the time once the record is durable.
            on_lost: Called if the record is given up before that, with whether it may
                be in the log nevertheless.
            once: Whether nobody waits for the record any more once an append of it has
                failed. The append is repeated all the same.
        """
        data = encode_record(record)
        self._queue.append(_PendingRecord(data, on_durable, on_lost, once))
        self._flush_by(now_ms + delay_ms)

    def rewrite(
        self, key: str, make_record: Callable[[], JobRecord], now_ms: int
    ) -> None:
        """Queue a full record, which replaces earlier records when it is replayed.

        The record is made when it is sent, and comes first in its append. It then
        states the effects of all records before it in the log, which are durable; the
        effects that it lacks are in records after it. One that is too large for the log
        is divided, within the same append.

        Args:
            key: What the record states anew, such as a job ID.
            make_record: Returns the record from the durable state at that time.
            now_ms: Current time on the process's clock, in milliseconds.
        """
        self._rewrites[key] = make_record
        self._flush_by(now_ms)

    def _flush_by(self, due_ms: int) -> None:
        if self.flush_at_ms is None or due_ms < self.flush_at_ms:
            self.flush_at_ms = due_ms

    def next_append(self, now_ms: int) -> Append | None:
        """Return the append to send now, or None.

        A shard has one append in flight at a time; records that are queued meanwhile
        share the next one.
        """
        if self.phase is not ShardPhase.OPEN:
            return None
        if self._in_flight:
            if not self._retry:
                return None
            self._retry = False
            return self._make_append(APPEND_RETRY_MS)
        if self.flush_at_ms is None or now_ms < self.flush_at_ms:
            return None
        size = self._take_rewrites()
        while self._queue and size < MAX_APPEND_BYTES:
            size += len(self._queue[0].data)
            self._in_flight.append(self._queue.pop(0))
        self.flush_at_ms = now_ms if self._queue or self._rewrites else None
        if not self._in_flight:
            return None
        self.sequence += 1
        return self._make_append(0)

    def _take_rewrites(self) -> int:
        """Make full records that are due, put them in flight, and return their size."""
        size = 0
        while self._rewrites and size < MAX_REWRITE_BYTES:
            make_record = self._rewrites.pop(next(iter(self._rewrites)))
            for record in split_record(make_record(), self.max_record_bytes):
                data = encode_record(record)
                size += len(data)
                self._in_flight.append(
                    _PendingRecord(data, ignore_outcome, ignore_outcome)
                )
        return size

    def _make_append(self, delay_ms: int) -> Append:
        records = tuple(pending.data for pending in self._in_flight)
        return Append(self.number, self.epoch, self.sequence, records, delay_ms)

    def handle_append_outcome(
        self, sequence: int, outcome: AppendOutcome, now_ms: int
    ) -> None:
        """Complete an append, or schedule its repetition if it failed.

        Outcomes of earlier appends are ignored. After `FENCED` the shard is dropped
        instead, see `fail_pending_records`.

        Args:
            sequence: Number of the append.
            outcome: Outcome of the append; not `FENCED`.
            now_ms: Current time on the process's clock, in milliseconds.
        """
        if sequence != self.sequence or not self._in_flight:
            return
        if outcome is not AppendOutcome.APPENDED:
            self._retry = True
            if self.append_failing_since_ms is None:
                self.append_failing_since_ms = now_ms
            self._give_up_waiting()
            return
        self.append_failing_since_ms = None
        done, self._in_flight = self._in_flight, []
        for pending in done:
            pending.on_durable(now_ms)

    def _give_up_waiting(self) -> None:
        """Tell those who wait for one append only that it has failed."""
        in_flight = self._in_flight
        for position, pending in enumerate(in_flight):
            if pending.once:
                in_flight[position] = _PendingRecord(
                    pending.data, ignore_outcome, ignore_outcome
                )
                pending.on_lost(True)

    def fail_pending_records(self) -> None:
        """Give up all records that are not durable, since the shard is dropped.

        Records in flight may be in the log; queued ones are not.
        """
        in_flight, queued_records = self._in_flight, self._queue
        self._in_flight, self._queue, self.flush_at_ms = [], [], None
        for pending in in_flight:
            pending.on_lost(True)
        for pending in queued_records:
            pending.on_lost(False)

    def fail_queued_requests(self) -> None:
        """Give up the queued records for which a request waits.

        Records of the append in flight are kept, since they may be in the log.
        """
        kept = [pending for pending in self._queue if pending.on_lost is ignore_outcome]
        failed = [
            pending for pending in self._queue if pending.on_lost is not ignore_outcome
        ]
        self._queue = kept
        for pending in failed:
            pending.on_lost(False)

    @property
    def idle(self) -> bool:
        """Whether all records are durable."""
        return not self._queue and not self._in_flight
