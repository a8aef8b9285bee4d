"""Order in which tasks wait for room.

Load pattern: more work arrives than the workers can run. Tasks start in the order of
the latest time at which they can start and still meet their job's objective. A job that
has missed that time before any of its tasks started comes after all that can still meet
it: served in the order of arrival alone, a burst makes every later job late as well.
Tasks of a job that cannot even be late any more (three times its objective) come last:
they are owed an end, but no time.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs
from sortedcontainers import SortedKeyList

from ..jobs import Job, Task
from ._estimates import Estimates
from ._overload import WaitingJob

# A job that ends later than this many times its objective is worth nothing to its
# caller, by the service level of the platform.
MAX_OBJECTIVE_RATIO = 3.0
# Rows looked at in one go when late ones are put behind.
LATE_BATCH = 64
# Run time on the fastest workers as a part of the ordinary one.
FASTEST_SHARE = 0.5
# Position behind all work that can still meet its objective, in milliseconds.
LATE_MS = 1 << 30
# Position behind all work that can still be served in time, in milliseconds.
HOPELESS_MS = 1 << 40


def chain_ms(job: Job, estimates: Estimates) -> float:
    """Return the expected time of a job's longest chain of steps."""
    ends: list[float] = []
    for step in job.spec.steps:
        own = estimates.run_ms(job.spec.policy.queue, step.estimate_ms)
        before = [ends[number] for number in step.after if number < len(ends)]
        ends.append(own + max(before, default=0.0))
    return max(ends, default=0.0)


def objective_ms(job: Job, estimates: Estimates) -> float:
    """Return the time within which a job should end."""
    policy = job.spec.policy
    return policy.stretch * chain_ms(job, estimates) + policy.slo_ms


def latest_start_ms(job: Job, estimates: Estimates) -> float:
    """Return the latest time at which a job can start and still be in time."""
    wait_ms = objective_ms(job, estimates) - chain_ms(job, estimates)
    return job.arrived_ms + wait_ms


def waiting_key(task: Task, estimates: Estimates, now_ms: int) -> float:
    """Return the key by which a task waits.

    A task that lasts has no objective: it starts in the order of arrival, so that a
    restart does not wait behind younger jobs. The allowance of an occurrence begins
    when its tasks may start.
    """
    job = task.job
    if task.needs.long_running:
        return job.arrived_ms
    if job.spec.schedule is not None:
        return now_ms + latest_start_ms(job, estimates) - job.arrived_ms
    latest = latest_start_ms(job, estimates)
    late_ms = MAX_OBJECTIVE_RATIO * objective_ms(job, estimates) - chain_ms(
        job, estimates
    )
    if now_ms > job.arrived_ms + late_ms:
        return latest + HOPELESS_MS
    return latest


def hopeless(job: Job, estimates: Estimates, now_ms: int) -> bool:
    """Whether a job cannot end while its client account waits, even if it starts now.

    The fastest worker may take much less than the estimate, so half of it counts.
    """
    if not job.deadline_ms:
        return False
    return now_ms + chain_ms(job, estimates) * FASTEST_SHARE > job.deadline_ms


@attrs.define
class WaitingQueue:
    """Tasks that wait, in the order in which they are to start.

    Attributes:
        cpu_ms: Work that waits, by service, in thousandths of a core times
            milliseconds.
    """

    _rows: SortedKeyList = attrs.field(
        factory=lambda: SortedKeyList(key=lambda row: row[:2])
    )
    _keys: dict[Task, tuple[float, int, Task]] = attrs.field(factory=dict)
    _added: int = 0
    cpu_ms: dict[str, int] = attrs.field(factory=dict)
    _work: dict[Task, int] = attrs.field(factory=dict)

    def add(self, task: Task, estimates: Estimates, now_ms: int) -> None:
        """Let a task wait; one that waits already keeps its place."""
        if task in self._keys:
            return
        self._added += 1
        key = waiting_key(task, estimates, now_ms)
        row = (key, self._added, task)
        self._keys[task] = row
        self._rows.add(row)
        needs = task.needs
        run_ms = estimates.run_ms(task.job.spec.policy.queue, needs.estimate_ms)
        # Whole numbers, so that the sum returns to zero.
        work = round(needs.cpu * run_ms)
        self._work[task] = work
        service = task.job.spec.policy.service
        self.cpu_ms[service] = self.cpu_ms.get(service, 0) + work

    def defer_late(self, now_ms: int) -> None:
        """Put jobs that have not started behind others once they must be late."""
        while self._rows and self._rows[0][0] < now_ms:
            late = [row for row in self._rows[:LATE_BATCH] if row[0] < now_ms]
            moved = False
            for key, _, task in late:
                if task.job.started or task.job.exempt_from_aging or key < 0:
                    continue
                self._move_behind(task)
                moved = True
            if not moved:
                return

    def in_time(self, service: str, estimates: Estimates) -> list[WaitingJob]:
        """Return the jobs of a service that may still be in time, in their order."""
        found: dict[Job, list[float]] = {}
        for key, _, task in self._rows:
            if key >= LATE_MS:
                break
            if task.job.spec.policy.service == service:
                sums = found.setdefault(task.job, [0.0, 0.0])
                sums[0] += task.needs.cpu
                sums[1] += self._work[task]
        return [
            WaitingJob(
                job,
                latest_start_ms(job, estimates),
                job.arrived_ms,
                cpu,
                work,
                not job.started and not job.exempt_from_aging,
            )
            for job, (cpu, work) in found.items()
        ]

    def defer(self, job: Job) -> None:
        """Put the waiting tasks of a job behind all that can be in time."""
        for task in job.all_tasks():
            row = self._keys.get(task)
            if row is not None and row[0] < LATE_MS:
                self._move_behind(task)

    def _move_behind(self, task: Task) -> None:
        key, added, _ = row = self._keys[task]
        self._rows.remove(row)
        self._keys[task] = (key + LATE_MS, added, task)
        self._rows.add(self._keys[task])

    def remove(self, task: Task) -> None:
        """Take a task out if it waits."""
        row = self._keys.pop(task, None)
        if row is not None:
            self._rows.remove(row)
            self.cpu_ms[task.job.spec.policy.service] -= self._work.pop(task)

    def __len__(self) -> int:
        """Return the number of tasks that wait."""
        return len(self._rows)

    def in_order(self) -> Iterator[Task]:
        """Yield the tasks in order; they may be removed meanwhile."""
        for row in list(self._rows):
            yield row[2]

    def first(self, count: int) -> list[Task]:
        """Return the first tasks in order."""
        return [row[2] for row in self._rows[:count]]
