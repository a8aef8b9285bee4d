"""What an agent tells the entries of its worker: free resources and progress.

Load pattern: many entries with waiting tasks share a worker that is full. If all of
them learned at once of the resources that the end of a run frees, each would send
orders for them, and most orders would be refused. The entries learn of them in turn.
"""

from __future__ import annotations

from ..peers import AgentState, Progress, WorkerProfile
from ._entry_info import EntryInfo
from ._exclusive_runs import offered_capacity
from ._run import running_task
from ._state import WorkerState


def send_states(state: WorkerState) -> None:
    """Send the states that are due; the entry that has waited longest comes first."""
    for entry_info in sorted(
        state.entries.values(), key=lambda entry_info: entry_info.state_sent_ms
    ):
        _send_state(state, entry_info)


def next_state_ms(state: WorkerState) -> int | None:
    """Return when the next state is due because of a change; None without a change."""
    due_times_ms = []
    for entry_info in state.entries.values():
        if entry_info.state_outdated:
            due_ms = entry_info.state_sent_ms + _min_state_interval_ms(
                state, entry_info
            )
            if entry_info.has_waiting_tasks:
                due_ms = max(due_ms, state.next_turn_ms)
            due_times_ms.append(due_ms)
    return min(due_times_ms, default=None)


def _min_state_interval_ms(state: WorkerState, entry_info: EntryInfo) -> int:
    """Return the shortest time until the next state for an entry, in milliseconds."""
    limits = state.limits
    if entry_info.run_ended:
        return limits.min_interval_run_ended_ms
    if entry_info.name not in state.offered:
        return limits.far_interval_ms
    return (
        limits.min_interval_waiting_ms
        if entry_info.has_waiting_tasks
        else limits.min_interval_idle_ms
    )


def _send_state(state: WorkerState, entry_info: EntryInfo) -> None:
    age_ms = state.now_ms - entry_info.state_sent_ms
    limits = state.limits
    offered = entry_info.name in state.offered
    max_interval_ms = limits.far_interval_ms
    if any(run.entry == entry_info.name for run in state.runs.values()):
        max_interval_ms = limits.state_interval_ms
    elif offered:
        max_interval_ms = limits.idle_state_interval_ms
    change_due = entry_info.state_outdated and age_ms >= _min_state_interval_ms(
        state, entry_info
    )
    if entry_info.has_waiting_tasks and state.now_ms < state.next_turn_ms:
        change_due = False
    if not change_due and age_ms < max_interval_ms:
        return
    if entry_info.has_waiting_tasks:
        state.next_turn_ms = state.now_ms + limits.turn_ms
    entry_info.state_outdated = entry_info.run_ended = False
    entry_info.state_sent_ms = state.now_ms
    profile = _profile(state)
    if profile != entry_info.profile:
        entry_info.profile = profile
        state.send(entry_info.name, profile)
    cpu, memory_mb, gpu = offered_capacity(state)
    message = AgentState(
        state.now_ms,
        cpu,
        memory_mb,
        gpu,
        state.ready and offered,
        entry_info.acked_order,
        state.shared_with_others(entry_info.name),
        len(state.runs),
        state.lease_age_ms,
        state.leaving and state.worker_synced and not state.runs,
    )
    state.send(entry_info.name, message)
    if (
        max_interval_ms < limits.far_interval_ms
        and state.now_ms - entry_info.progress_sent_ms >= limits.progress_interval_ms
        # While the worker is silent its runs would look as if they had stalled.
        and state.reply_received_ms > entry_info.progress_sent_ms
    ):
        entry_info.progress_sent_ms = state.now_ms
        _send_progress(state, entry_info)


def _profile(state: WorkerState) -> WorkerProfile:
    heartbeat = state.registration
    offered_to = max(len(state.offered), 1)
    if heartbeat is None:
        return WorkerProfile(
            "", state.worker_incarnation, "", "", [], 0, 0, 0, offered_to
        )
    return WorkerProfile(
        heartbeat.worker,
        state.worker_incarnation,
        heartbeat.service,
        heartbeat.data_centre,
        list(heartbeat.labels),
        heartbeat.cpu,
        heartbeat.memory_mb,
        heartbeat.gpu,
        offered_to,
    )


def _send_progress(state: WorkerState, entry_info: EntryInfo) -> None:
    running = [
        running_task(run)
        for run in state.runs.values()
        if run.confirmed_ms is not None
        and state.owner_of_run(run) == entry_info.name
        and run.entry_incarnation in (0, entry_info.incarnation)
    ]
    if running:
        state.send(entry_info.name, Progress(running))
