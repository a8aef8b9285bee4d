"""Agents of this home: slot grants, registration, views and heartbeats."""

from __future__ import annotations

from ..foundation._ids import Incarnation, agent_process
from ..protocol._messages import AgentHeartbeat, AgentHello, AgentView, HeartbeatReply
from ..protocol._records import AgentsRegistered, RegisteredAgent
from ._entry_registry import ENTRY
from ._entry_rows import AgentRow
from ._entry_state import EntryState

# Each further end of an agent within this window doubles the hold before it is
# registered again.
REPEATED_END_WINDOW_MS = 600_000
MAX_REJOIN_HOLD_MS = 300_000


@ENTRY.handler(AgentHello)
def _agent_hello(state: EntryState, sender: str, hello: AgentHello) -> None:
    state.hellos_to_answer.append(hello)
    if hello.grant_epoch == 0:
        # The agent's home is another entry, so the hello only asks for a view.
        return
    row = AgentRow(
        hello=hello,
        clock_ms=hello.clock_ms,
        last_heard_ms=state.now_ms,
        assigned_tasks=set(hello.running),
        leaving=hello.leaving,
    )
    state.agents.put(row.name, row)
    state.dispatch.outdated_agents[row.name] = None
    state.unregistered_agents[row.name] = None


@ENTRY.handler(AgentHeartbeat)
def _agent_heartbeat(state: EntryState, sender: str, message: AgentHeartbeat) -> None:
    row = state.agents.get(message.agent.name)
    if row is None or row.hello.agent != message.agent:
        return
    row.clock_ms = message.clock_ms
    row.last_heard_ms = state.now_ms
    row.view_version = message.version
    row.memory_used_mb = message.memory_used_mb
    row.cpu_permille = message.cpu_permille
    row.draining_confirmed = message.draining
    row.running_reported = message.running
    row.leaving = message.leaving
    state.dispatch.outdated_agents[row.name] = None
    state.heartbeats_to_answer.append((sender, message.clock_ms))


def view_for(
    state: EntryState, agent: Incarnation, data_centre: str, upstream: str
) -> AgentView:
    """Return the part of the control state that concerns one agent."""
    control = state.control
    home = control.home_of(agent)
    return AgentView(
        version=control.version,
        entries=[
            entry
            for entry in control.entries.values()
            if entry.incarnation not in state.restrictions.ended
        ],
        draining=state.is_draining(data_centre, upstream),
        registered=control.is_registered(agent),
        home_number=0 if home is None else home.number,
    )


def _view_for_hello(state: EntryState, hello: AgentHello) -> AgentView:
    return view_for(state, hello.agent, hello.data_centre, hello.upstream)


@ENTRY.system(order=200)
def _send_changed_views(state: EntryState) -> None:
    version = state.control.version
    if version == state.views_version:
        return
    state.views_version = version
    for row in state.agents:
        if state.control.home_of(row.hello.agent) != state.incarnation:
            state.unregistered_agents[row.name] = None
        view = _view_for_hello(state, row.hello)
        previous = row.sent_view
        if previous is None or _compared_fields(previous) != _compared_fields(view):
            row.sent_view = view
            state.dispatch.outdated_agents[row.name] = None
            state.send(agent_process(row.name), view)


def _compared_fields(view: AgentView) -> tuple:
    return view.entries, view.draining, view.registered, view.home_number


@ENTRY.system(order=210)
def _register_agents(state: EntryState) -> None:
    """Append one record that registers the agents not yet assigned to this home."""
    if not state.unregistered_agents or not state.log_reachable or state.stopping:
        return
    if state.incarnation is None or not state.control.is_live(state.incarnation):
        return
    rows = state.appends.pending.values()
    if any(isinstance(row.record.body, AgentsRegistered) for row in rows):
        return
    agents = []
    for name in list(state.unregistered_agents):
        row = state.agents.get(name)
        if row is None or state.control.home_of(row.hello.agent) == state.incarnation:
            del state.unregistered_agents[name]
        elif _may_register(state, row):
            hello = row.hello
            agents.append(
                RegisteredAgent(
                    hello.agent, hello.upstream, hello.service, hello.data_centre
                )
            )
    if agents:
        state.append(AgentsRegistered(agents))


def _may_register(state: EntryState, row: AgentRow) -> bool:
    # A silent agent may have granted its slots to another home by now.
    silent_ms = state.now_ms - row.last_heard_ms
    if row.leaving or not row.connected:
        return False
    if silent_ms > 3 * state.settings.membership.agent_heartbeat_ms:
        return False
    member = state.control.members.get(row.hello.agent)
    since_ms = state.now_ms - REPEATED_END_WINDOW_MS
    ends = [time for time in member.ends_ms if time > since_ms] if member else []
    if not ends:
        return True
    hold_ms = state.settings.membership.rejoin_hold_ms << (len(ends) - 1)
    return state.now_ms >= max(ends) + min(hold_ms, MAX_REJOIN_HOLD_MS)


@ENTRY.system(order=250)
def _answer_agents(state: EntryState) -> None:
    # Runs after all records of the step are folded and the changed views are sent,
    # since the reply confirms the view that the agent has when the reply arrives.
    for hello in state.hellos_to_answer:
        view = _view_for_hello(state, hello)
        process = agent_process(hello.agent.name)
        row = state.agents.get(hello.agent.name)
        if row is not None and row.hello.agent == hello.agent:
            row.sent_view = view
        state.send(process, view)
        _send_reply(state, process, hello.clock_ms, view.version)
    state.hellos_to_answer.clear()
    for process, clock_ms in state.heartbeats_to_answer:
        row = state.agents.get(process.partition("/")[2])
        if row is not None and row.sent_view is not None:
            _send_reply(state, process, clock_ms, row.sent_view.version)
    state.heartbeats_to_answer.clear()


def _send_reply(
    state: EntryState, process: str, clock_ms: int, view_version: int
) -> None:
    if state.incarnation is None:
        return
    reply = HeartbeatReply(
        entry=state.incarnation,
        echo_ms=clock_ms,
        evidence_age_ms=state.freshness.age_ms(state.now_ms),
        version=state.control.version,
        view_version=view_version,
    )
    state.send(process, reply)
