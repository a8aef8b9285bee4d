"""Runs of a soak's workers, and the tasks of which two went on at the same time."""

from __future__ import annotations

import math
from collections.abc import Iterable
from itertools import combinations

import attrs

from standins.platform_worker import PlatformWorker

# Faults this long before and after two overlapping runs are listed, in milliseconds.
FAULT_MARGIN_MS = 3_000


@attrs.define
class Run:
    """A run as its worker saw it; `end_ms` is infinite if the worker lost track."""

    task: str
    number: int
    worker: str
    start_ms: float
    end_ms: float = math.inf
    how: str = "no end"


@attrs.frozen
class Send:
    """One request of a caller for a job, and how it ended."""

    job_id: str
    entry: str
    at_ms: int
    end_ms: int
    outcome: str


@attrs.define
class Fault:
    """A fault, or the end of a daemon by itself; `end_ms` is when it was healed."""

    what: str
    at_ms: int
    end_ms: float = math.inf


def runs_of(worker: PlatformWorker) -> list[Run]:
    """Return the runs of a worker in the order of their starts."""
    runs: list[Run] = []
    active: dict[tuple[str, int], Run] = {}
    for at_ms, what, task, number in worker.run_events:
        if what == "start":
            run = active[task, number] = Run(task, number, worker.instance, at_ms)
            runs.append(run)
        else:
            ended = active.pop((task, number))
            ended.end_ms, ended.how = at_ms, what
    return runs


def overlapping_runs(workers: Iterable[PlatformWorker]) -> list[tuple[Run, Run]]:
    """Return the pairs of runs of one task that went on at the same time."""
    by_task: dict[str, list[Run]] = {}
    for worker in workers:
        for run in runs_of(worker):
            by_task.setdefault(run.task, []).append(run)
    return [
        (first, second)
        for runs in by_task.values()
        for first, second in combinations(sorted(runs, key=_start_ms), 2)
        if second.start_ms < first.end_ms
    ]


def _start_ms(run: Run) -> float:
    return run.start_ms


def describe(
    pair: tuple[Run, Run], sends: list[Send], faults: list[Fault], began_ms: int
) -> str:
    """Return what is known of two overlapping runs; times in seconds of the soak."""

    def span(start_ms: float, end_ms: float) -> str:
        return f"{(start_ms - began_ms) / 1e3:.3f} to {(end_ms - began_ms) / 1e3:.3f} s"

    task = pair[0].task
    lines = [f"task {task} ran twice at a time"]
    for run in pair:
        times = span(run.start_ms, run.end_ms)
        lines.append(f"  run {run.number} on {run.worker}: {times}, {run.how}")
    lines += [
        f"  sent to {send.entry}: {span(send.at_ms, send.end_ms)}, {send.outcome}"
        for send in sends
        if send.job_id == task.partition(".")[0]
    ]
    first_ms = pair[0].start_ms - FAULT_MARGIN_MS
    last_ms = pair[1].start_ms + FAULT_MARGIN_MS
    lines += [
        f"  {fault.what}: {span(fault.at_ms, fault.end_ms)}"
        for fault in faults
        if fault.at_ms <= last_ms and fault.end_ms >= first_ms
    ]
    return "\n".join(lines)
