"""Tasks at their home: acceptance, results, return to the owner, and expiry."""

from __future__ import annotations

from ..protocol._messages import (
    OwnedTask,
    PlacedTask,
    PlaceTasks,
    Reason,
    TaskResult,
    TaskStatus,
)
from ._entry_registry import ENTRY
from ._entry_rows import HomeTask
from ._entry_state import EntryState
from ._home_slots import drop_resource_use, release_slot, update_speed_class
from ._home_starts import dequeue, enqueue, fits_no_upstream
from ._upstream_health import record_result

# Interval between checks of a queued task, in mean run times of its service.
QUEUE_CHECK_RUN_TIMES = 1.0
MIN_QUEUE_CHECK_MS = 20


@ENTRY.handler(PlaceTasks)
def _tasks_placed(state: EntryState, sender: str, message: PlaceTasks) -> None:
    if message.home_number and not (
        state.incarnation is not None
        and state.incarnation.number == message.home_number
    ):
        # Sent to an earlier incarnation of this home. The owner recovers these tasks
        # when it folds the end of that incarnation.
        return
    accept_tasks(state, sender, message.tasks)


def accept_tasks(
    state: EntryState, owner_process: str, tasks: list[PlacedTask]
) -> None:
    """Queue tasks of an owner.

    A task that is known already is not queued again. If it has ended, its result is
    sent again.
    """
    for placed in tasks:
        key = OwnedTask(placed.owner, placed.task, placed.attempt)
        known = state.home_tasks.get(key)
        if known is not None:
            if known.result is not None:
                send_result(state, known, known.result)
            continue
        row = HomeTask(
            placed=placed,
            owner_process=owner_process,
            deadline_ms=state.now_ms + placed.budget_ms,
            accepted_ms=state.now_ms,
        )
        state.home_tasks.add(key, row)
        if fits_no_upstream(state, placed):
            decline_task(state, row, Reason.FITS_NOWHERE)
            continue
        enqueue(state, row)
        state.home_due.set(key, _next_check_ms(state, row))
        if state.is_fenced(placed.owner):
            decline_task(state, row, Reason.STALE_OWNER)


@ENTRY.system(order=300)
def _handle_agent_results(state: EntryState) -> None:
    """Release slots, update health and estimates, and send the results to owners."""
    results, state.agent_results = state.agent_results, []
    for name, result in results:
        key = OwnedTask(result.owner, result.task, result.attempt)
        agent = state.agents.get(name)
        if agent is not None:
            release_slot(state, agent, key)
        row = state.home_tasks.get(key)
        if row is None:
            _forward_result(state, result)
        elif row.result is None and row.agent == name:
            if agent is not None:
                record_result(state, agent, row, result)
            _update_estimates(state, row, result)
            finish_task(state, row, result)


def _update_estimates(state: EntryState, row: HomeTask, result: TaskResult) -> None:
    """Update the estimates of run time, speed and distance after a successful task."""
    if result.status is not TaskStatus.OK:
        return
    dispatch, placed = state.dispatch, row.placed
    _update_distance(state, row, result)
    speeds = dispatch.upstream_speeds
    expected_ms = dispatch.run_times.expect_ms(placed.service, placed.spec)
    speed = speeds.speed(placed.service, row.agent)
    dispatch.run_times.observe(placed.service, placed.spec, result.run_ms * speed)
    speeds.observe(placed.service, row.agent, expected_ms, result.run_ms)
    update_speed_class(state, placed.service, row.agent)


def _update_distance(state: EntryState, row: HomeTask, result: TaskResult) -> None:
    agent = state.agents.get(row.agent)
    if agent is None:
        return
    data_centre, distances_ms = agent.hello.data_centre, state.dispatch.distances_ms
    one_way_ms = max(0.0, (state.now_ms - row.sent_ms - result.run_ms) / 2)
    known_ms = distances_ms.get(data_centre, one_way_ms)
    # Longer times include queueing, so they have a small weight.
    weight = 0.01 if one_way_ms > known_ms else 0.5
    distances_ms[data_centre] = known_ms + weight * (one_way_ms - known_ms)


def _forward_result(state: EntryState, result: TaskResult) -> None:
    """Forward the result of a task that another home sent to the agent."""
    if result.owner == state.incarnation:
        state.owner_results.append(result)
    elif state.control.is_live(result.owner):
        process = f"entry/{result.owner.name}"
        state.batches.results[process].append(result)


def finish_task(state: EntryState, row: HomeTask, result: TaskResult) -> None:
    """Record the result of a task at this home and send it to the owner."""
    row.result = result
    row.ended_ms = state.now_ms
    dequeue(state, row)
    state.sent_tasks.get(row.agent, {}).pop(row.key, None)
    drop_resource_use(state, row)
    retention_ms = state.settings.jobs.key_retention_ms
    state.home_due.set(row.key, state.now_ms + retention_ms)
    send_result(state, row, result)


def lost_result(row: HomeTask, reason: Reason) -> TaskResult:
    """Return the failure of a task whose agent will send no result."""
    return TaskResult(
        owner=row.placed.owner,
        task=row.placed.task,
        status=TaskStatus.FAILED,
        reason=reason,
        attempt=row.placed.attempt,
    )


def decline_task(state: EntryState, row: HomeTask, reason: Reason) -> None:
    """Decline a task that no agent has; its owner gets it back as not run."""
    result = TaskResult(
        owner=row.placed.owner,
        task=row.placed.task,
        status=TaskStatus.REFUSED,
        not_run=True,
        reason=reason,
        attempt=row.placed.attempt,
    )
    finish_task(state, row, result)


def send_result(state: EntryState, row: HomeTask, result: TaskResult) -> None:
    """Send a result to the owner in this step."""
    if row.owner_process == state.process:
        state.owner_results.append(result)
    else:
        state.batches.results[row.owner_process].append(result)
        state.batches.result_services[row.owner_process][row.placed.service] = None


def _check_queued(state: EntryState, row: HomeTask) -> None:
    """Decline a queued task past its limits, or when another home has free slots."""
    wait_ms = state.settings.queues.home_queue_ms
    if row.deadline_ms <= state.now_ms:
        decline_task(state, row, Reason.DEADLINE)
    elif _peer_has_free_slots(state, row.placed.service):
        decline_task(state, row, Reason.RECALLED)
    elif row.accepted_ms + wait_ms <= state.now_ms:
        decline_task(state, row, Reason.NO_SLOT)
    else:
        state.home_due.set(row.key, _next_check_ms(state, row))


def _next_check_ms(state: EntryState, row: HomeTask) -> int:
    # A recall costs three messages, so it waits for one mean run time; most tasks have
    # a slot by then.
    mean_ms = state.dispatch.mean_run_ms(row.placed.service)
    check_ms = max(MIN_QUEUE_CHECK_MS, round(QUEUE_CHECK_RUN_TIMES * mean_ms))
    queue_end_ms = row.accepted_ms + state.settings.queues.home_queue_ms
    return min(
        row.deadline_ms, max(queue_end_ms, state.now_ms + 1), state.now_ms + check_ms
    )


def _peer_has_free_slots(state: EntryState, service: str) -> bool:
    if state.dispatch.service(service).free_slots:
        # A slot is free here, so the task waits for a faster slot or for memory.
        return False
    for peer in state.peers:
        summaries = [c for c in peer.capacity.values() if c.service == service]
        free = sum(summary.free for summary in summaries)
        if peer.connected and free > max((s.queued for s in summaries), default=0):
            return True
    return False


@ENTRY.system(order=460)
def _expire_home_tasks(state: EntryState) -> None:
    """Remove old results, check queued tasks and fail sent tasks at the deadline."""
    for key in state.home_due.pop_due(state.now_ms):
        row = state.home_tasks.get(key)
        if row is None:
            continue
        if row.result is not None:
            state.home_tasks.remove(key)
        elif not row.agent:
            _check_queued(state, row)
        elif row.deadline_ms > state.now_ms:
            state.home_due.set(key, row.deadline_ms)
        else:
            finish_task(state, row, lost_result(row, Reason.DEADLINE))
    state.home_tasks.changed.clear()
