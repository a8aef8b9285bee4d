"""Retries and hedges of single idempotent requests, and backoff after refusals."""

from __future__ import annotations

from ..policies._hedges import EarlierAttempt, Quantile
from ..policies._retry_budget import backoff_ms
from ..protocol._messages import OwnedTask, TaskResult, TaskStatus
from ._cancellation import cancel_at_home
from ._entry_registry import ENTRY
from ._entry_rows import JobRow, TaskPhase, TaskRow
from ._entry_state import EntryState
from ._home_choice import release_placement


def is_retryable(job: JobRow) -> bool:
    """Whether a job is a single idempotent request, which may run more than once."""
    return job.idempotent and len(job.tasks) == 1


def schedule_hedge(state: EntryState, job: JobRow, row: TaskRow) -> None:
    """Schedule the hedge of a request that was sent to a home.

    No hedge is scheduled while the service has too few latency samples, or while an
    earlier attempt still runs.
    """
    if not is_retryable(job) or row.task in state.dispatch.earlier_attempts:
        return
    latency = state.dispatch.latencies.get(job.service)
    settings = state.settings.retries
    if latency is not None and latency.count >= settings.hedge_samples:
        due_ms = state.now_ms + round(latency.value) + 1
        state.dispatch.hedge_due.set(row.task, due_ms)


def requeue_task(state: EntryState, row: TaskRow, refusals: int) -> None:
    """Let a task wait for a home again; from the second refusal on, after a backoff."""
    row.phase = TaskPhase.WAITING
    settings = state.settings.retries
    if refusals <= 1:
        state.unqueued_tasks[row.task] = None
        return
    wait_ms = backoff_ms(
        refusals - 1, settings.backoff_ms, settings.longest_backoff_ms, state.rng
    )
    state.dispatch.delayed_tasks.set(row.task, state.now_ms + wait_ms)


def retry_failure(
    state: EntryState, job: JobRow, row: TaskRow, result: TaskResult
) -> bool:
    """Return whether a failed request stays open, and queue its retry if one is due.

    It stays open while another attempt may succeed, or if the retry budget allows one
    more.
    """
    if job.cancelling or job.answer is not None or not is_retryable(job):
        return False
    if result.status is not TaskStatus.FAILED:
        return False
    earlier = state.dispatch.earlier_attempts.get(row.task)
    if earlier is not None and result.attempt == earlier.attempt:
        # The other attempt may still succeed.
        del state.dispatch.earlier_attempts[row.task]
        row.result = result
        return True
    if row.phase is not TaskPhase.PLACED or result.attempt != row.attempts:
        return True
    if not state.dispatch.retries.spend():
        return False
    row.result = result
    release_placement(state, job, row)
    requeue_task(state, row, row.attempts + 1)
    return True


def drop_refused_attempt(state: EntryState, row: TaskRow, result: TaskResult) -> None:
    """Forget a task's earlier attempt if this result, a refusal, belongs to it."""
    earlier = state.dispatch.earlier_attempts.get(row.task)
    if earlier is not None and result.attempt == earlier.attempt:
        del state.dispatch.earlier_attempts[row.task]


def finish_attempts(
    state: EntryState, job: JobRow, row: TaskRow, result: TaskResult
) -> None:
    """Cancel the losing attempts of a request; update budgets and latency estimate."""
    dispatch = state.dispatch
    if result.status is TaskStatus.OK:
        dispatch.retries.earn()
        dispatch.hedge_budget.earn()
    if not is_retryable(job):
        return
    if result.status is TaskStatus.OK and result.attempt == row.attempts:
        latency = dispatch.latencies.get(job.service)
        if latency is None:
            share = state.settings.retries.hedge_percentile / 100
            latency = dispatch.latencies[job.service] = Quantile(share)
        latency.add(state.now_ms - row.placed_ms)
    cancel_attempts(state, row, except_attempt=result.attempt)


def cancel_attempts(
    state: EntryState, row: TaskRow, *, except_attempt: int = 0
) -> None:
    """Cancel the planned attempts of a request and, if it is hedged, those in flight.

    The attempt with the number `except_attempt` is kept. The only attempt of a request
    that is not hedged is left to the caller.
    """
    earlier = clear_attempts(state, row)
    if earlier is None:
        return
    if earlier.attempt != except_attempt:
        owned = OwnedTask(state.incarnation, row.task, earlier.attempt)
        cancel_at_home(state, earlier.home, [owned])
    if row.phase is TaskPhase.PLACED and row.attempts != except_attempt:
        owned = OwnedTask(state.incarnation, row.task, row.attempts)
        cancel_at_home(state, row.home, [owned])


def clear_attempts(state: EntryState, row: TaskRow) -> EarlierAttempt | None:
    """Cancel the planned hedge and retry of a task, and forget its earlier attempt.

    Returns:
        The earlier attempt that still runs beside a hedge, or None.
    """
    state.dispatch.hedge_due.cancel(row.task)
    state.dispatch.delayed_tasks.cancel(row.task)
    return state.dispatch.earlier_attempts.pop(row.task, None)


@ENTRY.system(order=385)
def _queue_due_attempts(state: EntryState) -> None:
    """Queue delayed retries that are due, and hedges of overdue requests."""
    dispatch = state.dispatch
    for task in dispatch.delayed_tasks.pop_due(state.now_ms):
        state.unqueued_tasks[task] = None
    for task in dispatch.hedge_due.pop_due(state.now_ms):
        job = state.jobs.get(task.key_hash)
        if job is None or job.answer is not None or job.cancelling:
            continue
        row = job.tasks[task.index]
        if row.phase is not TaskPhase.PLACED or not dispatch.hedge_budget.spend():
            continue
        dispatch.earlier_attempts[task] = EarlierAttempt(row.home, row.attempts)
        release_placement(state, job, row)
        row.phase = TaskPhase.WAITING
        state.unqueued_tasks[task] = None
        state.emit("owner", "request hedged", task=str(task), home=row.home)
