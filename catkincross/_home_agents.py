"""The home's side of its agents: grants, registration, views and heartbeats."""

from __future__ import annotations

from ._entry_registry import ENTRY
from ._entry_rows import AgentRow
from ._entry_state import EntryState
from ._ids import Incarnation, agent_process
from ._messages import AgentHeartbeat, AgentHello, AgentView, HeartbeatReply
from ._records import AgentsRegistered, RegisteredAgent


@ENTRY.handles(AgentHello)
def _agent_hello(state: EntryState, sender: str, hello: AgentHello) -> None:
    if state.me is None:
        return
    send_view(state, hello)
    state.heartbeats_to_answer.append((sender, hello.clock_ms))
    if hello.grant_epoch == 0:
        return
    previous = state.agents.get(hello.agent.name)
    first_epoch = hello.grant_epoch
    if previous is not None and previous.hello.agent == hello.agent:
        first_epoch = previous.first_epoch
    row = AgentRow(
        hello=hello,
        clock_ms=hello.clock_ms,
        heard_ms=state.now_ms,
        held=set(hello.running),
        leaving=hello.leaving,
        first_epoch=first_epoch,
    )
    state.agents.put(row.name, row)
    state.dispatch.changed_agents[row.name] = None
    _register(state, hello)


def _register(state: EntryState, hello: AgentHello) -> None:
    if hello.agent in state.control.members:
        return
    registered = RegisteredAgent(
        hello.agent, hello.upstream, hello.service, hello.data_centre
    )
    state.append(AgentsRegistered([registered]))


@ENTRY.handles(AgentHeartbeat)
def _agent_heartbeat(state: EntryState, sender: str, message: AgentHeartbeat) -> None:
    row = state.agents.get(message.agent.name)
    if row is None or row.hello.agent != message.agent:
        return
    row.clock_ms = message.clock_ms
    row.heard_ms = state.now_ms
    row.view_version = message.version
    row.memory_used_mb = message.memory_used_mb
    row.cpu_permille = message.cpu_permille
    row.draining_confirmed = message.draining
    row.running_reported = message.running
    row.leaving = message.leaving
    state.dispatch.changed_agents[row.name] = None
    state.heartbeats_to_answer.append((sender, message.clock_ms))


def send_view(state: EntryState, hello: AgentHello) -> None:
    """Send an agent all control state that concerns it."""
    view = view_for(state, hello.agent, hello.data_centre, hello.upstream)
    state.send(agent_process(hello.agent.name), view)


def view_for(
    state: EntryState, agent: Incarnation, data_centre: str, upstream: str
) -> AgentView:
    """Return the control state that concerns one agent."""
    control = state.control
    return AgentView(
        version=control.version,
        entries=list(control.entries.values()),
        draining=control.is_draining(data_centre, upstream),
        registered=control.is_registered(agent),
    )


@ENTRY.system(order=200)
def _send_changed_views(state: EntryState) -> None:
    version = state.control.version
    if version == state.views_version:
        return
    state.views_version = version
    for row in state.agents:
        hello = row.hello
        view = view_for(state, hello.agent, hello.data_centre, hello.upstream)
        previous = row.sent_view
        if previous is None or _concerns(previous) != _concerns(view):
            row.sent_view = view
            state.dispatch.changed_agents[row.name] = None
            state.send(agent_process(row.name), view)


def _concerns(view: AgentView) -> tuple:
    return view.entries, view.draining, view.registered


@ENTRY.system(order=250)
def _answer_heartbeats(state: EntryState) -> None:
    # Runs after the changed views are sent: the answer vouches for the view that the
    # agent holds when it arrives.
    if state.me is None:
        return
    for process, clock_ms in state.heartbeats_to_answer:
        reply = HeartbeatReply(
            entry=state.me,
            echo_ms=clock_ms,
            evidence_age_ms=state.freshness.age_ms(state.now_ms),
            version=state.freshness.version,
        )
        state.send(process, reply)
    state.heartbeats_to_answer.clear()
