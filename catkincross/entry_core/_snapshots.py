"""Snapshots of the control state: writing, loading, exchange and pruning."""

from __future__ import annotations

from ..foundation._ids import Incarnation, entry_process
from ..foundation._rendezvous import rank_by_hash
from ..protocol._effects import (
    LogGap,
    ReadSnapshot,
    SnapshotEnded,
    SnapshotRead,
    WriteSnapshot,
)
from ..protocol._messages import ControlSnapshot, StateRequest
from ..protocol._records import SnapshotNoted
from ..resources._snapshot_codec import decode_snapshot, encode_snapshot
from ._appends import settle_after_snapshot
from ._entry_registry import ENTRY
from ._entry_state import EntryState
from ._membership import apply_roster

MIN_READ_INTERVAL_MS = 1_000

# Delay for each writer that is ranked before an entry, so that as a rule only one
# entry writes.
WRITER_DELAY_MS = 10_000

PRUNE_INTERVAL_MS = 10_000


@ENTRY.system(order=860)
def _write_snapshot(state: EntryState) -> None:
    snapshots = state.snapshots
    if not _is_due(state):
        snapshots.due_since_ms = None
        return
    if snapshots.due_since_ms is None:
        snapshots.due_since_ms = state.now_ms
    if state.incarnation is None or state.stopping or not state.log_reachable:
        return
    if snapshots.writing or not state.freshness.is_current(state.now_ms):
        return
    # A new snapshot seems due until the record that notes the last one is folded.
    rows = state.appends.pending.values()
    if any(isinstance(row.record.body, SnapshotNoted) for row in rows):
        return
    seed = f"snapshot {state.control.snapshot_version}".encode()
    writers = rank_by_hash(seed, state.control.owner_names())
    overdue_ms = state.now_ms - snapshots.due_since_ms
    if state.name not in writers or overdue_ms < WRITER_DELAY_MS * writers.index(
        state.name
    ):
        return
    snapshots.writing = True
    version = state.control.version
    body = encode_snapshot(state.control, state.now_ms)
    state.emit("snapshots", "snapshot written", version=version, size=len(body))
    state.effects.append(WriteSnapshot(version, body))


def _is_due(state: EntryState) -> bool:
    settings, control = state.settings.control, state.control
    if control.since_snapshot >= settings.snapshot_records:
        return True
    age_ms = state.now_ms - state.snapshots.noted_ms
    # The first record after a snapshot notes it and makes no new one due.
    return control.since_snapshot > 1 and age_ms >= settings.snapshot_interval_ms


@ENTRY.handler(SnapshotEnded)
def _snapshot_ended(state: EntryState, sender: str, event: SnapshotEnded) -> None:
    state.snapshots.writing = False
    if event.written and state.incarnation is not None:
        # When the others fold this record, they know that no snapshot is due.
        state.append(SnapshotNoted(event.version))
    state.snapshots.due_since_ms = state.now_ms


@ENTRY.system(order=870)
def _track_noted_snapshot(state: EntryState) -> None:
    snapshots = state.snapshots
    if snapshots.noted_version != state.control.snapshot_version:
        snapshots.noted_version = state.control.snapshot_version
        snapshots.noted_ms = state.now_ms


@ENTRY.system(order=20)
def _read_at_start(state: EntryState) -> None:
    if state.snapshots.read_requested_ms is None:
        _read_snapshot(state)


@ENTRY.handler(LogGap)
def _log_gap(state: EntryState, sender: str, event: LogGap) -> None:
    if event.first <= state.control.version + 1:
        return
    read_requested_ms = state.snapshots.read_requested_ms
    if (
        read_requested_ms is None
        or state.now_ms - read_requested_ms >= MIN_READ_INTERVAL_MS
    ):
        _read_snapshot(state)
        for name in state.peers.rows:
            state.send(entry_process(name), StateRequest(state.control.version))


def _read_snapshot(state: EntryState) -> None:
    state.snapshots.read_requested_ms = state.now_ms
    state.effects.append(ReadSnapshot())


@ENTRY.handler(SnapshotRead)
def _snapshot_read(state: EntryState, sender: str, event: SnapshotRead) -> None:
    if event.version > 0:
        load_snapshot(state, event.version, event.body)


@ENTRY.handler(StateRequest)
def _state_requested(state: EntryState, sender: str, message: StateRequest) -> None:
    send_control_state(state, sender, message.version)


def send_control_state(state: EntryState, process: str, version: int) -> None:
    """Send a process the whole control state if it is newer than a version."""
    if state.control.version > version:
        body = encode_snapshot(state.control, state.now_ms)
        state.send(process, ControlSnapshot(state.control.version, body))


@ENTRY.handler(ControlSnapshot)
def _state_received(state: EntryState, sender: str, message: ControlSnapshot) -> None:
    load_snapshot(state, message.version, message.body)


def load_snapshot(state: EntryState, version: int, body: bytes) -> None:
    """Replace the control state by a snapshot if the snapshot is newer.

    Args:
        state: The entry's state.
        version: Control version of the snapshot.
        body: The snapshot as JSON.
    """
    if version <= state.control.version:
        return
    state.control = decode_snapshot(body, state.now_ms)
    state.recent.reset(version)
    state.last_fold_ms = state.now_ms
    state.emit("snapshots", "snapshot loaded", version=version)
    join_outcome = state.control.outcomes.get(state.join_record_id)
    if (
        state.incarnation is None
        and join_outcome is not None
        and not join_outcome.reason
    ):
        incarnation = Incarnation(state.name, join_outcome.offset)
        state.incarnation = incarnation if state.control.is_live(incarnation) else None
    settle_after_snapshot(state)
    apply_roster(state)


@ENTRY.system(order=880)
def _prune_control_state(state: EntryState) -> None:
    snapshots = state.snapshots
    if state.now_ms < snapshots.prune_due_ms:
        return
    snapshots.prune_due_ms = state.now_ms + PRUNE_INTERVAL_MS
    jobs = state.settings.jobs
    # A job may run until its deadline after its owner has lost the key, and its end
    # is kept for the retention after that.
    window_ms = jobs.key_retention_ms + jobs.max_deadline_ms
    state.control.prune(state.now_ms - window_ms)
