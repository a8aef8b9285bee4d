"""The volatile jobs of one entry, which are not stored."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any

import attrs

from ..jobs import VOLATILE_SHARD, Job, JobRecord, TaskEnd
from ._shard import Shard, ShardPhase, ignore_outcome

# The run numbers of a forgotten job are remembered for this long, in milliseconds.
# Agents report crashes for 10 s after they have noticed them; a worker that is lost
# shows its crash when it is back, which takes some seconds.
RUN_NUMBERS_MEMORY_MS = 30_000


class VolatileChange(enum.Enum):
    """What has become of a volatile job; the values name fields of `VolatileJobs`."""

    BEGUN = "begun"
    ENDED = "ended"
    GIVEN_UP = "given_up"
    DROPPED = "dropped"


@attrs.frozen(eq=False)
class Resubmission:
    """A repeated submission of a job whose runs have to end first.

    Attributes:
        request: The request to answer.
        submit: Carries out the submission.
    """

    request: Any
    submit: Callable[[], None]


@attrs.define(eq=False)
class VolatileShard(Shard):
    """The volatile jobs of one entry, which are not stored.

    The epoch is the incarnation of the entry's process.

    Attributes:
        requests: Requests that wait for the end of a job, by job ID.
        resubmissions: Repeated submissions of a job that was given up, by job ID; each
            is carried out once no worker has a run of the job.
        given_up_ms: Time at which each job was given up that may have run, by job ID.
        highest_runs: Highest run number of each job that was forgotten lately, by job
            ID, with the time at which it was recorded; the oldest comes first. If the
            job begins anew, its runs are numbered above it.
        crash_ends: Crashes under the tasks of jobs that were forgotten, by job ID, with
            the time at which the job was forgotten.
    """

    requests: dict[str, list[Any]] = attrs.field(factory=dict)
    resubmissions: dict[str, list[Resubmission]] = attrs.field(factory=dict)
    given_up_ms: dict[str, int] = attrs.field(factory=dict)
    highest_runs: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    crash_ends: dict[str, tuple[int, tuple[TaskEnd, ...]]] = attrs.field(factory=dict)

    @classmethod
    def for_process(cls, incarnation: int) -> VolatileShard:
        """Return the shard of the entry's process with this incarnation."""
        return cls(VOLATILE_SHARD, incarnation, ShardPhase.OPEN)

    def remember_runs(self, job_id: str, run: int, now_ms: int) -> None:
        """Keep the number of a run of a forgotten job, which it must not use again."""
        _, highest_run = self.highest_runs.pop(job_id, (0, 0))
        if run or highest_run:
            self.highest_runs[job_id] = now_ms, max(run, highest_run)

    def remembered_run(self, job_id: str) -> int:
        """Return the highest number of the earlier runs of a job; 0 for none."""
        return self.highest_runs.get(job_id, (0, 0))[1]

    def forget_run_numbers(self, now_ms: int) -> None:
        """Drop the run numbers of jobs whose late ends have all arrived."""
        while self.highest_runs:
            job_id, (recorded_ms, _) = next(iter(self.highest_runs.items()))
            if now_ms - recorded_ms <= RUN_NUMBERS_MEMORY_MS:
                break
            del self.highest_runs[job_id]

    def remember_crashes(self, job: Job, now_ms: int) -> None:
        """Keep the crashes under a job that is forgotten, for a repeated submission."""
        ends = job.crash_ends()
        if ends:
            self.crash_ends[job.spec.id] = now_ms, ends

    def remembered_crashes(self, job_id: str, now_ms: int) -> tuple[TaskEnd, ...]:
        """Return the crashes under an earlier submission of a job, and keep them."""
        _, ends = self.crash_ends.get(job_id, (0, ()))
        if ends:
            self.crash_ends[job_id] = now_ms, ends
        return ends

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
        """Count a record as durable at once: nothing of this shard is stored."""
        on_durable(now_ms)
