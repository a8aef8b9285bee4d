"""Progress of one durable job."""

from __future__ import annotations

import enum
from collections.abc import Iterator

import attrs

from ._records import JobAccepted, TaskEnd
from ._spec import JobSpec, Step

# Runs of earlier epochs are below this number for each epoch since the acceptance,
# so a new owner numbers its runs above all that earlier owners may have started.
RUNS_PER_EPOCH = 4_096


class JobState(enum.StrEnum):
    """State of a job as its client account sees it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class TaskState(enum.Enum):
    """What is known of a task."""

    WAITING = "waiting"
    ASSIGNED = "assigned"
    DONE = "done"


@attrs.define(eq=False)
class Task:
    """One task of a job.

    Attributes:
        job: The job.
        step: Number of the step, counted through all occurrences.
        index: Number within the step.
        state: What is known of it.
        run: Number of the newest run that was sent; 0 for none.
        agent: Agent that has the run, while it is assigned.
        failures: Runs that ended `failed`.
        checkpoint: Newest checkpoint; empty for none.
        avoid: Agents on which a run failed or stood still.
        sent_ms: When the run was sent.
        percent: Progress that was last reported, 0 to 100.
        progress_ms: When the progress last grew.
        stopping: Whether a stop was sent for the run.
        order: Number of the order on the agent's link; 0 if it was sent on an earlier
            link.
    """

    job: Job
    step: int
    index: int
    state: TaskState = TaskState.WAITING
    run: int = 0
    agent: str = ""
    failures: int = 0
    checkpoint: str = ""
    avoid: tuple[str, ...] = ()
    sent_ms: int = 0
    percent: int = 0
    progress_ms: int = 0
    stopping: bool = False
    order: int = 0

    @property
    def name(self) -> str:
        """Name of the task, unique in the deployment."""
        occurrence, step = divmod(self.step, len(self.job.spec.steps))
        return f"{self.job.spec.id}.{occurrence}.{step}.{self.index}"

    @property
    def needs(self) -> Step:
        """What the task needs."""
        return self.job.steps[self.step]

    def release(self) -> None:
        """Let the task wait again."""
        self.state = TaskState.WAITING
        self.agent = ""
        self.stopping = False


@attrs.define(eq=False)
class Job:
    """A durable job and its tasks.

    Attributes:
        spec: The job as submitted.
        steps: Steps of all occurrences.
        accepted_ms: Time of day of the acceptance.
        epoch: Epoch of the shard at the acceptance.
        tasks: Tasks by step.
        sent_runs: Runs that were sent, less those that have certainly not started.
        state_end: Final state, or None while it is open.
        ended_ms: Time on the owner's clock at which it ended.
        left: Tasks not done, by step.
        arrived_ms: Time on the owner's clock at which it was accepted or read.
        deadline_ms: Time on the owner's clock until which its client account waits
            for the end; 0 if nobody waits.
        queued_due_ms: Time of day of the next occurrence that its owner watches; 0 for
            none.
    """

    spec: JobSpec
    accepted_ms: int
    epoch: int
    steps: tuple[Step, ...] = ()
    tasks: list[list[Task]] = attrs.field(factory=list)
    sent_runs: int = 0
    state_end: JobState | None = None
    ended_ms: int = 0
    left: list[int] = attrs.field(factory=list)
    arrived_ms: int = 0
    deadline_ms: int = 0
    queued_due_ms: int = 0

    @classmethod
    def from_record(cls, content: JobAccepted, now_ms: int) -> Job:
        """Return the job of a record."""
        steps = content.spec.all_steps()
        job = cls(content.spec, content.accepted_ms, content.epoch, steps)
        job.arrived_ms = now_ms
        for number, step in enumerate(steps):
            job.tasks.append([Task(job, number, i) for i in range(step.count)])
            job.left.append(step.count)
        for end in content.ends:
            job.apply_end(end, now_ms)
        if content.cancelled:
            job.finish(JobState.CANCELLED, now_ms)
        return job

    @property
    def started(self) -> bool:
        """Whether a run of any task has started, or may have."""
        return self.sent_runs > 0

    @property
    def exempt_from_aging(self) -> bool:
        """Whether the time since its arrival says nothing of its urgency."""
        lasting = any(step.long_running for step in self.spec.steps)
        return lasting or self.spec.schedule is not None

    @property
    def state(self) -> JobState:
        """State as the client account sees it."""
        if self.state_end is not None:
            return self.state_end
        return JobState.RUNNING if self.started else JobState.QUEUED

    def all_tasks(self) -> Iterator[Task]:
        """Yield the tasks of all steps."""
        for tasks in self.tasks:
            yield from tasks

    def task(self, step: int, index: int) -> Task | None:
        """Return a task, or None if the job has no such task."""
        if 0 <= step < len(self.tasks) and 0 <= index < len(self.tasks[step]):
            return self.tasks[step][index]
        return None

    def step_ready(self, step: int, wall_ms: int) -> bool:
        """Whether a step's time has come and all tasks before it are done.

        Args:
            step: Number of the step.
            wall_ms: Time of day in milliseconds since 1970.
        """
        if wall_ms < self.due_ms(step):
            return False
        return all(self.left[number] == 0 for number in self.steps[step].after)

    def due_ms(self, step: int) -> int:
        """Return the time of day from which a step may run; 0 for at once."""
        schedule = self.spec.schedule
        if schedule is None:
            return 0
        return schedule.due_ms(step // len(self.spec.steps))

    def next_due_ms(self, wall_ms: int) -> int | None:
        """Return the next time of day at which a step becomes due, or None."""
        if self.spec.schedule is None:
            return None
        times = (self.due_ms(step) for step in range(len(self.steps)))
        return min((due for due in times if due > wall_ms), default=None)

    def finish(self, state: JobState, now_ms: int) -> None:
        """Set the final state."""
        self.state_end = state
        self.ended_ms = now_ms

    def apply_end(self, end: TaskEnd, now_ms: int) -> Task | None:
        """Take note of an end that is durable.

        Returns:
            The task if the end changed it, else None.
        """
        task = self.task(end.step, end.index)
        if task is None or task.state is TaskState.DONE:
            return None
        self.sent_runs = max(self.sent_runs, 1)
        task.run = max(task.run, end.run)
        task.checkpoint = end.checkpoint or task.checkpoint
        if end.how == "done":
            task.state = TaskState.DONE
            self.left[end.step] -= 1
            if self.state_end is None and not any(self.left):
                self.finish(JobState.COMPLETED, now_ms)
        elif end.how == "failed":
            task.failures += 1
            used_up = self.attempts_failed(task) >= self.spec.policy.max_attempts
            if self.state_end is None and used_up:
                self.finish(JobState.FAILED, now_ms)
        return task

    def attempts_failed(self, task: Task) -> int:
        """Return the failed attempts of a task, or of all members of its gang."""
        if not task.needs.gang:
            return task.failures
        return sum(member.failures for member in self.tasks[task.step])

    def next_run(self, task: Task, epoch: int) -> int:
        """Return the number of a task's next run in an epoch."""
        return max(task.run, (epoch - self.epoch) * RUNS_PER_EPOCH) + 1

    def carried(self) -> JobAccepted:
        """Return a record that carries the job forward with its progress."""
        ends: list[TaskEnd] = []
        for task in self.all_tasks():
            place = (self.spec.id, task.step, task.index, task.run)
            ends.extend(TaskEnd(*place, "failed") for _ in range(task.failures))
            how = "done" if task.state is TaskState.DONE else "carried"
            if how == "done" or task.checkpoint:
                ends.append(TaskEnd(*place, how, task.checkpoint))
        cancelled = self.state_end is JobState.CANCELLED
        return JobAccepted(
            self.spec, self.accepted_ms, self.epoch, tuple(ends), cancelled
        )
