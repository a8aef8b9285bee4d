"""System that queues the steps of scheduled jobs when they become due."""

from __future__ import annotations

import heapq

from ._shard import ShardPhase
from ._state import OwnerState, owner_system


@owner_system(order=400)
def enqueue_due_steps(state: OwnerState) -> None:
    """Queue the tasks of steps whose due time, a time of day, has come."""
    while state.due_jobs and state.due_jobs[0][0] <= state.wall_ms:
        due_ms, job_id = heapq.heappop(state.due_jobs)
        shard = state.shard_for(job_id)
        if shard is None or shard.phase is not ShardPhase.OPEN:
            continue
        job = shard.open_jobs.get(job_id)
        if job is not None:
            state.note("job due", job=job_id, late_ms=state.wall_ms - due_ms)
            state.enqueue_ready_tasks(shard, job)
