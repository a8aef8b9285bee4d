"""Lost agents: those of earlier owners are sought, and their tasks run elsewhere."""

from __future__ import annotations

from ..jobs import AgentsUsed, Task
from ..peers import SeekAgents
from ._agents import AgentInfo
from ._effects import BroadcastToEntries
from ._recovery import agents_resolved
from ._shard import ShardPhase
from ._state import OwnerState, owner_system

# Interval at which agents are sought that may have runs of an earlier owner.
SEEK_INTERVAL_MS = 300
# Agents without a link or tasks are forgotten after this time. Their leases have ended
# long before.
FORGET_AGENT_MS = 30_000


@owner_system(order=90)
def seek_unresolved_agents(state: OwnerState) -> None:
    """Ask the other entries to put this one in touch with unresolved agents.

    Agents have links only to the entries that they offer capacity to, and a new owner
    may be none of these.
    """
    if state.now_ms < state.next_seek_ms:
        return
    state.next_seek_ms = state.now_ms + SEEK_INTERVAL_MS
    names: set[str] = set()
    for shard in state.shards.values():
        names |= shard.unresolved
    names = {name for name in names if not _is_connected(state, name)}
    if names:
        state.effects.append(BroadcastToEntries(SeekAgents(sorted(names))))


def _is_connected(state: OwnerState, name: str) -> bool:
    agent_info = state.agents.get(name)
    return agent_info is not None and agent_info.connected


@owner_system(order=100)
def expire_lost_agents(state: OwnerState) -> None:
    """Queue tasks of lost agents again once their runs must have been stopped.

    Also stop waiting for agents of earlier owners whose leases must have ended, unless
    they have got leases from this entry since, which let them keep the runs.

    After a pause of this process the silence may have been its own, and the agents may
    know of runs of stored jobs that have ended. Volatile jobs are given up after a long
    pause in any case.
    """
    limits = state.limits
    agents_reconnect = state.now_ms < state.reconnect_until_ms
    for agent_info in list(state.agents.values()):
        if agent_info.connected:
            continue
        if not agent_info.assigned_tasks:
            _forget_agent(state, agent_info)
            continue
        silent_ms = state.now_ms - agent_info.lease_sent_ms - limits.lapse_ms
        for task in list(agent_info.assigned_tasks):
            volatile = task.job.spec.volatile
            limit_ms = limits.volatile_silence_ms if volatile else limits.silence_ms
            if silent_ms < limit_ms or (agents_reconnect and not volatile):
                continue
            state.note(
                "run of a lost agent given up",
                task=task.name,
                run=task.run,
                agent=agent_info.name,
                lease_age_ms=state.now_ms - agent_info.lease_sent_ms,
            )
            if (task.name, task.run) not in _pending_ends_of(state, task):
                state.requeue(task)
            agent_info.assigned_tasks.discard(task)
    for shard in state.shards.values():
        if state.now_ms < shard.unresolved_until_ms or agents_reconnect:
            continue
        lost = {name for name in shard.unresolved if not _has_lease(state, name)}
        if not lost:
            continue
        state.note(
            "agents of earlier owners given up",
            shard=shard.number,
            agents=sorted(lost),
        )
        shard.unresolved -= lost
        if not shard.unresolved:
            agents_resolved(state, shard)


def _forget_agent(state: OwnerState, agent_info: AgentInfo) -> None:
    """Forget a lost agent without tasks step by step."""
    limits = state.limits
    lost_for_ms = state.now_ms - agent_info.lost_ms
    if agent_info.drained or lost_for_ms > limits.silence_ms + limits.lapse_ms:
        _forget_recorded(state, agent_info.name)
    if lost_for_ms > FORGET_AGENT_MS:
        del state.agents[agent_info.name]


def _forget_recorded(state: OwnerState, name: str) -> None:
    """Remove a lost agent from the shards' logs once it can hold no runs of them.

    A later owner would wait for its report otherwise.
    """
    for shard in state.shards.values():
        if shard.phase is not ShardPhase.OPEN or name in shard.unresolved:
            continue
        if name in shard.recorded_agents:
            shard.recorded_agents.discard(name)
            names = tuple(sorted(shard.recorded_agents | shard.pending_agents))
            shard.append(AgentsUsed(names, True, state.wall_ms), state.now_ms)


def _has_lease(state: OwnerState, name: str) -> bool:
    """Whether a lease of this entry lets an agent keep runs of stored jobs."""
    agent_info = state.agents.get(name)
    if agent_info is None:
        return False
    limits = state.limits
    end_ms = agent_info.lease_sent_ms + limits.silence_ms + limits.lapse_ms
    return agent_info.connected or state.now_ms < end_ms


def _pending_ends_of(state: OwnerState, task: Task) -> set[tuple[str, int]]:
    shard = state.shard_for(task.job.spec.id)
    return shard.pending_ends if shard is not None else set()
