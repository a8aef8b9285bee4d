"""Home: starts tasks on the slots that agents granted to this entry."""

from __future__ import annotations

from ._entry_registry import ENTRY
from ._entry_rows import AgentRow, HomeTask
from ._entry_state import EntryState
from ._home_capacity import takes_work
from ._ids import agent_process
from ._messages import (
    CancelTasks,
    OwnedTask,
    PlacedTask,
    PlaceTasks,
    Reason,
    RecallTasks,
    TaskResult,
    TaskStart,
    TaskStatus,
)
from ._placement import PLACEMENT_POLICIES, Candidate


@ENTRY.handles(PlaceTasks)
def _tasks_placed(state: EntryState, sender: str, message: PlaceTasks) -> None:
    accept_tasks(state, sender, message.tasks)


@ENTRY.handles(CancelTasks)
def _tasks_cancelled(state: EntryState, sender: str, message: CancelTasks) -> None:
    cancel_tasks(state, message)


@ENTRY.handles(RecallTasks)
def _tasks_recalled(state: EntryState, sender: str, message: RecallTasks) -> None:
    for owned in message.tasks:
        if owned in state.home_queue:
            decline(state, state.home_tasks.rows[owned], Reason.RECALLED)


def accept_tasks(
    state: EntryState, owner_process: str, tasks: list[PlacedTask]
) -> None:
    """Take tasks from an owner; a task that is known is not taken twice."""
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
        state.home_queue[key] = None
        state.home_due.set(key, row.deadline_ms)


@ENTRY.system(order=450)
def _start_queued(state: EntryState) -> None:
    if not state.home_queue or not state.may_dispatch():
        return
    policy = PLACEMENT_POLICIES[state.settings.placement.policy]
    for key in list(state.home_queue):
        row = state.home_tasks.rows[key]
        candidates = _candidates(state, row.placed.service)
        chosen = policy(candidates, row.placed.spec, state.rng)
        if chosen is not None:
            _start(state, row, state.agents.rows[chosen.name])


def _candidates(state: EntryState, service: str) -> list[Candidate]:
    return [
        Candidate(
            name=agent.name,
            free=agent.free,
            slots=agent.hello.slots,
            speed=1.0,
            distance_ms=0.0,
        )
        for agent in state.agents
        if agent.hello.service == service
        and agent.free > 0
        and takes_work(state, agent)
    ]


def _start(state: EntryState, row: HomeTask, agent: AgentRow) -> None:
    del state.home_queue[row.key]
    agent.held.add(row.key)
    row.agent = agent.name
    row.agent_incarnation = agent.hello.agent
    row.sent_ms = state.now_ms
    state.sent_tasks.setdefault(agent.name, {})[row.key] = None
    send_start(state, row, agent)


def send_start(state: EntryState, row: HomeTask, agent: AgentRow) -> None:
    """Send a task to the agent that it was given to, for the first time or again."""
    agent_now_ms = agent.agent_time_ms(state.now_ms)
    budget_ms = row.deadline_ms - state.now_ms
    start = TaskStart(
        owner=row.placed.owner,
        task=row.placed.task,
        service=row.placed.service,
        spec=row.placed.spec,
        grant_epoch=agent.hello.grant_epoch,
        start_by_ms=agent_now_ms + min(budget_ms, state.settings.jobs.start_budget_ms),
        deadline_ms=agent_now_ms + budget_ms,
        version=state.control.version,
        idempotent=row.placed.idempotent,
        attempt=row.placed.attempt,
    )
    state.batches.starts[agent_process(agent.name)].append(start)


@ENTRY.system(order=300)
def _take_agent_results(state: EntryState) -> None:
    results, state.agent_results = state.agent_results, []
    for name, result in results:
        key = OwnedTask(result.owner, result.task, result.attempt)
        agent = state.agents.get(name)
        if agent is not None:
            agent.held.discard(key)
        row = state.home_tasks.get(key)
        if row is None:
            _relay_unknown(state, result)
        elif row.result is None and row.agent == name:
            finish(state, row, result)


def _relay_unknown(state: EntryState, result: TaskResult) -> None:
    """Pass on a result of a task that another home started."""
    if result.owner == state.me:
        state.owner_results.append(result)
    elif state.control.is_live(result.owner):
        process = f"entry/{result.owner.name}"
        state.batches.results[process].append(result)


def finish(state: EntryState, row: HomeTask, result: TaskResult) -> None:
    """Record the end of a task at this home and tell its owner."""
    row.result = result
    row.ended_ms = state.now_ms
    state.home_queue.pop(row.key, None)
    state.sent_tasks.get(row.agent, {}).pop(row.key, None)
    retention_ms = state.settings.jobs.key_retention_ms
    state.home_due.set(row.key, state.now_ms + retention_ms)
    send_result(state, row, result)


def lost_result(row: HomeTask, reason: Reason) -> TaskResult:
    """Return the result of a task that an agent has and will not answer."""
    return TaskResult(
        owner=row.placed.owner,
        task=row.placed.task,
        status=TaskStatus.FAILED,
        reason=reason,
        attempt=row.placed.attempt,
    )


def decline(state: EntryState, row: HomeTask, reason: Reason) -> None:
    """Give a task that no agent has back to its owner."""
    result = TaskResult(
        owner=row.placed.owner,
        task=row.placed.task,
        status=TaskStatus.REFUSED,
        not_run=True,
        reason=reason,
        attempt=row.placed.attempt,
    )
    finish(state, row, result)


def send_result(state: EntryState, row: HomeTask, result: TaskResult) -> None:
    """Send a result to the owner in this step."""
    if row.owner_process == state.process:
        state.owner_results.append(result)
    else:
        state.batches.results[row.owner_process].append(result)


def cancel_tasks(state: EntryState, message: CancelTasks) -> None:
    """Cancel tasks at this home: queued ones at once, others at their agents."""
    by_agent: dict[str, list[OwnedTask]] = {}
    for owned in message.tasks:
        row = state.home_tasks.get(owned)
        if row is None or row.result is not None:
            continue
        if row.agent:
            by_agent.setdefault(row.agent, []).append(owned)
        else:
            decline(state, row, Reason.CANCELLED)
    for agent, tasks in by_agent.items():
        state.send(agent_process(agent), CancelTasks(tasks, message.revoke))


@ENTRY.system(order=460)
def _expire_home_tasks(state: EntryState) -> None:
    for key in state.home_due.pop_due(state.now_ms):
        row = state.home_tasks.get(key)
        if row is None:
            continue
        if row.result is not None:
            state.home_tasks.remove(key)
        elif not row.agent:
            decline(state, row, Reason.DEADLINE)
        else:
            finish(state, row, lost_result(row, Reason.DEADLINE))
    state.home_tasks.changed.clear()
