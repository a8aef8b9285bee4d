"""Starts, refusals, cancellations and ends of tasks at the agent."""

from __future__ import annotations

from ..foundation._ids import Incarnation
from ..protocol._effects import UpstreamAnswered
from ..protocol._messages import (
    CancelTasks,
    OwnedTask,
    Reason,
    ReconcileReply,
    ReconcileTasks,
    StartTasks,
    TaskResult,
    TaskStart,
    TaskStatus,
)
from ._agent_registry import AGENT
from ._agent_state import AgentState, StartRow
from ._start_rules import refusal_reason


@AGENT.handler(StartTasks)
def _start_tasks(state: AgentState, sender: str, message: StartTasks) -> None:
    for start in message.starts:
        known = state.starts.get(start.task) if state.guards.duplicate else None
        if known is not None and not _may_start_again(known, start):
            _answer_duplicate(state, known, start)
            continue
        reason = refusal_reason(state, sender, start)
        if reason:
            _refuse(state, start, reason)
        else:
            _start(state, start)


def _may_start_again(row: StartRow, start: TaskStart) -> bool:
    """Whether a task with a row may start.

    A task that was never started needs a later attempt or another owner. A task that
    has ended must be idempotent and needs a later attempt.
    """
    if row.start is None:
        return row.owner != start.owner or row.attempt < start.attempt
    return start.idempotent and row.result is not None and row.attempt < start.attempt


def _start(state: AgentState, start: TaskStart) -> None:
    row = StartRow(
        start.owner, start.task, start.attempt, start, started_ms=state.now_ms
    )
    # The row is written before the upstream is called, so that every start is counted.
    state.starts.put(start.task, row)
    state.start_expiry.cancel(start.task)
    state.running[start.task] = row
    state.emit("task started", task=str(start.task), owner=str(start.owner))
    state.call_upstream(start)


def _refuse(state: AgentState, start: TaskStart, reason: Reason) -> None:
    state.emit("task refused", task=str(start.task), reason=str(reason))
    owned = OwnedTask(start.owner, start.task, start.attempt)
    _record_not_run(state, owned, TaskStatus.REFUSED, reason)


def _record_not_run(
    state: AgentState,
    owned: OwnedTask,
    status: TaskStatus,
    reason: Reason,
    *,
    report: bool = True,
) -> None:
    """Record that an attempt must not start; report that it has not run, if asked to.

    Without the row, a duplicate of the message could start the task after its owner
    was told that it has not run.
    """
    result = TaskResult(
        owner=owned.owner,
        task=owned.task,
        status=status,
        not_run=True,
        reason=reason,
        upstream=state.settings.upstream,
        attempt=owned.attempt,
    )
    row = StartRow(owned.owner, owned.task, owned.attempt, None, result, state.now_ms)
    state.starts.put(owned.task, row)
    _schedule_removal(state, row)
    if report:
        state.pending_results.append(result)


def _answer_duplicate(state: AgentState, row: StartRow, start: TaskStart) -> None:
    if row.owner != start.owner:
        state.pending_results.append(
            TaskResult(
                owner=start.owner,
                task=start.task,
                status=TaskStatus.REFUSED,
                not_run=False,
                reason=Reason.DUPLICATE,
                upstream=state.settings.upstream,
                attempt=start.attempt,
            )
        )
    elif row.result is not None:
        state.pending_results.append(row.result)


@AGENT.handler(CancelTasks)
def _cancel_tasks(state: AgentState, sender: str, message: CancelTasks) -> None:
    for owned in message.tasks:
        row = state.starts.get(owned.task)
        if row is None or (row.start is None and row.attempt < owned.attempt):
            _record_not_run(state, owned, TaskStatus.CANCELLED, Reason.REVOKED)
        elif row.result is not None:
            state.pending_results.append(row.result)
        elif row.start is not None and not message.revoke:
            state.abort_upstream(row.start)


@AGENT.handler(ReconcileTasks)
def _reconcile(state: AgentState, sender: str, message: ReconcileTasks) -> None:
    blocked: dict[Incarnation, list[OwnedTask]] = {}
    for owned in message.tasks:
        row = state.starts.get(owned.task)
        if row is not None and row.start is not None:
            if row.result is not None:
                state.pending_results.append(row.result)
            continue
        if row is None or row.attempt < owned.attempt:
            _record_not_run(
                state, owned, TaskStatus.CANCELLED, Reason.REVOKED, report=False
            )
        blocked.setdefault(owned.owner, []).append(owned)
    for owner, tasks in blocked.items():
        state.send(sender, ReconcileReply(state.incarnation, owner, tasks))


@AGENT.handler(UpstreamAnswered)
def _upstream_answered(state: AgentState, sender: str, event: UpstreamAnswered) -> None:
    start = event.task_start
    row = state.running.pop(start.task, None)
    if row is None:
        return
    row.ended_ms = state.now_ms
    row.result = TaskResult(
        owner=start.owner,
        task=start.task,
        status=event.status,
        not_run=not event.started,
        reason=Reason(event.reason),
        payload=event.payload,
        run_ms=max(0, state.now_ms - (row.started_ms or state.now_ms)),
        upstream=state.settings.upstream,
        attempt=row.attempt,
    )
    state.emit("task ended", task=str(start.task), status=str(event.status))
    state.pending_results.append(row.result)
    _schedule_removal(state, row)


def _schedule_removal(state: AgentState, row: StartRow) -> None:
    retention_ms = state.settings.jobs.key_retention_ms
    state.start_expiry.set(row.task, state.now_ms + retention_ms)


@AGENT.system(order=700)
def _remove_expired_starts(state: AgentState) -> None:
    for task in state.start_expiry.pop_due(state.now_ms):
        state.starts.remove(task)
    state.starts.changed.clear()
