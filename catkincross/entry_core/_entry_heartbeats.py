"""Heartbeats between entries, which carry evidence of freshness and capacity."""

from __future__ import annotations

from ..foundation._ids import entry_process, split_process
from ..protocol._effects import Connected, Disconnected
from ..protocol._messages import NO_EVIDENCE, PeerHeartbeat, RecordsTail, StateRequest
from ..protocol._records import encode_record
from ._appends import pending_restrictions
from ._arrival import resend_requests
from ._entry_registry import ENTRY
from ._entry_rows import PeerRow
from ._entry_state import EntryState
from ._held_requests import resend_relayed_requests
from ._home_capacity import capacity_summaries
from ._home_choice import update_peer_capacity
from ._key_queries import send_key_lists
from ._observations import drain_reports, observed_versions
from ._snapshots import send_control_state

MAX_RECORDS_PER_TAIL = 200
STATE_RESEND_MS = 5_000


@ENTRY.handler(PeerHeartbeat)
def _peer_heartbeat(state: EntryState, sender: str, message: PeerHeartbeat) -> None:
    peer = state.peers.get(message.sender.name)
    if peer is None or peer.incarnation != message.sender:
        return
    peer.heartbeat = message
    peer.last_heard_ms = state.now_ms
    peer.connected = True
    peer.refused_ms = None
    peer.capacity = {(c.service, c.data_centre): c for c in message.capacity}
    peer.teams = {usage.team: usage for usage in message.teams}
    update_peer_capacity(state, message.sender.name)
    _renew_freshness(state, message)
    _send_missing_records(state, peer)


def _send_missing_records(state: EntryState, peer: PeerRow) -> None:
    """Send a lagging peer the records that it has not folded.

    A peer that can reach the log first gets one heartbeat interval to read them itself.
    """
    heartbeat = peer.heartbeat
    if heartbeat is None or heartbeat.version >= state.control.version:
        return
    wait_ms = state.settings.membership.peer_heartbeat_ms
    if heartbeat.log_reachable and state.now_ms - state.last_fold_ms < wait_ms:
        return
    records = state.recent.records_after(heartbeat.version)
    if records is None:
        overdue = state.now_ms - peer.state_sent_ms >= STATE_RESEND_MS
        if not heartbeat.log_reachable and overdue:
            peer.state_sent_ms = state.now_ms
            send_control_state(
                state, entry_process(peer.incarnation.name), heartbeat.version
            )
    elif records:
        tail = RecordsTail(records[:MAX_RECORDS_PER_TAIL], heartbeat.version)
        state.send(entry_process(peer.incarnation.name), tail)


def _renew_freshness(state: EntryState, message: PeerHeartbeat) -> None:
    """Renew freshness from a peer's evidence, unless the peer has newer records."""
    if NO_EVIDENCE in (message.echo_ms, message.evidence_age_ms):
        return
    if message.version > state.control.version:
        return
    evidence_ms = message.echo_ms + message.echo_delay_ms - message.evidence_age_ms
    state.freshness.renew(evidence_ms, message.version)


@ENTRY.handler(Connected)
def _connected(state: EntryState, sender: str, event: Connected) -> None:
    role, name = split_process(event.process)
    if role == "entry" and state.control.version == 0:
        # This entry has no control state yet, and the log may be unreachable.
        state.send(event.process, StateRequest(0))
    if role == "entry" and name in state.peers:
        state.peers.rows[name].connected = True
        state.peers.rows[name].refused_ms = None
        state.peers.mark_changed(name)
        state.heartbeat_due_ms = state.now_ms
        resend_requests(state, name)
        resend_relayed_requests(state, name)
        send_key_lists(state, [name])
    if role == "agent" and name in state.agents:
        state.agents.rows[name].connected = True
        state.dispatch.outdated_agents[name] = None


@ENTRY.handler(Disconnected)
def _disconnected(state: EntryState, sender: str, event: Disconnected) -> None:
    role, name = split_process(event.process)
    if role == "entry" and name in state.peers:
        state.peers.rows[name].connected = False
        peer = state.peers.rows[name]
        if not event.refused:
            peer.refused_ms = None
        elif peer.refused_ms is None:
            peer.refused_ms = state.now_ms
    if role == "agent" and name in state.agents:
        state.agents.rows[name].connected = False
        state.dispatch.outdated_agents[name] = None


@ENTRY.system(order=800)
def _send_heartbeats(state: EntryState) -> None:
    if state.now_ms < state.heartbeat_due_ms:
        return
    interval_ms = state.settings.membership.peer_heartbeat_ms
    state.heartbeat_due_ms = state.now_ms + interval_ms
    if state.incarnation is None:
        return
    capacity = capacity_summaries(state)
    observed, drains = observed_versions(state), drain_reports(state)
    teams = state.dispatch.teams.usage_report()
    pending = [encode_record(record) for record in pending_restrictions(state)]
    for name, peer in state.peers.rows.items():
        echo_ms, delay_ms = NO_EVIDENCE, 0
        if peer.heartbeat is not None and peer.last_heard_ms is not None:
            echo_ms = peer.heartbeat.sent_ms
            delay_ms = state.now_ms - peer.last_heard_ms
        heartbeat = PeerHeartbeat(
            sender=state.incarnation,
            sent_ms=state.now_ms,
            echo_ms=echo_ms,
            echo_delay_ms=delay_ms,
            version=state.control.version,
            log_reachable=state.log_reachable,
            evidence_age_ms=state.freshness.age_ms(state.now_ms),
            capacity=capacity,
            teams=teams,
            leaving=state.stopping,
            pending=pending,
            observed=observed,
            drains=drains,
        )
        state.send(entry_process(name), heartbeat)
