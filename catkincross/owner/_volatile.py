"""Volatile jobs, which only their entry knows and which are answered at their end."""

from __future__ import annotations

from typing import Any

import attrs

from ..dispatch import (
    GIVEN_UP_MEMORY_MS,
    AgentResources,
    SizeKey,
    cannot_meet_deadline,
    critical_path_ms,
    fits_idle_workers,
    latest_start_ms,
    objective_ms,
    size_key,
)
from ..jobs import Job, JobAccepted, JobSpec, JobState, Step, TaskState
from ._requests import NO_WORKER_RETRY_MS, check_admission, job_ended, reply
from ._state import OwnerState, owner_system
from ._volatile_shard import Resubmission, VolatileChange

# An ended job is retained for this long, so that a request that is repeated 1,300 ms
# after its connection broke gets the same answer.
ENDED_JOB_RETENTION_MS = 4_000
# Interval between checks for jobs that cannot end in time.
DEADLINE_CHECK_INTERVAL_MS = 50


def submit_volatile(
    state: OwnerState, request: Any, spec: JobSpec, arrived_ms: int, timeout_ms: int
) -> None:
    """Begin a volatile job, or reject it.

    A further request for an open job waits for the same end; one for an ended job is
    answered at once. A job that was given up begins anew once no worker has a run of
    it; crashes of workers under its tasks are still counted.

    Args:
        state: State of the owner.
        request: The request to answer when the job ends.
        spec: The job.
        arrived_ms: Time at which the request arrived at the entry. It may have waited
            there, and its objective and its deadline count from its arrival.
        timeout_ms: How long the client account waits, in milliseconds.
    """
    shard = state.volatile
    existing = shard.jobs.get(spec.id)
    if existing is not None and existing.final_state is JobState.CANCELLED:
        postponed = shard.resubmissions.setdefault(spec.id, [])
        postponed.append(
            Resubmission(
                request,
                lambda: submit_volatile(state, request, spec, arrived_ms, timeout_ms),
            )
        )
        return
    if existing is not None and existing.final_state is not None:
        reply(state, request, "state", existing.state)
        return
    if existing is not None:
        shard.requests[spec.id].append(request)
        return
    crash_ends = shard.remembered_crashes(spec.id, state.now_ms)
    job = Job.from_record(JobAccepted(spec, 0, shard.epoch, crash_ends), arrived_ms)
    job.deadline_ms = arrived_ms + timeout_ms
    if job.final_state is not None:
        reply(state, request, "state", job.state)
        return
    earlier_run = shard.remembered_run(spec.id)
    if earlier_run:
        job.number_runs_above(earlier_run)
    rejection = check_admission(state, shard, job)
    if rejection is not None:
        _reject(state, request, spec.id, rejection.reason, rejection.retry_after_ms)
        return
    shard.jobs[spec.id] = job
    shard.update_open_jobs(job)
    shard.requests[spec.id] = [request]
    state.volatile_changes[spec.id] = VolatileChange.BEGUN
    state.enqueue_ready_tasks(shard, job)
    state.note("job begun", job=spec.id, queue=spec.policy.queue, limit_ms=timeout_ms)


def _reject(
    state: OwnerState, request: Any, job_id: str, reason: str, retry_after_ms: int
) -> None:
    """Reject a job of which no task was sent, which says that it has not run.

    The outcome of a job that an earlier request began is `unknown` instead: its tasks
    may have run before it was given up.
    """
    if job_id in state.volatile.given_up_ms:
        reply(state, request, "unknown", reason)
    else:
        reply(state, request, "rejected", reason, retry_after_ms)


def abandon(state: OwnerState, request: Any, job_id: str) -> None:
    """Remove the request of a client account that has left.

    The job is given up if no other request waits for it. A submission that waits for
    the end of earlier runs is not carried out.
    """
    postponed = state.volatile.resubmissions.get(job_id, [])
    postponed[:] = [other for other in postponed if other.request != request]
    requests = state.volatile.requests.get(job_id, [])
    if request not in requests:
        return
    requests.remove(request)
    if not requests:
        del state.volatile.requests[job_id]
        give_up(state, state.volatile.jobs[job_id], "client left")


def give_up(state: OwnerState, job: Job, reason: str) -> None:
    """Cancel a job that nobody waits for, or that cannot end in time."""
    if job.started:
        state.volatile.given_up_ms[job.spec.id] = state.now_ms
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


def give_up_and_answer(state: OwnerState, job: Job, reason: str) -> None:
    """Give up a job that may run elsewhere, and answer its requests at once."""
    shard = state.volatile
    shard.given_up_ms[job.spec.id] = state.now_ms
    for request in shard.requests.pop(job.spec.id, []):
        reply(state, request, "unknown", reason)
    if job.final_state is None:
        give_up(state, job, reason)


def give_up_all(state: OwnerState, reason: str) -> None:
    """Give up all open jobs, which may run elsewhere, and answer their requests."""
    for job in list(state.volatile.open_jobs.values()):
        give_up_and_answer(state, job, reason)


def reply_to_requests(state: OwnerState, job: Job) -> None:
    """Answer the requests that wait for a job with its final state."""
    for request in state.volatile.requests.pop(job.spec.id, []):
        reply(state, request, "state", job.state)


@owner_system(order=700)
def end_volatile_jobs(state: OwnerState) -> None:
    """Answer ended jobs, give up those that cannot end in time, and forget old ones."""
    shard = state.volatile
    for job_id in [*shard.requests]:
        job = shard.jobs[job_id]
        if job.final_state is not None:
            reply_to_requests(state, job)
            state.close_volatile_job(job)
    if state.now_ms < state.next_deadline_check_ms:
        return
    state.next_deadline_check_ms = state.now_ms + DEADLINE_CHECK_INTERVAL_MS
    idle_fit = IdleFit(state)
    for job in list(shard.open_jobs.values()):
        if not _check_deadline(state, job):
            _check_fit(state, job, idle_fit)
    _forget_old_jobs(state)


def _forget_old_jobs(state: OwnerState) -> None:
    """Forget jobs that ended or were given up too long ago to be asked for.

    A job is remembered while an agent may have a run of it: another submission would
    begin it anew beside that run.
    """
    shard = state.volatile
    for job_id, given_up_ms in list(shard.given_up_ms.items()):
        if state.now_ms - given_up_ms > GIVEN_UP_MEMORY_MS:
            del shard.given_up_ms[job_id]
    shard.forget_run_numbers(state.now_ms)
    for job_id, (forgotten_ms, _) in list(shard.crash_ends.items()):
        if state.now_ms - forgotten_ms > GIVEN_UP_MEMORY_MS:
            del shard.crash_ends[job_id]
    for job_id, job in list(shard.jobs.items()):
        if (
            job.final_state is not None
            and state.now_ms - job.ended_ms > ENDED_JOB_RETENTION_MS
        ):
            if job.final_state is JobState.CANCELLED or _has_assigned_tasks(job):
                continue
            shard.remember_runs(job_id, job.highest_run, state.now_ms)
            shard.remember_crashes(job, state.now_ms)
            shard.forget(job_id)


def _has_assigned_tasks(job: Job) -> bool:
    return any(task.state is TaskState.ASSIGNED for task in job.all_tasks())


def _starts_too_late(state: OwnerState, job: Job) -> bool:
    """Whether a job that has missed its latest start cannot end by its deadline.

    Its expected wait, behind all waiting work of the service, and its run time exceed
    the time that is left.
    """
    if job.started or state.now_ms <= latest_start_ms(job, state.estimates):
        return False
    service = job.spec.policy.service
    wait_ms = state.backlog_wait_ms(service) + critical_path_ms(job, state.estimates)
    return state.now_ms + wait_ms > job.deadline_ms


def _check_deadline(state: OwnerState, job: Job) -> bool:
    """Give up a job that is past its deadline, or cannot end by it, and answer it.

    Returns:
        Whether the job was given up.
    """
    has_waiting_tasks = any(task.state is TaskState.WAITING for task in job.all_tasks())
    past_deadline = state.now_ms >= job.deadline_ms
    cannot_finish = cannot_meet_deadline(
        job, state.estimates, state.now_ms
    ) or _starts_too_late(state, job)
    if not past_deadline and not (has_waiting_tasks and cannot_finish):
        return False
    requests = state.volatile.requests.pop(job.spec.id, [])
    for request in requests:
        if not job.started:
            wait_ms = state.backlog_wait_ms(job.spec.policy.service)
            _reject(state, request, job.spec.id, "backlog", wait_ms + 1)
        else:
            # A task may have run, so the job cannot be rejected as not run. It has not
            # failed either: no task has used up its attempts.
            reply(state, request, "unknown", "deadline" if past_deadline else "backlog")
    give_up(state, job, "cannot end in time")
    return True


@attrs.define
class IdleFit:
    """Which steps would fit on the known workers if these were idle, in one check.

    Attributes:
        state: State of the owner.
    """

    state: OwnerState
    _workers: dict[str, list[AgentResources]] = attrs.field(factory=dict)
    _fits: dict[tuple[str, SizeKey], bool] = attrs.field(factory=dict)

    def fits(self, service: str, step_spec: Step) -> bool:
        """Whether a step fits; also if no worker of the service is known."""
        key = service, size_key(step_spec)
        found = self._fits.get(key)
        if found is None:
            workers = self._workers.get(service)
            if workers is None:
                workers = self._workers[service] = self.state.idle_workers(service)
            found = not workers or fits_idle_workers(step_spec, workers)
            self._fits[key] = found
        return found


def _check_fit(state: OwnerState, job: Job, idle_fit: IdleFit) -> None:
    """Give up and answer a late job of which a waiting task fits on no known worker.

    The workers may have shrunk since the job began. Until it is late it waits for them
    to grow again. A started job is given up once it has missed its objective and none
    of its tasks runs.
    """
    if job.exempt_from_aging:
        return
    if not job.started:
        late = state.now_ms > latest_start_ms(job, state.estimates)
    else:
        late = state.now_ms > job.arrived_ms + objective_ms(job, state.estimates)
    if not late or _has_assigned_tasks(job):
        return
    service = job.spec.policy.service
    if all(
        idle_fit.fits(service, task.step_spec)
        for task in job.all_tasks()
        if task.state is TaskState.WAITING
    ):
        return
    for request in state.volatile.requests.pop(job.spec.id, []):
        if job.started:
            reply(state, request, "unknown", "no_worker")
        else:
            _reject(state, request, job.spec.id, "no_worker", NO_WORKER_RETRY_MS)
    give_up(state, job, "fits on no worker")
