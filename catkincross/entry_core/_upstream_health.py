"""Usable slots of an upstream, by its latency, failures and restores."""

from __future__ import annotations

from ..policies._concurrency import ConcurrencyLimit
from ..policies._dispatch_state import DispatchState
from ..policies._ejection import EjectionState, EjectionTracker
from ..policies._health import UpstreamHealth
from ..policies._ramp import next_step_ms, ramp_slots
from ..protocol._messages import Reason, TaskResult, TaskStatus
from ._entry_registry import ENTRY
from ._entry_rows import AgentRow, HomeTask
from ._entry_state import EntryState

UPSTREAM_FAILURES = {
    Reason.UPSTREAM_FAILED,
    Reason.UPSTREAM_UNREACHABLE,
    Reason.ANSWER_MISMATCH,
}
# Pauses after refusals: an agent that refuses a task also refuses the next one, until
# its view or its slots change.
MIN_REFUSAL_PAUSE_MS = 20
MAX_REFUSAL_PAUSE_MS = 1_000


def health_of(state: EntryState, agent: AgentRow) -> UpstreamHealth:
    """Return the health of an agent's upstream; create it if there is none."""
    health = state.dispatch.health.get(agent.name)
    if health is None:
        settings = state.settings.concurrency
        limit = ConcurrencyLimit(settings, float(_announced_slots(agent)))
        health = state.dispatch.health[agent.name] = UpstreamHealth(limit)
    return health


def _announced_slots(agent: AgentRow) -> int:
    return min(agent.hello.slots, agent.hello.connections)


def ejections_of(dispatch: DispatchState, service: str) -> EjectionTracker:
    """Return the ejection state of a service's upstreams; create it if missing."""
    ejections = dispatch.ejections.get(service)
    if ejections is None:
        ejections = EjectionTracker(dispatch.settings.ejection)
        dispatch.ejections[service] = ejections
    return ejections


def usable_slots(state: EntryState, agent: AgentRow, *, accepts_work: bool) -> int:
    """Return how many slots of an agent may be used now; schedule the next change."""
    health, now_ms = health_of(state, agent), state.now_ms
    if not accepts_work:
        health.was_out_of_service = True
        return 0
    if health.was_out_of_service:
        health.was_out_of_service, health.restored_ms = False, now_ms
    ejections = ejections_of(state.dispatch, agent.hello.service)
    ejections.begin_probe(agent.name, now_ms)
    record = ejections.record(agent.name)
    if health.stalled:
        return 0
    if record.state is EjectionState.EJECTED:
        state.dispatch.health_due.set(agent.name, record.ejected_until_ms)
        return 0
    if now_ms < health.paused_until_ms:
        state.dispatch.health_due.set(agent.name, health.paused_until_ms)
        return 0
    if record.state is EjectionState.PROBING:
        return 1
    slots = min(_announced_slots(agent), max(1, int(health.concurrency.limit)))
    ramp_ms = state.settings.ramp.ramp_ms
    if health.restored_ms is not None:
        due_ms = next_step_ms(health.restored_ms, now_ms, ramp_ms)
        if due_ms is not None:
            state.dispatch.health_due.set(agent.name, due_ms)
    return ramp_slots(slots, health.restored_ms, now_ms, ramp_ms)


def record_result(
    state: EntryState, agent: AgentRow, row: HomeTask, result: TaskResult
) -> None:
    """Update the health of an upstream from the result of a task."""
    dispatch, name = state.dispatch, agent.name
    health = health_of(state, agent)
    _record_progress(state, health, agent, result)
    if result.not_run and result.status is TaskStatus.REFUSED:
        _pause_after_refusal(state, health, name)
        return
    health.consecutive_refusals = 0
    failed = result.reason in UPSTREAM_FAILURES
    if not failed and result.status is not TaskStatus.OK:
        return
    ejections = ejections_of(dispatch, agent.hello.service)
    changed = ejections.observe(
        name, result.task.key_hash, failed=failed, now_ms=state.now_ms
    )
    if changed:
        ejection_state = ejections.record(name).state
        if ejection_state is EjectionState.GOOD:
            health.restored_ms = state.now_ms
        state.emit(
            "home", "upstream standing changed", agent=name, standing=ejection_state
        )
    if not failed:
        placed = row.placed
        expected_ms = dispatch.run_times.expect_ms(placed.service, placed.spec)
        changed |= health.concurrency.observe(
            expected_ms,
            result.run_ms,
            len(agent.assigned_tasks) + 1,
            _announced_slots(agent),
        )
    if changed:
        dispatch.outdated_agents[name] = None


def _record_progress(
    state: EntryState, health: UpstreamHealth, agent: AgentRow, result: TaskResult
) -> None:
    if not result.not_run:
        health.last_end_ms = state.now_ms
        state.dispatch.last_end_ms[agent.hello.service] = state.now_ms
    if health.stalled:
        health.stalled, health.restored_ms = False, state.now_ms
        state.dispatch.outdated_agents[agent.name] = None


def _pause_after_refusal(state: EntryState, health: UpstreamHealth, name: str) -> None:
    pause_ms = min(
        MAX_REFUSAL_PAUSE_MS,
        MIN_REFUSAL_PAUSE_MS * 2 ** min(health.consecutive_refusals, 10),
    )
    health.consecutive_refusals += 1
    health.paused_until_ms = state.now_ms + pause_ms
    state.dispatch.outdated_agents[name] = None


@ENTRY.system(order=280)
def _reindex_due_agents(state: EntryState) -> None:
    """Mark the agents whose number of usable slots changes with time."""
    for name in state.dispatch.health_due.pop_due(state.now_ms):
        state.dispatch.outdated_agents[name] = None
