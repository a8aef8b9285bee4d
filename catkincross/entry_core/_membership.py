"""Folding of the control stream, and this entry's own membership."""

from __future__ import annotations

from collections.abc import Sequence

from ..foundation._ids import Incarnation, entry_process
from ..protocol._effects import LogRead, LogUnreachable, SetPeers
from ..protocol._messages import LogRecord, RecordsTail
from ..protocol._records import EntryJoined, decode_record
from ..resources._fold import fold_record
from ._appends import reject_appends, settle_after_fold
from ._entry_registry import ENTRY
from ._entry_rows import PeerRow
from ._entry_state import EntryState
from ._job_end import fail_jobs

# Each further end of an entry within this window doubles the hold before it rejoins.
REPEATED_END_WINDOW_MS = 600_000
MAX_REJOIN_HOLD_MS = 300_000


@ENTRY.handler(LogRead)
def _log_read(state: EntryState, sender: str, event: LogRead) -> None:
    state.log_reachable = True
    fold_records(state, event.records)
    if state.control.version >= event.tail:
        state.freshness.renew(event.asked_ms, state.control.version)
        _append_join(state)


@ENTRY.handler(LogUnreachable)
def _log_unreachable(state: EntryState, sender: str, event: LogUnreachable) -> None:
    state.log_reachable = False


@ENTRY.handler(RecordsTail)
def _records_tail_received(
    state: EntryState, sender: str, message: RecordsTail
) -> None:
    # Records after a gap are ignored, since the state lacks those in between.
    if message.after <= state.control.version:
        fold_records(state, message.records)


def _append_join(state: EntryState) -> None:
    if state.incarnation is not None or state.stopping:
        return
    pending = state.appends.pending.get(state.join_record_id)
    if pending is not None:
        since_ms = pending.uncertain_ms
        wait_ms = state.settings.control.change_answer_ms
        if since_ms is None or state.now_ms - since_ms < wait_ms:
            return
        # If the missing record reaches the log after all, this entry finds its
        # incarnation replaced, and joins once more.
        state.appends.remove(state.join_record_id)
    if state.now_ms < _rejoin_hold_end_ms(state):
        return
    body = EntryJoined(state.name, state.address, state.settings.data_centre)
    state.join_record_id = state.append(body).id


def _rejoin_hold_end_ms(state: EntryState) -> int:
    since_ms = state.now_ms - REPEATED_END_WINDOW_MS
    ends = [
        ended.folded_ms
        for ended in state.control.ended.values()
        if ended.incarnation.name == state.name
        and not ended.planned
        and ended.folded_ms > since_ms
    ]
    if not ends or state.name in state.control.entries:
        return 0
    hold_ms = state.settings.membership.rejoin_hold_ms << (len(ends) - 1)
    return max(ends) + min(hold_ms, MAX_REJOIN_HOLD_MS)


def fold_records(state: EntryState, records: Sequence[LogRecord]) -> None:
    """Fold the records that follow this entry's version, in order.

    Args:
        state: The entry's state.
        records: Records by offset; those that are folded already are skipped.
    """
    roster_version = state.control.roster_version
    for row in records:
        if row.offset <= state.control.version:
            continue
        record = decode_record(row.body)
        reason = fold_record(state.control, row.offset, record, state.now_ms)
        state.recent.add(row)
        if record.id == state.join_record_id and not reason:
            _start_incarnation(state, state.control.entries[state.name].incarnation)
        settle_after_fold(state, record)
        state.last_fold_ms = state.now_ms
    if state.control.roster_version != roster_version:
        apply_roster(state)


def _start_incarnation(state: EntryState, incarnation: Incarnation) -> None:
    state.incarnation = incarnation
    state.appends.sequence = 0
    state.emit("membership", "joined", incarnation=str(incarnation))


def apply_roster(state: EntryState) -> None:
    """Set the peers from the roster; end this incarnation if it is no longer live."""
    live = state.control.entries
    for name in list(state.peers.rows):
        row = state.peers.rows[name]
        if name not in live or live[name].incarnation != row.incarnation:
            state.peers.remove(name)
    for name, entry in live.items():
        if name != state.name and name not in state.peers:
            row = PeerRow(entry.incarnation, join_folded_ms=state.now_ms)
            state.peers.add(name, row)
    addresses = {
        entry_process(name): entry.address
        for name, entry in live.items()
        if name != state.name
    }
    state.effects.append(SetPeers(addresses))
    state.emit("membership", "roster changed", entries=len(live))
    if state.incarnation is not None and not state.control.is_live(state.incarnation):
        _end_incarnation(state)


def _end_incarnation(state: EntryState) -> None:
    """Drop all work of this incarnation; other entries may run it from now on."""
    ended = state.control.ended.get(state.incarnation)
    state.emit("membership", "ended", incarnation=str(state.incarnation))
    reject_appends(state)
    if ended is None or not ended.planned:
        fail_jobs(state)
    state.incarnation = None
    state.join_record_id = ""
