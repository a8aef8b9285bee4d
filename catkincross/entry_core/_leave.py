"""Planned leave of an entry: announcement, end of jobs, handover of keys, stop."""

from __future__ import annotations

from collections import defaultdict

from ..foundation._ids import entry_process, hash_key
from ..foundation._rendezvous import choose_by_hash
from ..protocol._effects import LeaveRequested, Stop
from ..protocol._messages import FinishedKey, HandoverReceived, KeyHandover, Reason
from ..protocol._records import EntryEnded, EntryLeaving, RecordBody
from ._entry_registry import ENTRY
from ._entry_rows import JobRow
from ._entry_state import EntryState
from ._home import decline_task
from ._job_end import fail_jobs
from ._observations import is_home_of

HANDOVER_BATCH_ROWS = 100
HANDOVER_REPEAT_MS = 1_000

PLANNED = "planned"
# The entry left with keys that no other entry has confirmed.
UNCONFIRMED = "unconfirmed"


@ENTRY.handler(LeaveRequested)
def _leave_requested(state: EntryState, sender: str, event: LeaveRequested) -> None:
    if state.stopping:
        return
    state.stopping = True
    state.leave.limit_due_ms = state.now_ms + state.settings.membership.leave_limit_ms
    state.timers.set("leave", state.leave.limit_due_ms)
    state.heartbeat_due_ms = state.now_ms
    state.emit("membership", "leave announced", jobs=len(state.jobs))


@ENTRY.system(order=700)
def _advance_leave(state: EntryState) -> None:
    """Record the leave, empty the queue, finish open jobs, hand over keys and end."""
    if not state.stopping or state.leave.stopped:
        return
    overdue = state.now_ms >= state.leave.limit_due_ms
    if state.incarnation is None:
        if overdue or not state.appends.pending:
            _stop(state)
        return
    if not state.control.entries[state.name].leaving:
        _append_once(state, EntryLeaving(state.incarnation))
        # Without the log this entry just stops; the others end it as a silent entry
        # once the log is reachable again.
        if overdue:
            _stop(state)
        return
    for key in list(state.home_queue):
        decline_task(state, state.home_tasks.rows[key], Reason.LEAVING)
    if not overdue and _is_busy(state):
        return
    if overdue and not state.leave.jobs_abandoned and _has_open_jobs(state):
        state.leave.jobs_abandoned = True
        fail_jobs(state)
    handed_over = _hand_over(state)
    if handed_over or overdue:
        planned = handed_over and bool(state.control.owner_names())
        planned = planned and not state.leave.jobs_abandoned
        _append_once(
            state, EntryEnded(state.incarnation, PLANNED if planned else UNCONFIRMED)
        )
        if overdue and not state.log_reachable:
            _stop(state)


def _is_busy(state: EntryState) -> bool:
    return (
        _has_open_jobs(state)
        or len(state.requests) > 0
        or bool(state.held_requests)
        # Agents that have moved to another home send their results there.
        or any(row.assigned_tasks and is_home_of(state, row) for row in state.agents)
    )


def _has_open_jobs(state: EntryState) -> bool:
    """Whether a job has no answer yet.

    All jobs are scanned only when none is known to be open.
    """
    leave = state.leave
    leave.open_keys = [key for key in leave.open_keys if _is_open(state, key)]
    if not leave.open_keys:
        leave.open_keys = [job.key_hash for job in state.jobs if job.answer is None]
    return bool(leave.open_keys)


def _is_open(state: EntryState, key_hash: bytes) -> bool:
    job = state.jobs.get(key_hash)
    return job is not None and job.answer is None


def _append_once(state: EntryState, body: RecordBody) -> None:
    pending = state.appends.pending.values()
    if state.log_reachable and not any(row.record.body == body for row in pending):
        state.append(body)


def _stop(state: EntryState) -> None:
    state.leave.stopped = True
    state.effects.append(Stop("left"))


def _hand_over(state: EntryState) -> bool:
    """Send finished jobs to their next owners; return whether all are confirmed."""
    leave = state.leave
    if leave.roster_version != state.control.roster_version:
        leave.roster_version = state.control.roster_version
        leave.batches = {}
        leave.send_due_ms = state.now_ms
        _make_batches(state)
    if leave.batches and state.now_ms >= leave.send_due_ms:
        leave.send_due_ms = state.now_ms + HANDOVER_REPEAT_MS
        state.timers.set("handover", leave.send_due_ms)
        for name, message in leave.batches.values():
            state.send(entry_process(name), message)
    return not leave.batches


def _make_batches(state: EntryState) -> None:
    owners = state.control.owner_names()
    rows: dict[str, list[FinishedKey]] = defaultdict(list)
    for job in state.jobs:
        name = choose_by_hash(job.key_hash, owners)
        if name is not None and not job.key.startswith(f"{state.incarnation}/"):
            rows[name].append(_finished_key(state, job))
    leave = state.leave
    for name, finished in rows.items():
        for start in range(0, len(finished), HANDOVER_BATCH_ROWS):
            leave.batch_count += 1
            batch = finished[start : start + HANDOVER_BATCH_ROWS]
            message = KeyHandover(batch, leave.batch_count)
            leave.batches[leave.batch_count] = (name, message)


def _finished_key(state: EntryState, job: JobRow) -> FinishedKey:
    assert job.answer is not None
    due_ms, _ = state.job_due.entries[job.key_hash]
    age_ms = state.now_ms + state.settings.jobs.key_retention_ms - due_ms
    return FinishedKey(job.key, job.digest, job.answer, max(0, age_ms))


@ENTRY.handler(HandoverReceived)
def _handover_confirmed(
    state: EntryState, sender: str, message: HandoverReceived
) -> None:
    state.leave.batches.pop(message.batch, None)


@ENTRY.handler(KeyHandover)
def _keys_handed_over(state: EntryState, sender: str, message: KeyHandover) -> None:
    if state.incarnation is None:
        return
    for row in message.rows:
        key_hash = hash_key(row.key)
        if key_hash in state.jobs:
            continue
        job = JobRow(
            key=row.key,
            key_hash=key_hash,
            digest=row.digest,
            team="",
            service="",
            tasks=[],
            deadline_ms=state.now_ms,
            accepted_ms=state.now_ms - row.age_ms,
            state=row.answer.state,
            answer=row.answer,
        )
        state.jobs.add(key_hash, job)
        retention_ms = state.settings.jobs.key_retention_ms
        state.job_due.set(key_hash, state.now_ms + max(0, retention_ms - row.age_ms))
    state.settlement_due_ms = state.now_ms
    state.send(sender, HandoverReceived(message.batch))
