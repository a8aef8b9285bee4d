"""End of a job at its owner: cancellation, deadline, final answer, retention."""

from __future__ import annotations

from collections import defaultdict

import attrs

from ..foundation._ids import entry_process
from ..protocol._messages import JobAnswer, JobState, OwnedTask, Reason, Truth
from ._admission import count_closed_job
from ._cancellation import cancel_at_home
from ._entry_registry import ENTRY
from ._entry_rows import JobRow, TaskPhase, Waiter
from ._entry_state import EntryState
from ._hedging import cancel_attempts, clear_attempts
from ._home_choice import release_placement, remove_from_backlog, unplaceable_reason

# Reasons of failed results that leave open whether the task ran to its end.
UNCERTAIN_END_REASONS = {
    Reason.AGENT_LOST,
    Reason.HOME_LOST,
    Reason.DEADLINE,
    Reason.DUPLICATE,
    Reason.UPSTREAM_UNREACHABLE,
}


def answer_waiter(state: EntryState, waiter: Waiter, answer: JobAnswer) -> None:
    """Send an answer to the arrival entry of a waiting request."""
    addressed_answer = attrs.evolve(answer, request_id=waiter.request_id)
    if waiter.entry == state.name:
        state.local_answers.append(addressed_answer)
    else:
        state.send(entry_process(waiter.entry), addressed_answer)


def stop_job(state: EntryState, job: JobRow, reason: Reason) -> None:
    """Cancel the remaining tasks of a job; it ends when all its tasks have ended."""
    job.cancelling = job.cancelling or reason
    placed = defaultdict(list)
    for row in job.tasks:
        if row.phase is TaskPhase.WAITING:
            remove_from_backlog(state, job, row)
            cancel_attempts(state, row)
            row.phase = TaskPhase.ENDED
            job.open_tasks -= 1
        elif row.phase is TaskPhase.PLACED:
            cancel_attempts(state, row, except_attempt=row.attempts)
            placed[row.home].append(
                OwnedTask(state.incarnation, row.task, row.attempts)
            )
    for home, tasks in placed.items():
        cancel_at_home(state, home, tasks)
    if job.open_tasks == 0:
        finish_job(state, job)


def finish_job(state: EntryState, job: JobRow) -> None:
    """Answer a job whose tasks have all ended or whose deadline has passed."""
    if job.answer is not None:
        return
    if job.cancelling:
        answer = JobAnswer(0, job.key, JobState.FAILED, job_truth(job), job.cancelling)
    else:
        results = [row.result for row in job.tasks if row.result is not None]
        answer = JobAnswer(0, job.key, JobState.COMPLETE, results=results)
    job.answer = attrs.evolve(
        answer, tasks=len(job.tasks), tasks_done=len(job.tasks) - job.open_tasks
    )
    job.state = answer.state
    state.dispatch.unfit_homes.pop(job.key_hash, None)
    count_closed_job(state, job)
    state.emit(
        "owner",
        "job ended",
        job=job.key_hash.hex(),
        state=str(answer.state),
        truth=str(answer.truth),
        reason=str(answer.reason),
    )
    for waiter in job.waiters:
        answer_waiter(state, waiter, job.answer)
    job.waiters.clear()
    retention_ms = state.settings.jobs.key_retention_ms
    state.job_due.set(job.key_hash, state.now_ms + retention_ms)


def fail_jobs(state: EntryState) -> None:
    """Fail and remove all open jobs, at the end of this incarnation.

    Another entry may own their keys by now and run the jobs, so the answer is
    `MAY_HAVE_RUN`.
    """
    for key_hash, job in list(state.jobs.rows.items()):
        if job.answer is not None:
            continue
        answer = JobAnswer(
            0, job.key, JobState.FAILED, Truth.MAY_HAVE_RUN, Reason.OWNER_LOST
        )
        for waiter in job.waiters:
            answer_waiter(state, waiter, answer)
        for row in job.tasks:
            remove_from_backlog(state, job, row)
            release_placement(state, job, row)
            clear_attempts(state, row)
        count_closed_job(state, job)
        state.jobs.remove(key_hash)
        state.job_due.cancel(key_hash)
    state.unqueued_tasks.clear()


def job_truth(job: JobRow) -> Truth:
    """Return whether the tasks of a failed job have run, as far as this owner knows."""
    results = [row.result for row in job.tasks if row.result is not None]
    started = [result for result in results if not result.not_run]
    possibly_started = any(
        row.result is None and row.may_have_started for row in job.tasks
    )
    if possibly_started or any(
        result.reason in UNCERTAIN_END_REASONS for result in started
    ):
        return Truth.MAY_HAVE_RUN
    return Truth.FAILED if started else Truth.NOT_RUN


@ENTRY.system(order=380)
def _fail_unplaceable(state: EntryState) -> None:
    for key_hash in state.dispatch.unplaced_jobs.pop_due(state.now_ms):
        job = state.jobs.get(key_hash)
        if job is None or job.answer is not None:
            continue
        reason = unplaceable_reason(state, job)
        if reason and not job.cancelling:
            stop_job(state, job, reason)


@ENTRY.system(order=520)
def _expire_jobs(state: EntryState) -> None:
    for key_hash in state.job_due.pop_due(state.now_ms):
        job = state.jobs.get(key_hash)
        if job is None:
            continue
        if job.answer is not None:
            for row in job.tasks:
                release_placement(state, job, row)
            state.jobs.remove(key_hash)
            continue
        stop_job(state, job, Reason.DEADLINE)
        # If a task without a result may have started, the answer is `MAY_HAVE_RUN`.
        finish_job(state, job)
    state.jobs.changed.clear()
