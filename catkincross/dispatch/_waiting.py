"""Queue of the tasks that wait for a worker, and its order.

Load pattern: more work arrives than the workers can run. Tasks start in the order of
the latest start with which their job still meets its objective. A job that has passed
its latest start before any of its tasks started comes after all jobs that can still
meet theirs: if it kept its place, a burst would make every later job late as well. The
tasks of a job that is too late to be of use (beyond three times its objective) come
last: the job must still end, but at no particular time.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs
from sortedcontainers import SortedKeyList

from ..jobs import Job, Task
from ._estimates import Estimates
from ._overload import WaitingJob

# A job that takes longer than this many times its objective is of no use to its caller,
# by the service level of the platform.
MAX_OBJECTIVE_RATIO = 3.0
# Number of rows that are examined at a time when late tasks are deferred.
LATE_BATCH_ROWS = 64
# Run time on the fastest workers as a share of the run time on an ordinary worker.
FASTEST_RUN_SHARE = 0.5
# Added to the key of a deferred task, in milliseconds: places it behind all tasks that
# can still meet their objective.
DEFERRED_KEY_OFFSET_MS = 1 << 30
# Added to the key of a task whose job is too late to be of use, in milliseconds: places
# it behind all deferred tasks.
USELESS_KEY_OFFSET_MS = 1 << 40


def critical_path_ms(job: Job, estimates: Estimates) -> float:
    """Return the expected time of a job's longest chain of steps, in milliseconds."""
    end_times_ms: list[float] = []
    for step in job.spec.steps:
        step_ms = estimates.run_ms(job.spec.policy.queue, step.estimate_ms)
        predecessors_ms = [
            end_times_ms[number] for number in step.after if number < len(end_times_ms)
        ]
        end_times_ms.append(step_ms + max(predecessors_ms, default=0.0))
    return max(end_times_ms, default=0.0)


def objective_ms(job: Job, estimates: Estimates) -> float:
    """Return the time from its arrival within which a job should end, in ms."""
    policy = job.spec.policy
    return policy.stretch * critical_path_ms(job, estimates) + policy.slo_ms


def latest_start_ms(job: Job, estimates: Estimates) -> float:
    """Return the latest time at which a job can start and still meet its objective."""
    wait_ms = objective_ms(job, estimates) - critical_path_ms(job, estimates)
    return job.arrived_ms + wait_ms


def queue_key(task: Task, estimates: Estimates, now_ms: int) -> float:
    """Return the key that orders a task in the queue; the lowest starts first.

    The key is the latest start of the task's job, with three exceptions. A long-running
    task has no objective: its key is the arrival of its job, so that after a restart it
    does not wait behind younger jobs. The slack of an occurrence of a schedule begins
    when its tasks may start, not with the arrival of the job. The tasks of a job that
    is too late to be of use come after all others.
    """
    job = task.job
    if task.step_spec.long_running:
        return job.arrived_ms
    if job.spec.schedule is not None:
        return now_ms + latest_start_ms(job, estimates) - job.arrived_ms
    latest_ms = latest_start_ms(job, estimates)
    max_wait_ms = MAX_OBJECTIVE_RATIO * objective_ms(job, estimates) - critical_path_ms(
        job, estimates
    )
    if now_ms > job.arrived_ms + max_wait_ms:
        return latest_ms + USELESS_KEY_OFFSET_MS
    return latest_ms


def cannot_meet_deadline(job: Job, estimates: Estimates, now_ms: int) -> bool:
    """Whether a job cannot end before its deadline, even if it starts now.

    The fastest workers may take much less time than an ordinary one, so only half of
    the expected run time is counted.
    """
    if not job.deadline_ms:
        return False
    return (
        now_ms + critical_path_ms(job, estimates) * FASTEST_RUN_SHARE > job.deadline_ms
    )


@attrs.define
class WaitingQueue:
    """Tasks that wait for a worker, in the order in which they are to start.

    Attributes:
        work_by_service: Waiting work by service, in millicore-milliseconds.
    """

    # Rows of key, number of the addition and task, ordered by the first two.
    _rows: SortedKeyList = attrs.field(
        factory=lambda: SortedKeyList(key=lambda row: row[:2])
    )
    _row_by_task: dict[Task, tuple[float, int, Task]] = attrs.field(factory=dict)
    _additions: int = 0
    work_by_service: dict[str, int] = attrs.field(factory=dict)
    _work: dict[Task, int] = attrs.field(factory=dict)

    def add(self, task: Task, estimates: Estimates, now_ms: int) -> None:
        """Add a task; one that waits already keeps its position."""
        if task in self._row_by_task:
            return
        self._additions += 1
        key = queue_key(task, estimates, now_ms)
        row = (key, self._additions, task)
        self._row_by_task[task] = row
        self._rows.add(row)
        step_spec = task.step_spec
        run_ms = estimates.run_ms(task.job.spec.policy.queue, step_spec.estimate_ms)
        # Integers, so that the sum returns to exactly zero when all tasks have left.
        work = round(step_spec.cpu * run_ms)
        self._work[task] = work
        service = task.job.spec.policy.service
        self.work_by_service[service] = self.work_by_service.get(service, 0) + work

    def defer_late(self, now_ms: int) -> None:
        """Defer the jobs that have passed their latest start and have not started.

        Long-running and scheduled jobs keep their position.
        """
        while self._rows and self._rows[0][0] < now_ms:
            late_rows = [row for row in self._rows[:LATE_BATCH_ROWS] if row[0] < now_ms]
            any_deferred = False
            for key, _, task in late_rows:
                if task.job.started or task.job.exempt_from_aging or key < 0:
                    continue
                self._defer_task(task)
                any_deferred = True
            if not any_deferred:
                return

    def jobs_in_time(self, service: str, estimates: Estimates) -> list[WaitingJob]:
        """Return the jobs of a service that may still be in time, in queue order.

        Deferred jobs are left out.
        """
        totals_by_job: dict[Job, list[float]] = {}
        for key, _, task in self._rows:
            if key >= DEFERRED_KEY_OFFSET_MS:
                break
            if task.job.spec.policy.service == service:
                totals = totals_by_job.setdefault(task.job, [0.0, 0.0])
                totals[0] += task.step_spec.cpu
                totals[1] += self._work[task]
        return [
            WaitingJob(
                job,
                latest_start_ms(job, estimates),
                job.arrived_ms,
                cpu,
                work,
                not job.started and not job.exempt_from_aging,
            )
            for job, (cpu, work) in totals_by_job.items()
        ]

    def defer(self, job: Job) -> None:
        """Place the waiting tasks of a job behind all that can be in time."""
        for task in job.all_tasks():
            row = self._row_by_task.get(task)
            if row is not None and row[0] < DEFERRED_KEY_OFFSET_MS:
                self._defer_task(task)

    def _defer_task(self, task: Task) -> None:
        key, addition, _ = row = self._row_by_task[task]
        self._rows.remove(row)
        self._row_by_task[task] = (key + DEFERRED_KEY_OFFSET_MS, addition, task)
        self._rows.add(self._row_by_task[task])

    def remove(self, task: Task) -> None:
        """Remove a task if it waits."""
        row = self._row_by_task.pop(task, None)
        if row is not None:
            self._rows.remove(row)
            self.work_by_service[task.job.spec.policy.service] -= self._work.pop(task)

    def __len__(self) -> int:
        """Return the number of waiting tasks."""
        return len(self._rows)

    def in_order(self) -> Iterator[Task]:
        """Yield the tasks in queue order; they may be removed during the iteration."""
        for row in list(self._rows):
            yield row[2]

    def first(self, count: int) -> list[Task]:
        """Return up to `count` tasks from the head of the queue."""
        return [row[2] for row in self._rows[:count]]
