"""Choice of the jobs to defer when not all can be in time.

Load pattern: after an outage or in a burst more work waits than the workers can start
in time. Started in the order of their latest start, all jobs then start at that time,
and each is late by the error of its estimate. The jobs that have used up most of their
allowance of waiting are deferred until the others can start in time, so that fresh jobs
are served as if there were no backlog.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Any

import attrs

# Part of the allowance of waiting that is kept for errors of estimated run times.
MARGIN_SHARE = 0.25


@attrs.frozen
class WaitingJob:
    """A job whose tasks wait.

    Attributes:
        job: The job.
        latest_start_ms: Latest start with which it ends in time.
        arrived_ms: When it arrived.
        cpu: Thousandths of a core that its waiting tasks need.
        work: Work of these tasks, in thousandths of a core times milliseconds.
        deferrable: Whether it may be put behind the others.
    """

    job: Any
    latest_start_ms: float
    arrived_ms: float
    cpu: float
    work: float
    deferrable: bool = True

    @property
    def start_by_ms(self) -> float:
        """Start with which the job is in time although its estimate is off."""
        allowance_ms = max(self.latest_start_ms - self.arrived_ms, 0.0)
        return self.latest_start_ms - MARGIN_SHARE * allowance_ms

    def used_share(self, now_ms: float) -> float:
        """Return which part of its allowance of waiting is used up."""
        allowance_ms = max(self.latest_start_ms - self.arrived_ms, 1.0)
        return (now_ms - self.arrived_ms) / allowance_ms


def jobs_to_defer(
    waiting: Iterable[WaitingJob], *, now_ms: float, capacity: float, free_cpu: float
) -> list[WaitingJob]:
    """Return the jobs to defer, so that all others can start in time.

    It follows the rule of Moore and Hodgson for the fewest late jobs, with the used
    share of the allowance in place of the length: by length, the largest jobs would
    always be deferred.

    Args:
        waiting: Jobs in the order of their latest start.
        now_ms: Time.
        capacity: Capacity of the workers, in thousandths of a core.
        free_cpu: Thousandths of a core that are free now.
    """
    chosen: list[WaitingJob] = []
    kept: list[tuple[float, int, WaitingJob]] = []
    cpu = work = 0.0
    for number, row in enumerate(waiting):
        if row.deferrable:
            heapq.heappush(kept, (-row.used_share(now_ms), number, row))
        cpu += row.cpu
        work += row.work
        while kept and _starts_ms(row, cpu, work, capacity, free_cpu) > (
            max(row.start_by_ms - now_ms, 0.0)
        ):
            _, _, victim = heapq.heappop(kept)
            chosen.append(victim)
            cpu -= victim.cpu
            work -= victim.work
            if victim is row:
                break
    return chosen


def _starts_ms(
    row: WaitingJob, cpu: float, work: float, capacity: float, free_cpu: float
) -> float:
    """Return when a job starts, counted from now, if all work up to it is kept."""
    before = cpu - row.cpu
    free_cpu = max(free_cpu, 0.0)
    if before <= free_cpu or capacity <= 0:
        return 0.0
    # Work that finds a free core starts at once, and the rest as cores become free.
    return (work - row.work) * (1 - free_cpu / before) / capacity
