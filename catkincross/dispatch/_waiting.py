"""Queue of the tasks that wait for a worker, and its order.

Load pattern: more work arrives than the workers can run. Tasks start in the order of
the latest start with which their job still meets its objective. A job that has passed
its latest start before any of its tasks started comes after all jobs that can still
meet theirs: if it kept its place, a burst would make every later job late as well. The
tasks of a job that is too late to be of use (beyond three times its objective) come
last: the job must still end, but at no particular time.
"""

from __future__ import annotations

import enum
import math
import operator
from collections.abc import Iterator

import attrs
from sortedcontainers import SortedKeyList

from ..jobs import Job, Step, Task
from ._estimates import Estimates
from ._gangs import fits_idle_workers
from ._overload import WaitingJob
from ._placement import AgentResources

# A job that takes longer than this many times its objective is of no use to its caller,
# by the service level of the platform.
MAX_OBJECTIVE_RATIO = 3.0
# Run time on the fastest workers as a share of the run time on an ordinary worker.
FASTEST_RUN_SHARE = 0.5


class QueueRank(enum.IntEnum):
    """Class of a waiting task; all tasks of a lower class start first."""

    # The job can still meet its objective, or has started.
    IN_TIME = 0
    # The job has been deferred in favour of jobs that can still be in time.
    DEFERRED = 1
    # The job is too late to be of use to its caller.
    USELESS = 2


# Rank, latest start in milliseconds, and number of the addition.
QueueKey = tuple[QueueRank, float, int]


# What decides whether a task, or its gang, fits on idle workers.
SizeKey = tuple[int, int, int, str, int, int]


def size_key(step_spec: Step) -> SizeKey:
    """Return the resources and the label of a task, and the shape of its gang."""
    return (
        step_spec.cpu,
        step_spec.memory_mb,
        step_spec.gpu,
        step_spec.requires,
        step_spec.count if step_spec.gang else 0,
        step_spec.anti_affinity if step_spec.gang else 0,
    )


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


def queue_position(
    task: Task, estimates: Estimates, now_ms: int
) -> tuple[QueueRank, float]:
    """Return the rank and the time that order a task in the queue.

    The time is the latest start of the task's job, with two exceptions. A long-running
    task has no objective: it is the arrival of its job, so that after a restart it does
    not wait behind younger jobs. The slack of an occurrence of a schedule begins when
    its tasks may start, not with the arrival of the job.
    """
    job = task.job
    if task.step_spec.long_running:
        return QueueRank.IN_TIME, job.arrived_ms
    if job.spec.schedule is not None:
        slack_ms = latest_start_ms(job, estimates) - job.arrived_ms
        return QueueRank.IN_TIME, now_ms + slack_ms
    latest_ms = latest_start_ms(job, estimates)
    max_wait_ms = MAX_OBJECTIVE_RATIO * objective_ms(job, estimates) - critical_path_ms(
        job, estimates
    )
    useless = now_ms > job.arrived_ms + max_wait_ms
    return QueueRank.USELESS if useless else QueueRank.IN_TIME, latest_ms


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

    # Rows of key and task, ordered by the key.
    _rows: SortedKeyList = attrs.field(
        factory=lambda: SortedKeyList(key=operator.itemgetter(0))
    )
    _row_by_task: dict[Task, tuple[QueueKey, Task]] = attrs.field(factory=dict)
    _additions: int = 0
    work_by_service: dict[str, int] = attrs.field(factory=dict)
    _work: dict[Task, int] = attrs.field(factory=dict)
    # Tasks and their work by service and size, with the step of one of them.
    _sizes: dict[str, dict[SizeKey, tuple[Step, int, int]]] = attrs.field(factory=dict)

    def add(self, task: Task, estimates: Estimates, now_ms: int) -> None:
        """Add a task; one that waits already keeps its position."""
        if task in self._row_by_task:
            return
        self._additions += 1
        rank, start_by_ms = queue_position(task, estimates, now_ms)
        row = ((rank, start_by_ms, self._additions), task)
        self._row_by_task[task] = row
        self._rows.add(row)
        step_spec = task.step_spec
        run_ms = estimates.run_ms(task.job.spec.policy.queue, step_spec.estimate_ms)
        # Integers, so that the sum returns to exactly zero when all tasks have left.
        work = round(step_spec.cpu * run_ms)
        self._work[task] = work
        service = task.job.spec.policy.service
        self.work_by_service[service] = self.work_by_service.get(service, 0) + work
        self._count_size(task, 1, work)

    def defer_late(self, now_ms: int) -> None:
        """Defer the jobs that have passed their latest start and have not started.

        Long-running and scheduled jobs keep their position.
        """
        late_rows = self._rows.irange_key(
            (QueueRank.IN_TIME, -math.inf), (QueueRank.IN_TIME, now_ms)
        )
        for _, task in list(late_rows):
            if not (task.job.started or task.job.exempt_from_aging):
                self._defer_task(task)

    def jobs_in_time(self, service: str, estimates: Estimates) -> list[WaitingJob]:
        """Return the jobs of a service that may still be in time, in queue order.

        Deferred jobs are left out.
        """
        totals_by_job: dict[Job, list[float]] = {}
        for (rank, _, _), task in self._rows:
            if rank is not QueueRank.IN_TIME:
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
            if row is not None and row[0][0] is QueueRank.IN_TIME:
                self._defer_task(task)

    def _defer_task(self, task: Task) -> None:
        (_, start_by_ms, addition), _ = row = self._row_by_task[task]
        self._rows.remove(row)
        row = ((QueueRank.DEFERRED, start_by_ms, addition), task)
        self._row_by_task[task] = row
        self._rows.add(row)

    def remove(self, task: Task) -> None:
        """Remove a task if it waits."""
        row = self._row_by_task.pop(task, None)
        if row is not None:
            self._rows.remove(row)
            work = self._work.pop(task)
            self.work_by_service[task.job.spec.policy.service] -= work
            self._count_size(task, -1, -work)

    def _count_size(self, task: Task, tasks: int, work: int) -> None:
        sizes = self._sizes.setdefault(task.job.spec.policy.service, {})
        key = size_key(task.step_spec)
        step_spec, old_tasks, old_work = sizes.get(key, (task.step_spec, 0, 0))
        if old_tasks + tasks:
            sizes[key] = step_spec, old_tasks + tasks, old_work + work
        else:
            del sizes[key]

    def oversize_work(self, service: str, workers: list[AgentResources]) -> int:
        """Return the waiting work that would fit on no worker even if idle.

        Args:
            service: Service of the tasks.
            workers: The service's workers; without any, nothing counts as too large.

        Returns:
            Work in millicore-milliseconds.
        """
        return sum(
            work
            for step_spec, _, work in self._sizes.get(service, {}).values()
            if workers and not fits_idle_workers(step_spec, workers)
        )

    def is_deferred(self, task: Task) -> bool:
        """Whether a waiting task was deferred or is too late to be of use."""
        return self._row_by_task[task][0][0] is not QueueRank.IN_TIME

    def __len__(self) -> int:
        """Return the number of waiting tasks."""
        return len(self._rows)

    def in_order(self) -> Iterator[Task]:
        """Yield the tasks in queue order; they may be removed during the iteration."""
        for _, task in list(self._rows):
            yield task

    def first(self, count: int) -> list[Task]:
        """Return up to `count` tasks from the head of the queue."""
        return [task for _, task in self._rows[:count]]
