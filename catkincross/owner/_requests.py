"""Requests of client accounts: submit a stored job, query its state, cancel it."""

from __future__ import annotations

from typing import Any

from ..dispatch import AgentResources, Rejection, admit, fits_idle_workers
from ..jobs import (
    Job,
    JobAccepted,
    JobCancelled,
    JobSpec,
    JobState,
    TaskState,
    encode_record,
)
from ..peers import Answer, Stop
from ._effects import Reply
from ._shard import Shard, ShardPhase
from ._state import OwnerState

# Retry-After while appends fail; outages of the store last seconds.
STORE_RETRY_MS = 1_000
# Retry-After while no worker could run the job: a lost agent returns, or a new worker
# registers, within about this time.
NO_WORKER_RETRY_MS = 1_000

# Retry-After for a job whose record the log does not take. It will not be accepted as
# it is, and the interface knows no final rejection.
TOO_LARGE_RETRY_MS = 60_000

# After its start an entry has no agents yet: they connect within some 100 ms, and their
# workers register within 1,500 ms. For this long jobs are accepted and wait, instead of
# being rejected for lack of a worker.
WARM_UP_MS = 3_000


def reply(
    state: OwnerState, request: Any, outcome: str, detail: str = "", retry_ms: int = 0
) -> None:
    """Add the effect that answers a request.

    Args:
        state: State of the owner.
        request: The request to answer.
        outcome: Name of the outcome.
        detail: State of the job, or the reason of the outcome.
        retry_ms: Retry-After of a rejection, in milliseconds; 0 for none.
    """
    answer = Answer(0, outcome, detail, retry_ms)
    state.effects.append(Reply(request, answer))


def _shard_for_request(
    state: OwnerState, request: Any, job_id: str, on_open: Any
) -> Any:
    """Return the open shard of a job, or None if the request cannot continue now.

    Without the shard or without authority the request is answered with `moved`. While
    the shard is being claimed, `on_open` is registered to continue the request: it is
    called with False when the shard opens, and with True when it is dropped.
    """
    shard = state.shard_for(job_id)
    if shard is None or not state.has_authority:
        reply(state, request, "moved", "shard" if shard is None else "authority")
        return None
    if shard.phase is not ShardPhase.OPEN:
        shard.open_callbacks.append(on_open)
        return None
    return shard


def submit(state: OwnerState, request: Any, spec: JobSpec, accepted_ms: int) -> None:
    """Accept a stored job, or reject it.

    The acceptance is answered once its record is durable. A job that is already known
    is answered as accepted.

    Args:
        state: State of the owner.
        request: The request to answer.
        spec: The job.
        accepted_ms: Time of day of the acceptance, in milliseconds since 1970.
    """

    def on_open(lost: bool) -> None:
        if lost:
            reply(state, request, "moved", "shard")
        else:
            submit(state, request, spec, accepted_ms)

    shard = _shard_for_request(state, request, spec.id, on_open)
    if shard is None:
        return
    if spec.id in shard.jobs:
        reply(state, request, "accepted", "known")
        return
    if spec.id in shard.pending_accepts:
        shard.pending_accepts[spec.id].append(request)
        return
    record = JobAccepted(spec, accepted_ms, shard.epoch)
    job = Job.from_record(record, state.now_ms)
    rejection = check_admission(state, shard, job)
    if len(encode_record(record)) > state.limits.record_bytes:
        rejection = Rejection("record_too_large", TOO_LARGE_RETRY_MS)
    if rejection is not None:
        state.note(
            "job rejected",
            job=spec.id,
            reason=rejection.reason,
            retry_after_ms=rejection.retry_after_ms,
            waiting=len(state.waiting),
        )
        reply(state, request, "rejected", rejection.reason, rejection.retry_after_ms)
        return
    shard.pending_accepts[spec.id] = [request]
    shard.append(
        record,
        state.now_ms,
        on_durable=lambda now_ms: _acceptance_durable(state, shard, job),
        on_lost=lambda may_exist: _acceptance_lost(state, shard, spec.id, may_exist),
    )


def _acceptance_durable(state: OwnerState, shard: Shard, job: Job) -> None:
    """Add a job whose acceptance is durable, answer its requests, and queue it."""
    job_id = job.spec.id
    shard.jobs[job_id] = job
    shard.recorded_ms[job_id] = state.now_ms
    shard.update_open_jobs(job)
    for request in shard.pending_accepts.pop(job_id, []):
        reply(state, request, "accepted")
    state.enqueue_ready_tasks(shard, job)
    state.note(
        "job accepted",
        job=job_id,
        queue=job.spec.policy.queue,
        shard=shard.number,
        epoch=shard.epoch,
        waited_ms=state.now_ms - job.arrived_ms,
    )


def _acceptance_lost(
    state: OwnerState, shard: Shard, job_id: str, may_exist: bool
) -> None:
    """Answer the requests of a job whose acceptance was given up.

    If the shard was dropped, they are carried out by its next owner.

    Args:
        state: State of the owner.
        shard: Shard of the job.
        job_id: The job.
        may_exist: Whether the acceptance may be in the log nevertheless.
    """
    for request in shard.pending_accepts.pop(job_id, []):
        if may_exist:
            reply(state, request, "unknown", "append")
        elif state.shards.get(shard.number) is shard:
            reply(state, request, "rejected", "store_unreachable", STORE_RETRY_MS)
        else:
            reply(state, request, "moved", "shard")
    state.note("job not accepted", job=job_id, may_exist=may_exist)


def check_admission(state: OwnerState, shard: Shard, job: Job) -> Rejection | None:
    """Return the rejection of a job, or None to accept it.

    A job is rejected while appends fail, if one of its steps would fit on no worker
    even if all were idle, or if the backlog would make it end too late to be of use.
    During the warm-up a job whose service has no known worker is accepted. Jobs that
    are scheduled or have long-running tasks are not rejected for the backlog.
    """
    if shard.append_failing_since_ms is not None:
        return Rejection("store_unreachable", STORE_RETRY_MS)
    service = job.spec.policy.service
    worker_known = False
    workers: list[AgentResources] = []
    for agent_info in state.agents.values():
        if not agent_info.serves(service):
            continue
        worker_known = True
        worker = agent_info.resources(state.estimates, state.now_ms)
        if worker is None or not state.may_serve(agent_info, service):
            continue
        workers.append(worker)
    if not all(fits_idle_workers(step, workers) for step in job.spec.steps):
        if not worker_known and state.now_ms - (state.started_ms or 0) < WARM_UP_MS:
            return None
        return Rejection("no_worker", NO_WORKER_RETRY_MS)
    if job.exempt_from_aging:
        return None
    return admit(
        job,
        state.estimates,
        waiting_cpu_ms=state.placeable_work(service),
        cpu_capacity=state.capacity(service),
    )


def job_state(state: OwnerState, request: Any, job_id: str) -> None:
    """Answer with the state of a job.

    An unknown job is answered with `gone` only if no other entry can own its shard.
    """

    def on_open(lost: bool) -> None:
        if lost:
            reply(state, request, "moved", "shard")
        else:
            job_state(state, request, job_id)

    shard = _shard_for_request(state, request, job_id, on_open)
    if shard is None:
        return
    if job_id in shard.pending_accepts:
        reply(state, request, "state", JobState.QUEUED)
        return
    job = shard.jobs.get(job_id)
    if job is None and not state.is_member:
        reply(state, request, "moved", "membership")
    elif job is None:
        _deny_job(state, shard, request, job_id)
    else:
        reply(state, request, "state", job.state)


def _deny_job(state: OwnerState, shard: Shard, request: Any, job_id: str) -> None:
    """Answer that there is no such job, once the log shows that this is known.

    The group may have assigned the shard to another entry since the last join, and that
    entry may have accepted the job. Its claim fences this one, whose append then fails.
    """

    def deny(now_ms: int) -> None:
        reply(state, request, "gone")
        state.note("job asked for is not known", job=job_id, shard=shard.number)

    def fail(may_exist: bool) -> None:
        owned = state.shards.get(shard.number) is shard
        outcome = ("unknown", "append") if owned else ("moved", "shard")
        reply(state, request, *outcome)

    shard.append(
        shard.agents_record(state.wall_ms),
        state.now_ms,
        on_durable=deny,
        on_lost=fail,
        once=True,
    )


def cancel(state: OwnerState, request: Any, job_id: str) -> None:
    """Cancel a job, and answer once the cancellation is durable.

    A job that has ended is answered at once with its final state.
    """

    def on_open(lost: bool) -> None:
        if lost:
            reply(state, request, "moved", "shard")
        else:
            cancel(state, request, job_id)

    shard = _shard_for_request(state, request, job_id, on_open)
    if shard is None:
        return
    job = shard.jobs.get(job_id)
    if job is None and (job_id in shard.pending_accepts or not state.is_member):
        reply(state, request, "unknown")
        return
    if job is None:
        _deny_job(state, shard, request, job_id)
        return
    if job.final_state is not None:
        reply(state, request, "cancelled", job.final_state)
        return

    def finish_cancelled(now_ms: int) -> None:
        if job.final_state is None:
            job.finish(JobState.CANCELLED, now_ms)
            job_ended(state, shard, job)
        reply(state, request, "cancelled")

    shard.append(
        JobCancelled(job_id),
        state.now_ms,
        on_durable=finish_cancelled,
        on_lost=lambda may_exist: reply(state, request, "unknown"),
    )


def job_ended(state: OwnerState, shard: Shard, job: Job) -> None:
    """Stop the runs of a job that has ended, and remove its tasks from the queue."""
    shard.update_open_jobs(job)
    for task in job.all_tasks():
        if task.state is TaskState.WAITING:
            state.waiting.remove(task)
        elif task.state is TaskState.ASSIGNED:
            stop_run(state, shard, task)
    state.note(
        "job ended",
        job=job.spec.id,
        queue=job.spec.policy.queue,
        state=str(job.state),
        total_ms=job.ended_ms - job.arrived_ms,
    )


def stop_run(state: OwnerState, shard: Shard, task: Any) -> None:
    """Send the order to stop a task's run."""
    task.stopping = True
    holder = state.agents.get(task.agent)
    if holder is not None and holder.replaced:
        # The host is cut off, and its lease ends.
        return
    stop = Stop(shard.number, shard.epoch, task.name, task.run)
    state.send_to_agent(task.agent, stop)
