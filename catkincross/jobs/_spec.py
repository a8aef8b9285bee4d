"""Specification of a job: its steps, its schedule and the policy of its queue."""

from __future__ import annotations

import attrs
import xxhash

# Shard number of volatile jobs. Each entry has its own such shard, which has no log.
VOLATILE_SHARD = -1


@attrs.frozen
class Step:
    """A group of tasks of a job that have the same requirements.

    Attributes:
        count: Number of tasks.
        cpu: Processor capacity that a task needs, in millicores.
        memory_mb: Memory that a task needs, in MB.
        gpu: Number of accelerators that a task needs.
        estimate_ms: Declared run time of a task, in milliseconds; often far off.
        after: Numbers of earlier steps whose tasks must all be done before this step
            starts.
        checkpointing: Whether a task can resume from a saved checkpoint.
        requires: Label that the worker must have; empty for none.
        data_rack: Rack on which a task runs fastest; empty for none.
        anti_affinity: Largest number of the step's tasks on one worker; 0 for no limit.
        allow_duplicates: Whether several runs of a task may be in progress at the same
            time; the first end counts.
        long_running: Whether a task runs until its job is cancelled; it is restarted
            whenever a run of it ends, whatever the outcome.
        gang: Whether the tasks are scheduled as a gang: they start together under the
            same run number, and the end of one is the end of all.
        same_rack: Whether a gang runs slower when it spans more than one rack.
    """

    count: int
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    requires: str = ""
    data_rack: str = ""
    anti_affinity: int = 0
    allow_duplicates: bool = False
    long_running: bool = False
    gang: bool = False
    same_rack: bool = False


@attrs.frozen
class QueuePolicy:
    """Settings of a queue, as in force when a job is accepted.

    Attributes:
        queue: Name of the queue.
        service: Service whose workers run the tasks.
        priority: Priority of the queue; 0 is the highest.
        max_attempts: Number of failed runs of a task, or of a gang's tasks together,
            after which the job fails.
        stretch: Factor on the ideal run time in the latency objective.
        slo_ms: Milliseconds that the latency objective adds to the stretched run time.
    """

    queue: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slo_ms: int = 0


@attrs.frozen
class Schedule:
    """Recurring start times of a job's steps; occurrences may overlap.

    Attributes:
        count: Number of occurrences.
        first_ms: Start of the first occurrence, in milliseconds since 1970.
        interval_ms: Time between the starts of consecutive occurrences, in
            milliseconds.
    """

    count: int
    first_ms: int
    interval_ms: int

    def due_ms(self, occurrence: int) -> int:
        """Return the start of an occurrence, in milliseconds since 1970."""
        return self.first_ms + occurrence * self.interval_ms


@attrs.frozen
class JobSpec:
    """A job as submitted.

    Attributes:
        id: ID of the job, chosen by the client account.
        payload: Text passed to each task.
        steps: Steps; a step is numbered by its position.
        policy: Policy of the queue, as in force at acceptance.
        volatile: Whether the job exists only in the memory of its entry; its submission
            is answered when the job ends.
        schedule: Recurring start times; None to run the steps once, immediately.
    """

    id: str
    payload: str
    steps: tuple[Step, ...]
    policy: QueuePolicy
    volatile: bool = False
    schedule: Schedule | None = None

    def all_steps(self) -> tuple[Step, ...]:
        """Return the steps of all occurrences, one occurrence after the other.

        The numbers in `after` count through all occurrences.
        """
        if self.schedule is None:
            return self.steps
        return tuple(
            attrs.evolve(step, after=tuple(offset + number for number in step.after))
            for offset in range(
                0, self.schedule.count * len(self.steps), len(self.steps)
            )
            for step in self.steps
        )


def shard_of(job_id: str, shards: int) -> int:
    """Return the number of the shard that holds a stored job.

    Args:
        job_id: ID of the job.
        shards: Number of shards.
    """
    return xxhash.xxh64_intdigest(job_id.encode()) % shards
