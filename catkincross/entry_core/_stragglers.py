"""Detection of stalled upstreams: those that end no task while others do."""

from __future__ import annotations

from ..foundation._ids import agent_process
from ..protocol._messages import OwnedTask
from ._entry_registry import ENTRY
from ._entry_rows import AgentRow, HomeTask
from ._entry_state import EntryState
from ._upstream_health import health_of


def schedule_stall_check(state: EntryState, row: HomeTask, expected_ms: float) -> None:
    """Schedule a stall check for when the result of a sent task is overdue."""
    settings = state.settings.stragglers
    limit_ms = max(settings.least_ms, round(settings.factor * expected_ms))
    state.dispatch.stall_checks.set(row.key, state.now_ms + limit_ms)


@ENTRY.system(order=430)
def _check_overdue(state: EntryState) -> None:
    for key in state.dispatch.stall_checks.pop_due(state.now_ms):
        row = state.home_tasks.get(key)
        agent = state.agents.get(row.agent) if row is not None else None
        if row is None or agent is None or row.result is not None:
            continue
        if key not in agent.assigned_tasks:
            continue
        if _is_stalled(state, row, agent):
            _mark_stalled(state, agent)
        else:
            waited_ms = state.now_ms - row.sent_ms
            state.dispatch.stall_checks.set(key, state.now_ms + waited_ms)


def _is_stalled(state: EntryState, row: HomeTask, agent: AgentRow) -> bool:
    """Whether an agent has ended no task since it got this one, while others have."""
    if health_of(state, agent).last_end_ms > row.sent_ms:
        return False
    last_end_ms = state.dispatch.last_end_ms.get(row.placed.service)
    return last_end_ms is not None and last_end_ms > row.sent_ms


def _mark_stalled(state: EntryState, agent: AgentRow) -> None:
    health = health_of(state, agent)
    if health.stalled:
        return
    health.stalled = True
    state.dispatch.outdated_agents[agent.name] = None
    state.emit(
        "home", "upstream stalled", agent=agent.name, held=len(agent.assigned_tasks)
    )
    # The tasks that the agent has not started can be placed elsewhere once it confirms
    # their revocation.
    sent: list[OwnedTask] = list(state.sent_tasks.get(agent.name, ()))
    state.batches.cancels[agent_process(agent.name), True].extend(sent)
