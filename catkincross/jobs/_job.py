"""State of one job and of its tasks."""

from __future__ import annotations

import enum
from collections.abc import Iterator

import attrs

from ._crashes import Crash, isolation_is_over, must_give_up, must_isolate
from ._records import JobAccepted, TaskEnd
from ._spec import JobSpec, Step

# Size of the range of run numbers of each epoch since acceptance. An owner numbers its
# runs from the range of its epoch, above all runs that earlier owners may have started.
RUNS_PER_EPOCH = 4_096


class JobState(enum.StrEnum):
    """State of a job as reported to its client account."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class TaskState(enum.Enum):
    """State of a task at the owner of its job."""

    WAITING = "waiting"
    ASSIGNED = "assigned"
    DONE = "done"


@attrs.define(eq=False)
class Task:
    """One task of a job.

    Attributes:
        job: Job of the task.
        step: Number of the step, counted through all occurrences.
        index: Number of the task within the step.
        state: State of the task.
        run: Number of the newest run; 0 for none.
        agent: Agent that has the newest run while the task is assigned, and that had it
            once the task is done; empty otherwise.
        failed_runs: Numbers of the runs that ended `failed`.
        crashes: Crashes of workers that had a run of the task, by number of the run.
        checkpoint: Newest checkpoint; empty for none.
        avoided_agents: Agents on which a run of the task failed or stalled.
        sent_ms: When the newest run was sent to its agent, on the owner's clock.
        percent: Progress of the newest run as last reported, 0 to 100.
        progress_ms: When the reported progress last increased, on the owner's clock.
        stopping: Whether a stop was sent for the newest run.
        order_number: Number of the start order on the agent's link; 0 if it was sent on
            an earlier link.
    """

    job: Job
    step: int
    index: int
    state: TaskState = TaskState.WAITING
    run: int = 0
    agent: str = ""
    failed_runs: set[int] = attrs.field(factory=set)
    crashes: dict[int, Crash] = attrs.field(factory=dict)
    checkpoint: str = ""
    avoided_agents: tuple[str, ...] = ()
    sent_ms: int = 0
    percent: int = 0
    progress_ms: int = 0
    stopping: bool = False
    order_number: int = 0

    @property
    def name(self) -> str:
        """Name of the task, unique in the deployment."""
        occurrence, step = divmod(self.step, len(self.job.spec.steps))
        return f"{self.job.spec.id}.{occurrence}.{step}.{self.index}"

    @property
    def step_spec(self) -> Step:
        """Step of the task, which states the resources that it needs."""
        return self.job.steps[self.step]

    @property
    def failures(self) -> int:
        """Number of runs that ended `failed`."""
        return len(self.failed_runs)

    @property
    def crashed_agents(self) -> tuple[str, ...]:
        """Agents whose worker crashed under a run of the task."""
        return tuple(crash.agent for crash in self.crashes.values())

    @property
    def crash_counted_ms(self) -> int:
        """When the newest crash was counted, on the owner's clock; 0 for none."""
        return max((crash.counted_ms for crash in self.crashes.values()), default=0)

    @property
    def exclusive(self) -> bool:
        """Whether the task may only run on a worker without other runs.

        Members of a gang are not isolated: a gang needs several workers at once.
        """
        return must_isolate(len(self.crashes)) and not self.step_spec.gang

    def runs_alone(self, now_ms: int) -> bool:
        """Whether the next run has to be exclusive at this time."""
        waited_ms = now_ms - self.crash_counted_ms
        return self.exclusive and not isolation_is_over(len(self.crashes), waited_ms)

    def release(self) -> None:
        """Return the task to the waiting state."""
        self.state = TaskState.WAITING
        self.agent = ""
        self.stopping = False


@attrs.define(eq=False)
class Job:
    """A durable or volatile job and its tasks.

    Attributes:
        spec: The job as submitted.
        accepted_ms: Time of acceptance, in milliseconds since 1970.
        epoch: Epoch of the shard at acceptance.
        steps: Steps of all occurrences.
        tasks: Tasks by step and index.
        possible_starts: Number of runs sent to agents, less those that are known not to
            have started.
        final_state: Final state; None while the job is open.
        ended_ms: When the job ended, on the owner's clock.
        remaining_tasks: Number of tasks not done, by step.
        arrived_ms: When the job arrived or was read from the log, on the owner's clock.
        deadline_ms: Time on the owner's clock until which the client account waits for
            the end of the job; 0 if it does not wait.
        scheduled_due_ms: Start of the occurrence for which the owner last put the job
            into its queue of due times, in milliseconds since 1970; 0 for none.
    """

    spec: JobSpec
    accepted_ms: int
    epoch: int
    steps: tuple[Step, ...] = ()
    tasks: list[list[Task]] = attrs.field(factory=list)
    possible_starts: int = 0
    final_state: JobState | None = None
    ended_ms: int = 0
    remaining_tasks: list[int] = attrs.field(factory=list)
    arrived_ms: int = 0
    deadline_ms: int = 0
    scheduled_due_ms: int = 0

    @classmethod
    def from_record(cls, record: JobAccepted, now_ms: int) -> Job:
        """Return the job that a record describes, with its progress."""
        steps = record.spec.all_steps()
        job = cls(record.spec, record.accepted_ms, record.epoch, steps)
        job.arrived_ms = now_ms
        for number, step in enumerate(steps):
            job.tasks.append([Task(job, number, i) for i in range(step.count)])
            job.remaining_tasks.append(step.count)
        for end in record.ends:
            job.apply_end(end, now_ms)
        if record.cancelled:
            job.finish(JobState.CANCELLED, now_ms)
        return job

    @property
    def started(self) -> bool:
        """Whether a run of any task has started or may have started."""
        return self.possible_starts > 0

    @property
    def exempt_from_aging(self) -> bool:
        """Whether the time since arrival is no measure of the job's urgency.

        That is so for jobs with long-running tasks and for jobs with a schedule.
        """
        has_long_running = any(step.long_running for step in self.spec.steps)
        return has_long_running or self.spec.schedule is not None

    @property
    def state(self) -> JobState:
        """State as reported to the client account."""
        if self.final_state is not None:
            return self.final_state
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
        """Whether a step is due and the steps that it depends on are done.

        Args:
            step: Number of the step, counted through all occurrences.
            wall_ms: Time of day, in milliseconds since 1970.
        """
        if wall_ms < self.due_ms(step):
            return False
        return all(
            self.remaining_tasks[number] == 0 for number in self.steps[step].after
        )

    def due_ms(self, step: int) -> int:
        """Return when a step may start, in milliseconds since 1970; 0 for at once."""
        schedule = self.spec.schedule
        if schedule is None:
            return 0
        return schedule.due_ms(step // len(self.spec.steps))

    def next_due_ms(self, wall_ms: int) -> int | None:
        """Return when the next step becomes due; None if no step is due later.

        Both times are in milliseconds since 1970.
        """
        if self.spec.schedule is None:
            return None
        due_times = (self.due_ms(step) for step in range(len(self.steps)))
        return min((due for due in due_times if due > wall_ms), default=None)

    def finish(self, state: JobState, now_ms: int) -> None:
        """Set the final state and the time of the end."""
        self.final_state = state
        self.ended_ms = now_ms

    def apply_end(self, end: TaskEnd, now_ms: int) -> Task | None:
        """Apply the end of a run once its record is durable.

        A failure or a crash counts once for each run.

        Returns:
            The task, or None if there is no such task or it is already done.
        """
        task = self.task(end.step, end.index)
        if task is None or task.state is TaskState.DONE:
            return None
        self.possible_starts = max(self.possible_starts, 1)
        task.run = max(task.run, end.run)
        task.checkpoint = end.checkpoint or task.checkpoint
        if end.how == "done":
            task.state = TaskState.DONE
            self.remaining_tasks[end.step] -= 1
            if self.final_state is None and not any(self.remaining_tasks):
                self.finish(JobState.COMPLETED, now_ms)
        elif end.how == "failed":
            task.failed_runs.add(end.run)
            attempts_used_up = (
                self.failed_attempts(task) >= self.spec.policy.max_attempts
            )
            if self.final_state is None and attempts_used_up:
                self.finish(JobState.FAILED, now_ms)
        elif end.how == "crashed":
            self._apply_crash(task, end, now_ms)
        return task

    def _apply_crash(self, task: Task, end: TaskEnd, now_ms: int) -> None:
        """Count a crash once for each run; long-running tasks are never given up."""
        crash = Crash(end.agent, end.alone, now_ms, end.uncertain)
        task.crashes.setdefault(end.run, crash)
        if task.step_spec.long_running or self.final_state is not None:
            return
        if must_give_up(self.crashes_of(task)):
            self.finish(JobState.FAILED, now_ms)

    def crashes_of(self, task: Task) -> list[Crash]:
        """Return the crashes of a task, or of its gang, in the order of their runs.

        Members of a gang share the number of their run. A run of a gang counts once,
        however many of its members were lost.
        """
        members = self.tasks[task.step] if task.step_spec.gang else [task]
        crash_by_run: dict[int, Crash] = {}
        for member in members:
            for run, crash in member.crashes.items():
                other = crash_by_run.get(run, crash)
                crash_by_run[run] = attrs.evolve(
                    other,
                    alone=other.alone and crash.alone,
                    uncertain=other.uncertain and crash.uncertain,
                )
        return [crash_by_run[run] for run in sorted(crash_by_run)]

    def crash_ends(self) -> tuple[TaskEnd, ...]:
        """Return the counted crashes of all tasks as ends of their runs."""
        return tuple(
            TaskEnd(
                self.spec.id,
                task.step,
                task.index,
                run,
                "crashed",
                agent=crash.agent,
                alone=crash.alone,
                uncertain=crash.uncertain,
            )
            for task in self.all_tasks()
            for run, crash in task.crashes.items()
        )

    def failed_attempts(self, task: Task) -> int:
        """Return the number of failed runs of a task, or of all members of its gang."""
        if not task.step_spec.gang:
            return task.failures
        return sum(member.failures for member in self.tasks[task.step])

    @property
    def highest_run(self) -> int:
        """Highest run number of all tasks; 0 if no run was sent."""
        return max(task.run for task in self.all_tasks())

    def number_runs_above(self, run: int) -> None:
        """Number further runs above `run`, so that ends up to it count as superseded.

        The job must not have a run yet.
        """
        for task in self.all_tasks():
            task.run = run + 1

    def next_run(self, task: Task, epoch: int) -> int:
        """Return the number of a task's next run in an epoch."""
        return max(task.run, (epoch - self.epoch) * RUNS_PER_EPOCH) + 1

    def snapshot_record(self, wall_ms: int) -> JobAccepted:
        """Return a record of the job with its progress; it replaces earlier records.

        Args:
            wall_ms: Time of day, in milliseconds since 1970.
        """
        ends = [*self.crash_ends()]
        for task in self.all_tasks():
            identity = (self.spec.id, task.step, task.index)
            ends.extend(
                TaskEnd(*identity, run, "failed") for run in sorted(task.failed_runs)
            )
            how = "done" if task.state is TaskState.DONE else "carried"
            if how == "done" or task.checkpoint:
                ends.append(TaskEnd(*identity, task.run, how, task.checkpoint))
        cancelled = self.final_state is JobState.CANCELLED
        return JobAccepted(
            self.spec, self.accepted_ms, self.epoch, tuple(ends), cancelled, wall_ms
        )
