"""Owner role: admits jobs, places their tasks on homes, and answers."""

from __future__ import annotations

from ..foundation._ids import TaskId, entry_process, hash_key, split_process
from ..protocol._messages import (
    CancelJob,
    ForwardJob,
    JobAnswer,
    JobAsked,
    JobState,
    PlacedTask,
    Reason,
    TaskResult,
    TaskResults,
    TaskStatus,
    Truth,
)
from ._admission import check_admission, count_open_job
from ._entry_registry import ENTRY
from ._entry_rows import JobRow, TaskPhase, TaskRow, Waiter
from ._entry_state import EntryState
from ._hedging import (
    drop_refused_attempt,
    finish_attempts,
    requeue_task,
    retry_failure,
    schedule_hedge,
)
from ._home import accept_tasks
from ._home_choice import (
    choose_homes,
    observe_result,
    release_placement,
    remove_from_backlog,
    update_peer_capacity,
)
from ._job_end import answer_waiter, finish_job, stop_job
from ._key_settlement import KeyStatus, settle_key
from ._recovery_rows import HeldRequest

REJECTED_RETRY_AFTER_MS = 1_000

# How long a query or cancellation, which has no deadline, waits for its key to settle.
QUERY_HOLD_MS = 60_000


@ENTRY.handler(ForwardJob)
def _job_forwarded(state: EntryState, sender: str, message: ForwardJob) -> None:
    accept_job(state, split_process(sender)[1], message)


@ENTRY.handler(JobAsked)
def _job_asked(state: EntryState, sender: str, message: JobAsked) -> None:
    query_job(state, split_process(sender)[1], message)


@ENTRY.handler(CancelJob)
def _job_cancel_received(state: EntryState, sender: str, message: CancelJob) -> None:
    cancel_job(state, split_process(sender)[1], message)


def accept_job(state: EntryState, arrival: str, message: ForwardJob) -> None:
    """Accept a job from an arrival entry, or answer from what is known of its key.

    Holds the request while the key is not settled or an earlier owner has the job.

    Args:
        state: The entry's state.
        arrival: Name of the arrival entry.
        message: The job, with the number of the request at the arrival entry.
    """
    key_hash = hash_key(message.key)
    waiter = Waiter(arrival, message.request_id)
    job = state.jobs.get(key_hash)
    if job is None:
        status = KeyStatus.FREE
        # A key that this incarnation generated has no earlier owner.
        if not message.key.startswith(f"{state.incarnation}/"):
            status = settle_key(state, key_hash)
        if status in (KeyStatus.PENDING, KeyStatus.AT_EARLIER_OWNER):
            hold_request(state, arrival, message)
            return
        if status is KeyStatus.STARTED:
            answer_waiter(state, waiter, owner_lost_answer(message.key))
            return
        reason = check_admission(state, message)
        if reason:
            answer_waiter(state, waiter, _rejected_answer(message, reason))
            return
        job = _admit(state, key_hash, message)
    elif job.digest != message.digest:
        conflict = JobAnswer(
            0, message.key, JobState.FAILED, Truth.NONE, Reason.KEY_CONFLICT
        )
        answer_waiter(state, waiter, conflict)
        return
    if job.answer is not None:
        answer_waiter(state, waiter, job.answer)
    else:
        _add_waiter(job, waiter)


def _add_waiter(job: JobRow, waiter: Waiter) -> None:
    # Arrival entries forward their requests again after a reconnect.
    if waiter not in job.waiters:
        job.waiters.append(waiter)


def owner_lost_answer(key: str) -> JobAnswer:
    """Return the answer for a job that may have started under an ended owner."""
    return JobAnswer(0, key, JobState.FAILED, Truth.MAY_HAVE_RUN, Reason.OWNER_LOST)


def hold_request(
    state: EntryState, arrival: str, message: ForwardJob | JobAsked | CancelJob
) -> None:
    """Hold a request until its key is settled or the request has expired."""
    budget_ms = message.budget_ms if isinstance(message, ForwardJob) else QUERY_HOLD_MS
    held = HeldRequest(arrival, message, state.now_ms + budget_ms)
    rows = state.held_requests.setdefault(hash_key(message.key), [])
    # Arrival entries send their requests again after a reconnect.
    if not any(
        row.arrival == arrival and row.message.request_id == message.request_id
        for row in rows
    ):
        rows.append(held)
    state.settlement_due_ms = state.now_ms


def _answer_without_job(
    state: EntryState, waiter: Waiter, message: JobAsked | CancelJob
) -> None:
    status = settle_key(state, hash_key(message.key))
    if status is KeyStatus.FREE:
        answer_waiter(state, waiter, JobAnswer(0, message.key, JobState.ABSENT))
    elif status is KeyStatus.STARTED:
        answer_waiter(state, waiter, owner_lost_answer(message.key))
    else:
        hold_request(state, waiter.entry, message)


def _rejected_answer(message: ForwardJob, reason: Reason) -> JobAnswer:
    # The key stays free, so that the caller may submit it again.
    return JobAnswer(
        0,
        message.key,
        JobState.FAILED,
        Truth.NOT_RUN,
        reason,
        tasks=len(message.tasks),
        retry_after_ms=REJECTED_RETRY_AFTER_MS,
    )


def _admit(state: EntryState, key_hash: bytes, message: ForwardJob) -> JobRow:
    tasks = [
        TaskRow(TaskId(key_hash, index), spec)
        for index, spec in enumerate(message.tasks)
    ]
    job = JobRow(
        key=message.key,
        key_hash=key_hash,
        digest=message.digest,
        team=message.team,
        service=message.service,
        tasks=tasks,
        deadline_ms=state.now_ms + message.budget_ms,
        accepted_ms=state.now_ms,
        idempotent=message.idempotent,
        interactive=message.interactive,
        open_tasks=len(tasks),
    )
    state.jobs.add(key_hash, job)
    count_open_job(state, job)
    state.job_due.set(key_hash, job.deadline_ms)
    for row in tasks:
        state.unqueued_tasks[row.task] = None
    state.emit("owner", "job accepted", job=key_hash.hex(), tasks=len(tasks))
    return job


def query_job(state: EntryState, arrival: str, message: JobAsked) -> None:
    """Answer with the state of a job, or let the request wait for the job's end."""
    waiter = Waiter(arrival, message.request_id)
    job = state.jobs.get(hash_key(message.key))
    if job is None:
        _answer_without_job(state, waiter, message)
    elif job.answer is not None:
        answer_waiter(state, waiter, job.answer)
    elif message.wait:
        _add_waiter(job, waiter)
    else:
        answer_waiter(state, waiter, _progress_answer(job))


def cancel_job(state: EntryState, arrival: str, message: CancelJob) -> None:
    """Cancel a job and answer the request when the job has ended."""
    waiter = Waiter(arrival, message.request_id)
    job = state.jobs.get(hash_key(message.key))
    if job is None:
        _answer_without_job(state, waiter, message)
        return
    if job.answer is not None:
        answer_waiter(state, waiter, job.answer)
        return
    _add_waiter(job, waiter)
    stop_job(state, job, Reason.CANCELLED)


def _progress_answer(job: JobRow) -> JobAnswer:
    return JobAnswer(
        request_id=0,
        key=job.key,
        state=job.state,
        tasks=len(job.tasks),
        tasks_done=len(job.tasks) - job.open_tasks,
    )


def find_task(state: EntryState, task: TaskId) -> tuple[JobRow, TaskRow] | None:
    """Return the rows of a task and its job, or None if this entry does not own it."""
    job = state.jobs.get(task.key_hash)
    if job is None or task.index >= len(job.tasks):
        return None
    return job, job.tasks[task.index]


@ENTRY.system(order=400)
def _place_waiting(state: EntryState) -> None:
    if not state.dispatch.due_backlogs or not state.may_dispatch():
        return
    for home, tasks in choose_homes(state).items():
        _place_tasks(state, home, tasks)


def _place_tasks(state: EntryState, home: str, tasks: list[TaskId]) -> None:
    placed = []
    for task in tasks:
        found = find_task(state, task)
        if found is None:
            continue
        job, row = found
        row.phase = TaskPhase.PLACED
        row.home = home
        row.home_number = state.control.entries[home].number
        row.placed_ms = state.now_ms
        row.attempts += 1
        row.may_have_started = True
        job.state = JobState.RUNNING
        schedule_hedge(state, job, row)
        placed.append(placed_task(state, job, row))
    if home == state.name:
        accept_tasks(state, state.process, placed)
    else:
        state.batches.placed[entry_process(home)].extend(placed)


def placed_task(state: EntryState, job: JobRow, row: TaskRow) -> PlacedTask:
    """Return the part of a `PlaceTasks` message for the current attempt of a task."""
    assert state.incarnation is not None
    return PlacedTask(
        owner=state.incarnation,
        task=row.task,
        service=job.service,
        team=job.team,
        spec=row.spec,
        budget_ms=max(0, job.deadline_ms - state.now_ms),
        idempotent=job.idempotent,
        interactive=job.interactive,
        attempt=row.attempts,
    )


@ENTRY.handler(TaskResults)
def _results_received(state: EntryState, sender: str, message: TaskResults) -> None:
    role, name = split_process(sender)
    if role == "agent":
        state.agent_results.extend((name, result) for result in message.results)
        return
    peer = state.peers.get(name)
    if peer is not None:
        peer.capacity.update({(c.service, c.data_centre): c for c in message.capacity})
        update_peer_capacity(state, name)
    state.owner_results.extend(message.results)


@ENTRY.system(order=350)
def _process_results(state: EntryState) -> None:
    results, state.owner_results = state.owner_results, []
    for result in results:
        if state.incarnation is None or result.owner != state.incarnation:
            continue
        found = find_task(state, result.task)
        if found is not None:
            handle_task_end(state, *found, result)


def handle_task_end(
    state: EntryState, job: JobRow, row: TaskRow, result: TaskResult
) -> None:
    """Apply the result of an attempt: place the task again, or end it.

    Args:
        state: The entry's state.
        job: A job that this entry owns.
        row: The task in that job.
        result: The result of any attempt of the task.
    """
    if row.phase is TaskPhase.ENDED:
        return
    if result.not_run:
        if row.phase is not TaskPhase.PLACED or result.attempt != row.attempts:
            # A late refusal of an earlier attempt says nothing about the current one.
            drop_refused_attempt(state, row, result)
            return
        row.may_have_started = row.task in state.dispatch.earlier_attempts
        if job.answer is None and not job.cancelling:
            release_placement(state, job, row)
            if result.reason is Reason.FITS_NOWHERE:
                unfit_homes = state.dispatch.unfit_homes.setdefault(job.key_hash, set())
                unfit_homes.add(row.home)
            requeue_task(state, row, row.attempts)
            return
    if retry_failure(state, job, row, result):
        return
    if row.phase is TaskPhase.WAITING:
        remove_from_backlog(state, job, row)
    release_placement(state, job, row)
    observe_result(state, job, row, result)
    finish_attempts(state, job, row, result)
    row.phase = TaskPhase.ENDED
    row.result = result
    job.open_tasks -= 1
    if job.answer is not None:
        return
    if result.status is not TaskStatus.OK and not job.cancelling:
        stop_job(state, job, Reason.TASK_FAILED)
    if job.open_tasks == 0:
        finish_job(state, job)
