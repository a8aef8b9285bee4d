"""Membership at the agent: view, home, grant, heartbeats and freshness."""

from __future__ import annotations

from ..foundation._ids import entry_process
from ..protocol._effects import (
    Connected,
    Disconnected,
    LeaveRequested,
    Stop,
    UpstreamAnnounced,
    WorkerUsage,
)
from ..protocol._messages import (
    NO_EVIDENCE,
    AgentHeartbeat,
    AgentHello,
    AgentView,
    HeartbeatReply,
)
from ._agent_registry import AGENT
from ._agent_results import repeat_results
from ._agent_state import AgentState
from ._home_selection import ranked_entries, select_home, set_peers

MAX_UNANSWERED_HEARTBEATS = 4


@AGENT.handler(AgentView)
def _view_received(state: AgentState, sender: str, view: AgentView) -> None:
    if state.view is not None and view.version < state.view.version:
        return
    changed = state.view is None or view.draining != state.view.draining
    state.view = view
    if changed:
        state.emit("view changed", version=view.version, draining=view.draining)
    _choose_home(state)


@AGENT.handler(HeartbeatReply)
def _heartbeat_answered(state: AgentState, sender: str, reply: HeartbeatReply) -> None:
    state.links.last_answer_ms[sender] = state.now_ms
    if sender == state.home_process:
        state.home_echo_ms = max(state.home_echo_ms, reply.echo_ms)
    if reply.evidence_age_ms == NO_EVIDENCE or state.view is None:
        return
    # A newer view may have been lost with a broken stream. The reply must not renew
    # the freshness of the older one.
    if reply.view_version > state.view.version or reply.version < state.view.version:
        return
    evidence_ms = reply.echo_ms - reply.evidence_age_ms
    state.freshness.renew(evidence_ms, reply.version)


@AGENT.handler(Connected)
def _connected(state: AgentState, sender: str, event: Connected) -> None:
    state.connected.add(event.process)
    state.links.opened(event.process, state.now_ms)
    state.send(event.process, _build_hello(state, receiver=event.process))
    _choose_home(state)
    if event.process == state.home_process:
        repeat_results(state)


@AGENT.handler(Disconnected)
def _disconnected(state: AgentState, sender: str, event: Disconnected) -> None:
    state.connected.discard(event.process)
    state.links.closed(event.process, state.now_ms, refused=event.refused)
    _choose_home(state)


@AGENT.handler(UpstreamAnnounced)
def _upstream_announced(
    state: AgentState, sender: str, event: UpstreamAnnounced
) -> None:
    state.slots = event.slots
    state.connections = event.connections
    state.upstream_leaving = event.leaving
    state.emit("upstream announced", slots=event.slots, leaving=event.leaving)
    if state.home:
        state.send(state.home_process, _build_hello(state, receiver=state.home_process))


@AGENT.handler(WorkerUsage)
def _usage_reported(state: AgentState, sender: str, usage: WorkerUsage) -> None:
    state.memory_used_mb = usage.memory_used_mb
    state.cpu_permille = usage.cpu_permille


@AGENT.handler(LeaveRequested)
def _leave_requested(state: AgentState, sender: str, event: LeaveRequested) -> None:
    state.leaving = True
    state.leave_requested_ms = state.now_ms
    state.emit("leave announced", running=len(state.running))
    if state.home:
        state.send(state.home_process, _build_heartbeat(state))


def _choose_home(state: AgentState) -> None:
    if state.view is None:
        return
    entries = {entry.name: entry for entry in state.view.entries if not entry.leaving}
    ranked = ranked_entries(
        state.settings.name,
        state.settings.data_centre,
        [(entry.name, entry.data_centre) for entry in entries.values()],
    )
    home, wanted = select_home(state.links, ranked, state.home, state.now_ms)
    addresses = {entry_process(name): entries[name].address for name in wanted}
    change = set_peers(state.links, addresses)
    if change is not None:
        state.effects.append(change)
    if home and home != state.home:
        state.home = home
        state.links.set_home(state.home_process, state.now_ms)
        state.grant_epoch += 1
        state.emit("home chosen", home=home, grant_epoch=state.grant_epoch)
        state.send(state.home_process, _build_hello(state, receiver=state.home_process))
        # Results in flight to the previous home may be lost with its stream.
        repeat_results(state)


def _build_hello(state: AgentState, *, receiver: str) -> AgentHello:
    settings = state.settings
    return AgentHello(
        agent=state.incarnation,
        upstream=settings.upstream,
        service=settings.service,
        region=settings.region,
        data_centre=settings.data_centre,
        rack=settings.rack,
        slots=state.slots,
        connections=state.connections,
        cores=settings.cores,
        memory_mb=settings.memory_mb,
        accelerators=settings.accelerators,
        grant_epoch=state.grant_epoch if receiver == state.home_process else 0,
        clock_ms=state.now_ms,
        running=state.running_tasks(),
        leaving=state.leaving or state.upstream_leaving,
    )


def _build_heartbeat(state: AgentState) -> AgentHeartbeat:
    return AgentHeartbeat(
        agent=state.incarnation,
        grant_epoch=state.grant_epoch,
        clock_ms=state.now_ms,
        version=max(state.view.version if state.view else 0, state.freshness.version),
        running=len(state.running),
        memory_used_mb=state.memory_used_mb,
        cpu_permille=state.cpu_permille,
        draining=bool(state.view and state.view.draining),
        leaving=state.leaving or state.upstream_leaving,
    )


@AGENT.system(order=800)
def _send_heartbeats(state: AgentState) -> None:
    if state.now_ms < state.heartbeat_due_ms:
        return
    interval_ms = state.settings.membership.agent_heartbeat_ms
    state.heartbeat_due_ms = state.now_ms + interval_ms
    _choose_home(state)
    if state.home_process not in state.connected:
        return
    # A home that does not answer may have dropped this agent and then needs a hello.
    if state.now_ms - state.home_echo_ms > MAX_UNANSWERED_HEARTBEATS * interval_ms:
        state.send(state.home_process, _build_hello(state, receiver=state.home_process))
    else:
        state.send(state.home_process, _build_heartbeat(state))


@AGENT.system(order=900)
def _stop_when_idle(state: AgentState) -> None:
    if not state.leaving or state.running or state.pending_results:
        return
    # Results to the home and starts from it may be in flight. Both have arrived once
    # the home has echoed a clock stamp later than the results and the leave.
    answered = state.home_echo_ms > max(state.results_sent_ms, state.leave_requested_ms)
    if answered or state.home_process not in state.connected:
        state.effects.append(Stop("left"))
