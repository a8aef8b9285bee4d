"""Detection of silent entries and agents, and the records that end them."""

from __future__ import annotations

from ..foundation._ids import Incarnation
from ..foundation._rendezvous import rank_by_hash
from ..protocol._records import AgentsEnded, EntryEnded
from ..resources._control_state import AgentMember
from ._appends import join_folded_by_peers
from ._entry_registry import ENTRY
from ._entry_rows import AgentRow, PeerRow
from ._entry_state import EntryState

AGENT_SCAN_INTERVAL_MS = 1_000


@ENTRY.system(order=5)
def _detect_pause(state: EntryState) -> None:
    """Restart the measurement of silence after a pause of this process.

    All other processes look silent after a pause, since their messages wait in the
    inbox.
    """
    gap_ms = state.now_ms - state.last_step_ms
    if gap_ms > state.settings.membership.suspect_ms // 2:
        state.watch_start_ms = state.now_ms
    state.last_step_ms = state.now_ms


def _may_end_members(state: EntryState) -> bool:
    """Whether this entry may append records that end entries and agents now."""
    return (
        state.incarnation is not None
        and state.control.is_live(state.incarnation)
        and not state.stopping
        and state.log_reachable
        and state.freshness.is_current(state.now_ms)
    )


@ENTRY.system(order=150)
def _end_silent_entries(state: EntryState) -> None:
    if not state.peers.rows or not _may_end_members(state):
        return
    overdue = {
        name: overdue_ms
        for name, row in state.peers.rows.items()
        if (overdue_ms := _overdue_ms(state, row)) >= 0
    }
    if not overdue or not join_folded_by_peers(state, except_names=overdue):
        return
    proposed = {
        row.record.body.entry
        for row in state.appends.pending.values()
        if isinstance(row.record.body, EntryEnded)
    }
    proposers = [name for name in state.control.owner_names() if name not in overdue]
    for name, overdue_ms in overdue.items():
        entry = state.peers.rows[name].incarnation
        if entry not in proposed and _may_propose_now(
            state, entry, proposers, overdue_ms
        ):
            state.emit("membership", "silent entry", entry=str(entry))
            state.append(EntryEnded(entry, "silent"))


def _may_propose_now(
    state: EntryState, ended: Incarnation, proposers: list[str], overdue_ms: int
) -> bool:
    """Whether this entry proposes an end now.

    The proposers are ranked by the ended incarnation. Each waits `second_proposer_ms`
    longer than the one before it.
    """
    order = rank_by_hash(str(ended).encode(), proposers)
    if state.name not in order:
        return False
    delay_ms = state.settings.membership.second_proposer_ms
    return overdue_ms >= order.index(state.name) * delay_ms


def _overdue_ms(state: EntryState, row: PeerRow) -> int:
    """Return for how long an entry has been suspected; negative if it is not."""
    settings = state.settings.membership
    last_heard_ms = max(
        row.last_heard_ms or row.join_folded_ms,
        row.join_folded_ms,
        state.watch_start_ms,
    )
    silent_ms = state.now_ms - last_heard_ms - settings.suspect_ms
    if row.refused_ms is None:
        return silent_ms
    since_ms = max(row.refused_ms, state.watch_start_ms)
    return max(silent_ms, state.now_ms - since_ms - settings.refused_suspect_ms)


@ENTRY.system(order=160)
def _end_silent_agents(state: EntryState) -> None:
    if state.now_ms < state.agent_scan_due_ms or not _may_end_members(state):
        return
    state.agent_scan_due_ms = state.now_ms + AGENT_SCAN_INTERVAL_MS
    proposed = {
        agent
        for row in state.appends.pending.values()
        if isinstance(row.record.body, AgentsEnded)
        for agent in row.record.body.agents
    }
    ended = [
        agent
        for agent, member in state.control.members.items()
        if member.ended_ms is None
        and agent not in proposed
        and _should_end_agent(state, agent, member)
    ]
    if ended:
        state.emit("membership", "silent agents", agents=len(ended))
        state.append(AgentsEnded(ended, "silent"))


def _should_end_agent(
    state: EntryState, agent: Incarnation, member: AgentMember
) -> bool:
    """Whether this entry should end an agent that is silent or has left."""
    suspect_ms = state.settings.membership.agent_suspect_ms
    since_ms = max(member.homes[-1].since_ms, state.watch_start_ms)
    if member.home == state.incarnation:
        row = state.agents.get(agent.name)
        if row is not None and row.hello.agent == agent:
            since_ms = max(since_ms, row.last_heard_ms)
            if _has_left(row):
                return True
        return state.now_ms - since_ms >= suspect_ms
    if member.home is None or state.control.is_live(member.home):
        return False
    # The home has ended and no other entry has registered the agent.
    ended = state.control.ended.get(member.home)
    if ended is not None:
        since_ms = max(since_ms, ended.folded_ms)
    overdue_ms = state.now_ms - since_ms - suspect_ms
    return _may_propose_now(state, agent, state.control.owner_names(), overdue_ms)


def _has_left(row: AgentRow) -> bool:
    return row.leaving and not row.connected and not row.assigned_tasks
