"""What a client account asks for: a job of steps, and the policy of its queue."""

from __future__ import annotations

import attrs
import xxhash

# Number of the shard that holds the volatile jobs of an entry.
VOLATILE_SHARD = -1


@attrs.frozen
class Step:
    """Tasks of one kind within a job.

    Attributes:
        count: Number of tasks.
        cpu: Processor time a task needs, in thousandths of a core.
        memory_mb: Memory of a task, in MB.
        gpu: Accelerators of a task.
        estimate_ms: Declared run time of a task, in milliseconds; often far off.
        after: Numbers of earlier steps whose tasks must all be done first.
        checkpointing: Whether a task can resume from a saved checkpoint.
        requires: Label that the worker must have; empty for none.
        data_rack: Rack on which a task runs fastest; empty for none.
        anti_affinity: Most tasks of the step on one worker; 0 for no limit.
        allow_duplicates: Whether copies of a task may run at the same time; the first
            that ends counts.
        long_running: Whether a task runs until its job is cancelled, and is started
            again however a run of it ends.
        gang: Whether the tasks work only together: all start with the same run, and
            the end of one is the end of all.
        same_rack: Whether a gang takes longer on more than one rack.
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
    """What the configuration in force says of a queue when a job is accepted.

    Attributes:
        queue: Name of the queue.
        service: Service whose workers run the tasks.
        priority: 0 comes first.
        max_attempts: Failed runs after which a task, and its job, has failed.
        stretch: Factor of the ideal run time in the objective.
        slo_ms: Milliseconds that the objective adds.
    """

    queue: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slo_ms: int = 0


@attrs.frozen
class Schedule:
    """Times at which the steps of a job run; occurrences may overlap.

    Attributes:
        count: Number of occurrences.
        first_ms: Time of the first, in milliseconds since 1970.
        interval_ms: Time between two.
    """

    count: int
    first_ms: int
    interval_ms: int

    def due_ms(self, occurrence: int) -> int:
        """Return the time of an occurrence, in milliseconds since 1970."""
        return self.first_ms + occurrence * self.interval_ms


@attrs.frozen
class JobSpec:
    """A job as it was submitted.

    Attributes:
        id: Identity chosen by the client account.
        payload: Text that each task receives.
        steps: Steps in order.
        policy: Policy of the queue at acceptance.
        volatile: Whether the job is kept by the entry alone; its answer is its end.
        schedule: Times at which the steps run; None to run them once, at once.
    """

    id: str
    payload: str
    steps: tuple[Step, ...]
    policy: QueuePolicy
    volatile: bool = False
    schedule: Schedule | None = None

    def all_steps(self) -> tuple[Step, ...]:
        """Return the steps of all occurrences, one occurrence after the other."""
        if self.schedule is None:
            return self.steps
        return tuple(
            attrs.evolve(step, after=tuple(first + number for number in step.after))
            for first in range(
                0, self.schedule.count * len(self.steps), len(self.steps)
            )
            for step in self.steps
        )


def shard_of(job_id: str, shards: int) -> int:
    """Return the shard that keeps a job.

    Args:
        job_id: Identity of the job.
        shards: Number of shards.
    """
    return xxhash.xxh64_intdigest(job_id.encode()) % shards
