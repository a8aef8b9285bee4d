"""Systems that send due appends, forget old jobs, and rewrite expiring records."""

from __future__ import annotations

from functools import partial

from ..jobs import AgentsUsed
from ._effects import Append
from ._shard import Shard, ShardPhase
from ._state import OwnerState, owner_system

# Interval between searches for jobs to forget and records to write again.
RETENTION_CHECK_INTERVAL_MS = 1_000
# Age of a job's newest full record, as a share of the log's retention, at which the
# record is written again.
REWRITE_AGE_SHARE = 1 / 3


@owner_system(order=900)
def send_appends(state: OwnerState) -> None:
    """Send the appends that are due.

    When an append is repeated, requests whose records are still queued are given up,
    so that they do not wait for an outage of the store to end.
    """
    for shard in state.shards.values():
        append = shard.next_append(state.now_ms)
        if append is not None:
            state.effects.append(append)
            if append.delay_ms:
                shard.fail_queued_requests()
                _log_repeat(state, append)


def _log_repeat(state: OwnerState, append: Append) -> None:
    state.note(
        "append repeated",
        shard=append.shard,
        epoch=append.epoch,
        sequence=append.sequence,
        records=len(append.records),
    )


@owner_system(order=950)
def retain_records(state: OwnerState) -> None:
    """Forget jobs past their retention, and rewrite records before they expire."""
    if state.now_ms < state.next_retention_check_ms:
        return
    state.next_retention_check_ms = state.now_ms + RETENTION_CHECK_INTERVAL_MS
    for shard in state.shards.values():
        if shard.phase is ShardPhase.OPEN:
            _retain_shard_records(state, shard)


def _retain_shard_records(state: OwnerState, shard: Shard) -> None:
    limits = state.limits
    for job_id, job in list(shard.jobs.items()):
        ended = job.final_state is not None
        if ended and state.now_ms - job.ended_ms > limits.status_ms:
            state.forget_runs(job)
            shard.forget(job_id)
            continue
        age_ms = state.now_ms - shard.recorded_ms[job_id]
        if age_ms > limits.keep_ms * REWRITE_AGE_SHARE:
            shard.recorded_ms[job_id] = state.now_ms
            make_record = partial(job.snapshot_record, state.wall_ms)
            shard.rewrite(job_id, make_record, state.now_ms)
    _retain_agents(state, shard)


def _retain_agents(state: OwnerState, shard: Shard) -> None:
    """Rewrite the record of the agents for which the next owner has to wait."""
    age_ms = state.now_ms - shard.agents_recorded_ms
    if not shard.recorded_agents or age_ms <= state.limits.keep_ms * REWRITE_AGE_SHARE:
        return
    shard.agents_recorded_ms = state.now_ms
    wall_ms = state.wall_ms

    def make_record() -> AgentsUsed:
        return AgentsUsed(tuple(sorted(shard.recorded_agents)), True, wall_ms)

    shard.rewrite(AgentsUsed.kind, make_record, state.now_ms)
