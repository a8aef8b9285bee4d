"""Folding of the control stream, joining the roster, and registering agents."""

from __future__ import annotations

from ._effects import AppendEnded, LogRead, LogUnreachable, SetPeers
from ._entry_registry import ENTRY
from ._entry_rows import PeerRow
from ._entry_state import EntryState
from ._fold import fold_record
from ._ids import entry_process
from ._messages import RecordsTail
from ._records import EntryJoined, decode_record


@ENTRY.handles(LogRead)
def _log_read(state: EntryState, sender: str, event: LogRead) -> None:
    state.log_reachable = True
    fold_all(state, event.records)
    if state.control.version >= event.tail:
        state.freshness.renew(event.asked_ms, state.control.version)
    if state.me is None and not state.join_record_id:
        _join(state)


@ENTRY.handles(LogUnreachable)
def _log_unreachable(state: EntryState, sender: str, event: LogUnreachable) -> None:
    state.log_reachable = False


@ENTRY.handles(RecordsTail)
def _records_relayed(state: EntryState, sender: str, message: RecordsTail) -> None:
    fold_all(state, message.records)


@ENTRY.handles(AppendEnded)
def _append_ended(state: EntryState, sender: str, event: AppendEnded) -> None:
    if event.record_id == state.join_record_id and event.known and event.offset is None:
        state.join_record_id = ""


def _join(state: EntryState) -> None:
    body = EntryJoined(state.name, state.address, state.settings.data_centre)
    state.join_record_id = state.append(body).id


def fold_all(state: EntryState, records: list) -> None:
    """Fold the records that follow this entry's version, in order.

    Args:
        state: The entry's state.
        records: `LogRecord` rows, by offset; those folded before are skipped.
    """
    roster_version = state.control.roster_version
    for row in records:
        if row.offset <= state.control.version:
            continue
        record = decode_record(row.body)
        reason = fold_record(state.control, row.offset, record, state.now_ms)
        if record.id == state.join_record_id and not reason:
            state.me = state.control.entries[state.name].incarnation
            state.emit("membership", "joined", incarnation=str(state.me))
    if state.control.roster_version != roster_version:
        _roster_changed(state)


def _roster_changed(state: EntryState) -> None:
    live = state.control.entries
    for name in list(state.peers.rows):
        row = state.peers.rows[name]
        if name not in live or live[name].incarnation != row.incarnation:
            state.peers.remove(name)
    for name, entry in live.items():
        if name != state.name and name not in state.peers:
            state.peers.add(name, PeerRow(entry.incarnation))
    addresses = {
        entry_process(name): entry.address
        for name, entry in live.items()
        if name != state.name
    }
    state.effects.append(SetPeers(addresses))
    state.emit("membership", "roster changed", entries=len(live))
