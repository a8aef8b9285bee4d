"""Slots that agents granted to this home, and their use in the placement index."""

from __future__ import annotations

import attrs

from ..placement._fit import TaskNeed
from ..placement._upstream import Upstream, speed_class
from ..protocol._messages import OwnedTask
from ._entry_registry import ENTRY
from ._entry_rows import AgentRow, HomeTask
from ._entry_state import EntryState
from ._upstream_health import usable_slots

NO_NEED = TaskNeed()


def accepts_work(state: EntryState, agent: AgentRow) -> bool:
    """Whether new tasks may be sent to an agent."""
    hello = agent.hello
    return (
        agent.connected
        and not agent.leaving
        and state.control.home_of(hello.agent) == state.incarnation
        and not state.is_draining(hello.data_centre, hello.upstream)
    )


def allocate_slot(
    state: EntryState, agent: AgentRow, key: OwnedTask, need: TaskNeed, end_ms: float
) -> None:
    """Allocate a slot of an agent to a task that is expected to end at `end_ms`."""
    agent.assigned_tasks.add(key)
    state.dispatch.task_needs[key] = need
    slots = state.dispatch.service(agent.hello.service)
    slots.forecast.add(key, slots.upstreams[agent.name].speed_class, end_ms)
    slots.allocate(agent.name, 1, need.memory_mb, need.accelerators)


def release_slot(state: EntryState, agent: AgentRow, key: OwnedTask) -> None:
    """Release the slot of a task that has ended or was refused."""
    if key not in agent.assigned_tasks:
        return
    agent.assigned_tasks.discard(key)
    state.dispatch.stall_checks.cancel(key)
    need = state.dispatch.task_needs.pop(key, NO_NEED)
    service = agent.hello.service
    slots = state.dispatch.service(service)
    slots.forecast.remove(key)
    slots.allocate(agent.name, -1, -need.memory_mb, -need.accelerators)
    state.dispatch.due_services[service] = None
    state.dispatch.due_backlogs[service] = None


def drop_resource_use(state: EntryState, row: HomeTask) -> None:
    """Remove the resource need of an ended task, unless it still occupies a slot."""
    agent = state.agents.get(row.agent)
    if agent is None or row.key not in agent.assigned_tasks:
        state.dispatch.task_needs.pop(row.key, None)
        state.dispatch.service(row.placed.service).forecast.remove(row.key)


@ENTRY.system(order=290)
def _index_outdated_agents(state: EntryState) -> None:
    outdated, state.dispatch.outdated_agents = state.dispatch.outdated_agents, {}
    for name in outdated:
        index_agent(state, name)


def index_agent(state: EntryState, name: str) -> None:
    """Update an agent's row in the placement index."""
    agent = state.agents.get(name)
    if agent is None:
        for slots in state.dispatch.services.values():
            slots.remove(name)
        _drop_agent_estimates(state, name)
        return
    service = agent.hello.service
    slots = state.dispatch.service(service)
    if not agent.connected or not state.control.is_registered(agent.hello.agent):
        slots.remove(name)
        return
    # An upstream that is out of service stays in the index with no slots, since a task
    # that fits only there can run once it is restored.
    usable = usable_slots(state, agent, accepts_work=accepts_work(state, agent))
    slots.put(_build_upstream(state, agent, usable))
    state.dispatch.due_services[service] = None
    state.dispatch.due_backlogs[service] = None


def _drop_agent_estimates(state: EntryState, name: str) -> None:
    dispatch = state.dispatch
    dispatch.memory.forget(name)
    dispatch.health.pop(name, None)
    dispatch.health_due.cancel(name)
    for service, ejections in dispatch.ejections.items():
        ejections.forget(name)
        dispatch.upstream_speeds.forget(service, name)


def _build_upstream(state: EntryState, agent: AgentRow, slots: int) -> Upstream:
    hello, dispatch = agent.hello, state.dispatch
    needs = [
        dispatch.task_needs[key]
        for key in agent.assigned_tasks
        if key in dispatch.task_needs
    ]
    needs_mb = sum(need.memory_mb for need in needs)
    dispatch.memory.observe(
        hello.service, agent.name, agent.last_heard_ms, agent.memory_used_mb, needs_mb
    )
    speed = dispatch.upstream_speeds.speed(hello.service, agent.name)
    return Upstream(
        name=agent.name,
        service=hello.service,
        data_centre=hello.data_centre,
        slots=slots,
        slots_in_use=len(agent.assigned_tasks),
        speed_class=speed_class(speed),
        # Whole milliseconds, since the index keeps one order of upstreams for each
        # distance.
        distance_ms=float(round(dispatch.distances_ms.get(hello.data_centre, 0.0))),
        memory_mb=hello.memory_mb,
        accelerators=hello.accelerators,
        memory_free_mb=hello.memory_mb - dispatch.memory.used_mb(agent.name, needs_mb),
        accelerators_free=hello.accelerators - sum(n.accelerators for n in needs),
    )


def update_speed_class(state: EntryState, service: str, name: str) -> None:
    """Reindex an upstream whose estimated speed has moved to another class."""
    slots = state.dispatch.service(service)
    row = slots.upstreams.get(name)
    if row is None:
        return
    new_class = speed_class(state.dispatch.upstream_speeds.speed(service, name))
    if new_class != row.speed_class:
        slots.put(attrs.evolve(row, speed_class=new_class))
