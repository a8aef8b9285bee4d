"""Volatile jobs: kept by the entry alone, answered at their end."""

from __future__ import annotations

from typing import Any

from ..dispatch import chain_ms, hopeless, latest_start_ms
from ..jobs import Job, JobAccepted, JobSpec, JobState, TaskState
from ._requests import check_admission, job_ended, reply
from ._state import OwnerState, owner_system

# An ended job is known for this long, in milliseconds, so that a repeat of its
# request, 1,300 ms after a broken answer, gets the same answer.
ENDED_JOB_RETENTION_MS = 4_000
# Interval of the check for jobs that cannot end in time, in milliseconds.
DEADLINE_CHECK_INTERVAL_MS = 50


def submit_volatile(
    state: OwnerState, request: Any, spec: JobSpec, limit_ms: int
) -> None:
    """Begin a volatile job, or reject it.

    Args:
        state: The owner.
        request: Whom to answer at the end.
        spec: The job.
        limit_ms: How long the client account waits.
    """
    shard = state.volatile
    known = shard.jobs.get(spec.id)
    if known is not None and known.state_end is JobState.CANCELLED:
        postponed = shard.resubmissions.setdefault(spec.id, [])
        postponed.append(lambda: submit_volatile(state, request, spec, limit_ms))
        return
    if known is not None and known.state_end is not None:
        reply(state, request, "state", known.state)
        return
    if known is not None:
        shard.requests[spec.id].append(request)
        return
    job = Job.from_record(JobAccepted(spec, 0, shard.epoch), state.now_ms)
    job.deadline_ms = state.now_ms + limit_ms
    rejection = check_admission(state, shard, job)
    if rejection is not None:
        reply(state, request, "rejected", rejection.reason, rejection.retry_after_ms)
        return
    shard.jobs[spec.id] = job
    shard.update_open_jobs(job)
    shard.requests[spec.id] = [request]
    state.volatile_begun.append(spec.id)
    state.enqueue_ready_tasks(shard, job)
    state.note("job begun", job=spec.id, queue=spec.policy.queue, limit_ms=limit_ms)


def abandon(state: OwnerState, request: Any, job_id: str) -> None:
    """Give a job up whose client account has left."""
    requests = state.volatile.requests.get(job_id, [])
    if request not in requests:
        return
    requests.remove(request)
    if not requests:
        del state.volatile.requests[job_id]
        give_up(state, state.volatile.jobs[job_id], "client left")


def give_up(state: OwnerState, job: Job, reason: str) -> None:
    """Stop a job that nobody waits for, or that cannot end in time."""
    job.finish(JobState.CANCELLED, state.now_ms)
    service = job.spec.policy.service
    state.note(
        "job given up",
        job=job.spec.id,
        reason=reason,
        started=job.started,
        age_ms=state.now_ms - job.arrived_ms,
        left_ms=job.deadline_ms - state.now_ms,
        waiting_tasks=len(state.waiting),
        wait_ms=state.backlog_wait_ms(service),
        capacity_cpu=round(state.capacity(service)),
    )
    job_ended(state, state.volatile, job)
    state.close_volatile_job(job)


def reply_to_requests(state: OwnerState, job: Job) -> None:
    """Answer the requests that wait for a job that has ended."""
    for request in state.volatile.requests.pop(job.spec.id, []):
        reply(state, request, "state", job.state)


@owner_system(order=700)
def end_volatile_jobs(state: OwnerState) -> None:
    """Answer jobs that have ended, and give those up that cannot end in time."""
    shard = state.volatile
    for job_id in [*shard.requests]:
        job = shard.jobs[job_id]
        if job.state_end is not None:
            reply_to_requests(state, job)
            state.close_volatile_job(job)
    if state.now_ms < state.next_deadline_check_ms:
        return
    state.next_deadline_check_ms = state.now_ms + DEADLINE_CHECK_INTERVAL_MS
    for job in list(shard.open_jobs.values()):
        _check_deadline(state, job)
    for job_id, job in list(shard.jobs.items()):
        if (
            job.state_end is not None
            and state.now_ms - job.ended_ms > ENDED_JOB_RETENTION_MS
        ):
            if job.state_end is not JobState.CANCELLED:
                shard.forget(job_id)


def _starts_too_late(state: OwnerState, job: Job) -> bool:
    """Whether a job that must be late waits behind more work than its time allows."""
    if job.started or state.now_ms <= latest_start_ms(job, state.estimates):
        return False
    service = job.spec.policy.service
    wait_ms = state.backlog_wait_ms(service) + chain_ms(job, state.estimates)
    return state.now_ms + wait_ms > job.deadline_ms


def _check_deadline(state: OwnerState, job: Job) -> None:
    waits = any(task.state is TaskState.WAITING for task in job.all_tasks())
    late = state.now_ms >= job.deadline_ms
    given_up = hopeless(job, state.estimates, state.now_ms) or _starts_too_late(
        state, job
    )
    if not late and not (waits and given_up):
        return
    requests = state.volatile.requests.pop(job.spec.id, [])
    for request in requests:
        if not job.started:
            wait_ms = state.backlog_wait_ms(job.spec.policy.service)
            reply(state, request, "rejected", "backlog", wait_ms + 1)
        else:
            # Some tasks ran, so "not run" would be false; none has failed often
            # enough, so neither has the job.
            reply(state, request, "unknown", "deadline" if late else "backlog")
    give_up(state, job, "cannot end in time")
