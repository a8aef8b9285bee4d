"""Work done while a data centre leaves and returns."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from ._workload import JobPlan, Workload

RAMP_MS = 5_000
DRAIN_BOUND_MS = 3_000


@attrs.frozen
class TaskRun:
    """A task that ran on an upstream; times from the start of the load."""

    upstream: str
    begin_ms: float
    end_ms: float


def last_start_ms(
    workload: Workload, runs: Sequence[TaskRun], drained_ms: float, restored_ms: float
) -> float:
    """Return the time from an accepted drain to the last start there; 0 if none."""
    gone = {
        u.name
        for u in workload.upstreams
        if u.data_centre == workload.drain.data_centre
    }
    late = [
        run.begin_ms - drained_ms
        for run in runs
        if run.upstream in gone and drained_ms <= run.begin_ms < restored_ms
    ]
    return round(max(late, default=0.0), 1)


def work_shares(
    workload: Workload, plans: Sequence[JobPlan], runs: Sequence[TaskRun]
) -> dict[str, float]:
    """Return the work done in three spans as a share of what the slots allow.

    Work in a span counts by the time for which it ran there. What the slots allow
    is bounded by the work that has arrived and is not done at the span's start or
    arrives within it.
    """
    phase = workload.drain
    spans = {
        "before": (phase.at_ms - 5_000, phase.at_ms, ""),
        "during": (
            phase.at_ms + DRAIN_BOUND_MS,
            phase.restore_ms,
            phase.data_centre,
        ),
        "after": (phase.restore_ms + RAMP_MS, phase.duration_ms, ""),
    }
    speeds = {u.name: u.speed for u in workload.upstreams}
    shares = {}
    for name, (from_ms, to_ms, without) in spans.items():
        done = earlier = 0.0
        for run in runs:
            speed = speeds[run.upstream]
            done += speed * max(
                0.0, min(run.end_ms, to_ms) - max(run.begin_ms, from_ms)
            )
            earlier += speed * max(0.0, min(run.end_ms, from_ms) - run.begin_ms)
        offered = sum(sum(p.works) for p in plans if p.at_ms < to_ms) - earlier
        allowed = min(workload.capacity(without=without) * (to_ms - from_ms), offered)
        shares[name] = round(done / allowed, 4)
    return shares
