"""Censuses of the tasks of ended owners, and fencing of these owners.

A census queries the homes and their agents for the keys of the tasks that may have
started for an ended owner.
"""

from __future__ import annotations

from collections import defaultdict

from ..foundation._ids import Incarnation, agent_process, entry_process, split_process
from ..protocol._messages import CensusReply, CensusRequest, Reason
from ..resources._control_state import AgentMember
from ._entry_registry import ENTRY
from ._entry_state import EntryState
from ._home import decline_task
from ._key_status import KeyStatus
from ._recovery_rows import Census, HomeCensus

QUERY_REPEAT_MS = 500

# Interval of queries about lost agents, which may reconnect.
LOST_AGENT_REPEAT_MS = 5_000


# The entry that asks


def census_key_status(
    state: EntryState, ended: Incarnation, key_hash: bytes
) -> KeyStatus:
    """Return whether tasks of a key may have started, by an ended owner's census."""
    census = _ensure_census(state, ended)
    if key_hash in census.keys:
        return KeyStatus.STARTED
    if census.awaited_processes:
        return KeyStatus.PENDING
    return KeyStatus.STARTED if census.lost_agents else KeyStatus.FREE


def _ensure_census(state: EntryState, ended: Incarnation) -> Census:
    """Return the census of an ended incarnation, and begin one if there is none."""
    census = state.censuses.own.get(ended)
    if census is None:
        # Until its evidence of freshness expires, an agent that has not heard of the
        # end may start further tasks.
        folded_ms = state.control.ended[ended].folded_ms
        census = Census(folded_ms + state.settings.freshness.freshness_ms)
        census.ask_due_ms = census.first_query_ms
        state.censuses.own[ended] = census
        state.timers.set(f"census {ended}", census.first_query_ms)
    return census


@ENTRY.system(order=170)
def _begin_censuses(state: EntryState) -> None:
    """Begin a census for each unplanned end; drop the data of pruned incarnations."""
    censuses = state.censuses
    if (
        censuses.roster_version == state.control.roster_version
        or state.incarnation is None
    ):
        return
    censuses.roster_version = state.control.roster_version
    for ended in state.control.ended.values():
        if not ended.planned and state.guards.census:
            _ensure_census(state, ended.incarnation)
    for censuses_by_owner in (censuses.own, censuses.served):
        for incarnation in [
            entry for entry in censuses_by_owner if _is_pruned(state, entry)
        ]:
            del censuses_by_owner[incarnation]
    state.fenced_owners = {
        entry for entry in state.fenced_owners if not _is_pruned(state, entry)
    }


def _is_pruned(state: EntryState, entry: Incarnation) -> bool:
    return entry not in state.control.ended and not state.control.is_live(entry)


@ENTRY.system(order=180)
def _run_censuses(state: EntryState) -> None:
    """Query all entries for the censuses that are due."""
    if state.incarnation is None:
        return
    for ended, census in state.censuses.own.items():
        if ended not in state.control.ended or state.now_ms < census.ask_due_ms:
            continue
        _update_missing(state, ended, census)
        if not census.awaited_processes and not census.lost_agents:
            census.ask_due_ms = state.now_ms + LOST_AGENT_REPEAT_MS
            continue
        census.ask_due_ms = state.now_ms + (
            QUERY_REPEAT_MS if census.awaited_processes else LOST_AGENT_REPEAT_MS
        )
        state.timers.set(f"census {ended}", census.ask_due_ms)
        request = CensusRequest(ended, state.incarnation)
        _serve_request(state, state.process, request)
        for name in state.peers.rows:
            state.send(entry_process(name), request)


def _update_missing(state: EntryState, ended: Incarnation, census: Census) -> None:
    """Update which processes have not answered and which agents are lost."""
    offset = state.control.ended[ended].offset
    was_awaiting = bool(census.awaited_processes)
    census.awaited_processes = {
        str(entry.incarnation)
        for entry in state.control.entries.values()
        if entry.number < offset and entry.incarnation not in census.answered_entries
    }
    census.lost_agents = set()
    for agent, member in state.control.members.items():
        # An agent that registered after the end knew of it before it could start tasks.
        if member.offset > offset or agent in census.answered_agents:
            continue
        if member.ended_ms is None:
            census.awaited_processes.add(str(agent))
        elif not _homes_of(member) <= census.answered_entries:
            lost = any(not state.control.is_live(home) for home in _homes_of(member))
            if lost:
                census.lost_agents.add(agent)
            else:
                census.awaited_processes.add(str(agent))
    if was_awaiting and not census.awaited_processes:
        state.settlement_due_ms = state.now_ms
        state.emit(
            "census",
            "census complete",
            ended=str(ended),
            keys=len(census.keys),
            lost=len(census.lost_agents),
        )


def _homes_of(member: AgentMember) -> set[Incarnation]:
    """Return all entries that have been an agent's home."""
    return {term.entry for term in member.homes}


# The entries that answer


@ENTRY.handler(CensusRequest)
def _census_requested(state: EntryState, sender: str, message: CensusRequest) -> None:
    if state.incarnation is not None:
        _serve_request(state, sender, message)


def _serve_request(state: EntryState, sender: str, request: CensusRequest) -> None:
    """Fence an ended owner, query this home's agents and reply with what is known."""
    ended = request.ended
    _fence_owner(state, ended)
    served = state.censuses.served.setdefault(ended, HomeCensus())
    served.requesters.add(sender)
    for row in state.agents:
        agent = row.hello.agent
        asked_ms = served.asked_ms.get(agent)
        due = asked_ms is None or state.now_ms - asked_ms >= QUERY_REPEAT_MS // 2
        if agent not in served.answered_agents and row.connected and due:
            served.asked_ms[agent] = state.now_ms
            state.send(agent_process(row.name), CensusRequest(ended, state.incarnation))
    _send_reply(state, ended, served, sender)


def _fence_owner(state: EntryState, ended: Incarnation) -> None:
    """Refuse further tasks of an ended owner, and decline its queued ones."""
    if ended in state.fenced_owners:
        return
    state.fenced_owners.add(ended)
    for key in list(state.home_queue):
        if key.owner == ended:
            decline_task(state, state.home_tasks.rows[key], Reason.STALE_OWNER)


def _send_reply(
    state: EntryState, ended: Incarnation, served: HomeCensus, to: str
) -> None:
    reply = CensusReply(
        ended=ended,
        replier=state.incarnation,
        keys=sorted(served.keys | _unconfirmed_keys(state, ended, served)),
        agents=sorted(served.answered_agents),
        complete=_all_answered(state, served),
    )
    if to == state.process:
        _apply_reply(state, reply)
    else:
        state.send(to, reply)


def _unconfirmed_keys(
    state: EntryState, ended: Incarnation, served: HomeCensus
) -> set[bytes]:
    """Return the keys of the tasks that this home sent to agents without a reply.

    These keys also cover agents that are lost later, so this home does not have to
    answer again.
    """
    if served.sent_keys is None:
        # Collected once, since the tasks of a fenced owner are no longer sent.
        served.sent_keys = defaultdict(set)
        for key, row in state.home_tasks.rows.items():
            not_run = row.result is not None and row.result.not_run
            if key.owner == ended and row.agent and not not_run:
                served.sent_keys[row.agent_incarnation].add(key.task.key_hash)
    found: set[bytes] = set()
    for agent, keys in served.sent_keys.items():
        if agent not in served.answered_agents:
            found |= keys
    return found


def _all_answered(state: EntryState, served: HomeCensus) -> bool:
    return all(row.hello.agent in served.answered_agents for row in state.agents)


@ENTRY.handler(CensusReply)
def _census_answered(state: EntryState, sender: str, message: CensusReply) -> None:
    if split_process(sender)[0] == "entry":
        _apply_reply(state, message)
        return
    served = state.censuses.served.get(message.ended)
    if served is None or state.incarnation is None:
        return
    served.keys |= set(message.keys)
    served.answered_agents |= set(message.agents)
    if _all_answered(state, served):
        for requester in sorted(served.requesters):
            _send_reply(state, message.ended, served, requester)
        served.requesters.clear()


def _apply_reply(state: EntryState, reply: CensusReply) -> None:
    """Add the keys and agents of a home's reply to this entry's census."""
    census = state.censuses.own.get(reply.ended)
    if census is None or reply.ended not in state.control.ended:
        return
    census.keys |= set(reply.keys)
    census.answered_agents |= set(reply.agents)
    census.answered_entries.add(reply.replier)
    _update_missing(state, reply.ended, census)
