"""Recovery of tasks after the loss of an agent, a home or a stream.

When an agent reconnects, its home sends again the starts that the agent may have
missed. When an agent has ended, its home fails the agent's tasks. When the stream to
a home reopens, the owner sends its placements again. When a home has ended, the
owner asks all agents that could have the task to block it, and places the task again
only after each of them has confirmed.
"""

from __future__ import annotations

from collections import defaultdict

from ..foundation._ids import Incarnation, agent_process, entry_process
from ..protocol._messages import (
    OwnedTask,
    PlaceTasks,
    Reason,
    ReconcileReply,
    ReconcileTasks,
    TaskResult,
    TaskStatus,
)
from ._arrival import forward_request
from ._entry_registry import ENTRY
from ._entry_rows import JobRow, TaskPhase, TaskRow
from ._entry_state import EntryState
from ._home import finish_task, lost_result
from ._home_starts import send_start
from ._owner import find_task, handle_task_end, placed_task

RECONCILE_INTERVAL_MS = 500

# Home role


@ENTRY.system(order=220)
def _resend_starts(state: EntryState) -> None:
    for name in state.agents.take_changed():
        agent = state.agents.rows[name]
        for key in list(state.sent_tasks.get(name, ())):
            row = state.home_tasks.get(key)
            if row is None or row.result is not None:
                continue
            if row.agent_incarnation != agent.hello.agent:
                finish_task(state, row, lost_result(row, Reason.AGENT_LOST))
            elif key not in agent.assigned_tasks:
                agent.assigned_tasks.add(key)
                send_start(state, row, agent)


@ENTRY.system(order=230)
def _fail_tasks_of_ended_agents(state: EntryState) -> None:
    if state.recovery.control_version == state.control.version:
        return
    for name in list(state.sent_tasks):
        for key in list(state.sent_tasks[name]):
            row = state.home_tasks.get(key)
            if row is None or row.agent_incarnation is None:
                continue
            if _has_ended(state, row.agent_incarnation):
                finish_task(state, row, lost_result(row, Reason.AGENT_LOST))
    for agent in list(state.agents):
        if _has_ended(state, agent.hello.agent):
            state.agents.remove(agent.name)
            state.dispatch.outdated_agents[agent.name] = None


def _has_ended(state: EntryState, agent: Incarnation) -> bool:
    member = state.control.members.get(agent)
    return member is not None and member.ended_ms is not None


@ENTRY.handler(ReconcileTasks)
def _reconcile_requested(
    state: EntryState, sender: str, message: ReconcileTasks
) -> None:
    for agent in state.agents:
        if agent.hello.service == message.service:
            state.send(agent_process(agent.name), message)


@ENTRY.handler(ReconcileReply)
def _reconcile_reply_received(
    state: EntryState, sender: str, message: ReconcileReply
) -> None:
    if message.owner != state.incarnation:
        state.send(entry_process(message.owner.name), message)
        return
    for key in message.blocked:
        unconfirmed = state.recovery.unconfirmed_agents.get(key)
        if unconfirmed is None:
            continue
        unconfirmed.discard(message.agent)
        if not unconfirmed:
            _end_attempt(state, key, may_have_started=False)


# Owner role


@ENTRY.system(order=350)
def _resend_placements(state: EntryState) -> None:
    for name in state.peers.take_changed():
        if not state.peers.rows[name].connected:
            continue
        placed = [
            placed_task(state, job, row)
            for job, row in _placed_rows(state)
            if row.home == name
        ]
        if placed:
            state.send(
                entry_process(name), PlaceTasks(placed, state.incarnation_number(name))
            )
        for request in state.requests:
            if request.submission is not None and request.owner == name:
                forward_request(state, request)


def _placed_rows(state: EntryState) -> list[tuple[JobRow, TaskRow]]:
    return [
        (job, row)
        for job in state.jobs
        if job.open_tasks and job.answer is None
        for row in job.tasks
        if row.phase is TaskPhase.PLACED
    ]


@ENTRY.system(order=360)
def _find_lost_homes(state: EntryState) -> None:
    if state.recovery.control_version == state.control.version:
        return
    state.recovery.control_version = state.control.version
    for key, agents in list(state.recovery.unconfirmed_agents.items()):
        if any(_has_ended(state, agent) for agent in agents):
            _end_attempt(state, key, may_have_started=True)
    for job, row in _placed_rows(state):
        home = Incarnation(row.home, row.home_number)
        if not state.control.is_live(home):
            _reconcile_task(state, job, row)


def _reconcile_task(state: EntryState, job: JobRow, row: TaskRow) -> None:
    key = OwnedTask(state.incarnation, row.task, row.attempts)
    if key in state.recovery.unconfirmed_agents:
        return
    agents = set()
    for incarnation, member in state.control.members.items():
        if member.registered.service != job.service:
            continue
        if member.ended_ms is None:
            agents.add(incarnation)
        # The agent ended after the placement: it may have started the task and can no
        # longer confirm that it blocks the attempt.
        elif member.ended_ms >= row.placed_ms:
            _end_attempt(state, key, may_have_started=True)
            return
    state.recovery.unconfirmed_agents[key] = agents
    state.recovery.due_ms = state.now_ms
    state.emit("owner", "home lost", task=str(row.task), home=row.home)
    if not agents:
        _end_attempt(state, key, may_have_started=False)


def _end_attempt(state: EntryState, key: OwnedTask, *, may_have_started: bool) -> None:
    """End an attempt whose home has ended.

    Args:
        state: The entry's state.
        key: The attempt.
        may_have_started: False only if the attempt certainly has not started.
    """
    state.recovery.unconfirmed_agents.pop(key, None)
    found = find_task(state, key.task)
    if found is None:
        return
    result = TaskResult(
        owner=key.owner,
        task=key.task,
        status=TaskStatus.FAILED if may_have_started else TaskStatus.REFUSED,
        not_run=not may_have_started,
        reason=Reason.AGENT_LOST if may_have_started else Reason.HOME_LOST,
        attempt=key.attempt,
    )
    handle_task_end(state, *found, result)


@ENTRY.system(order=370)
def _query_agents(state: EntryState) -> None:
    recovery = state.recovery
    if recovery.due_ms is None or state.now_ms < recovery.due_ms:
        return
    by_service: dict[str, list[OwnedTask]] = defaultdict(list)
    for key in list(recovery.unconfirmed_agents):
        found = find_task(state, key.task)
        if found is None or found[1].phase is not TaskPhase.PLACED:
            del recovery.unconfirmed_agents[key]
        else:
            by_service[found[0].service].append(key)
    recovery.due_ms = state.now_ms + RECONCILE_INTERVAL_MS if by_service else None
    for service, tasks in by_service.items():
        message = ReconcileTasks(service, tasks)
        _reconcile_requested(state, state.process, message)
        for name in state.peers.rows:
            state.send(entry_process(name), message)
