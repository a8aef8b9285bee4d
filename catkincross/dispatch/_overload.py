"""Deferral: choice of the waiting jobs to put back when not all can be in time.

Load pattern: after an outage or in a burst, more work waits than the workers can start
in time. If all jobs start in the order of their latest start, each one starts at that
time, and any error of its estimate makes it late. So the jobs that have used up most
of their slack are deferred until the others can start in time, and fresh jobs are
served as if there were no backlog.

The slack of a job is the time from its arrival to its latest start.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Any

import attrs

# Share of a job's slack that is kept for errors of its estimated run time.
MARGIN_SHARE = 0.25


@attrs.frozen
class WaitingJob:
    """A job with waiting tasks.

    Attributes:
        job: The job.
        latest_start_ms: Latest start with which the job ends in time, on the owner's
            clock in milliseconds.
        arrived_ms: When the job arrived, on the same clock.
        cpu: Processor capacity that its waiting tasks need, in millicores.
        work: Work of its waiting tasks in millicore-milliseconds.
        deferrable: Whether the job may be deferred.
    """

    job: Any
    latest_start_ms: float
    arrived_ms: float
    cpu: float
    work: float
    deferrable: bool = True

    @property
    def start_by_ms(self) -> float:
        """Latest start less a margin for errors of the estimated run time."""
        slack_ms = max(self.latest_start_ms - self.arrived_ms, 0.0)
        return self.latest_start_ms - MARGIN_SHARE * slack_ms

    def used_slack(self, now_ms: float) -> float:
        """Return the used share of the slack; it is above 1 after the latest start."""
        slack_ms = max(self.latest_start_ms - self.arrived_ms, 1.0)
        return (now_ms - self.arrived_ms) / slack_ms


def jobs_to_defer(
    waiting: Iterable[WaitingJob], *, now_ms: float, capacity: float, free_cpu: float
) -> list[WaitingJob]:
    """Return the jobs to defer so that all others can start in time.

    This is the algorithm of Moore and Hodgson for the fewest late jobs, but it drops
    the job with the largest used share of its slack instead of the longest one: by
    length, the largest jobs would always be deferred.

    Args:
        waiting: Jobs in the order of their latest start.
        now_ms: Current time on the process's clock, in milliseconds.
        capacity: Capacity of the workers in millicores.
        free_cpu: Free processor capacity in millicores; negative counts as 0.
    """
    deferred: list[WaitingJob] = []
    # Heap of the deferrable jobs that are kept so far; the next to defer comes first.
    kept: list[tuple[float, int, WaitingJob]] = []
    cpu = work = 0.0
    for number, job in enumerate(waiting):
        if job.deferrable:
            heapq.heappush(kept, (-job.used_slack(now_ms), number, job))
        cpu += job.cpu
        work += job.work
        while kept and _start_delay_ms(job, cpu, work, capacity, free_cpu) > (
            max(job.start_by_ms - now_ms, 0.0)
        ):
            _, _, victim = heapq.heappop(kept)
            deferred.append(victim)
            cpu -= victim.cpu
            work -= victim.work
            if victim is job:
                break
    return deferred


def _start_delay_ms(
    job: WaitingJob, cpu: float, work: float, capacity: float, free_cpu: float
) -> float:
    """Return how long from now a job starts, after all kept jobs before it.

    Args:
        job: The job.
        cpu: Millicores that this job and the kept jobs before it need.
        work: Work of these jobs in millicore-milliseconds.
        capacity: Capacity of the workers in millicores; the delay is 0 if not known.
        free_cpu: Free processor capacity in millicores.
    """
    cpu_before = cpu - job.cpu
    free_cpu = max(free_cpu, 0.0)
    if cpu_before <= free_cpu or capacity <= 0:
        return 0.0
    # The part of the work that fits into the free capacity starts at once; the rest
    # starts as capacity becomes free.
    return (work - job.work) * (1 - free_cpu / cpu_before) / capacity
