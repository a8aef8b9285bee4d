"""Control-stream appends of this entry: operators' changes, outcomes, rate limit."""

from __future__ import annotations

from collections.abc import Container, Iterator

import attrs

from ..protocol._effects import Append, AppendEnded, ChangeProposed, ChangeReply
from ..protocol._messages import Reason
from ..protocol._records import (
    Barrier,
    EntryEnded,
    EntryJoined,
    Record,
    ResourceDeleted,
    ResourcePut,
)
from ..resources._append_queue import PendingAppend
from ..resources._fold import LOST_RACE
from ._entry_registry import ENTRY
from ._entry_state import EntryState

ACCEPTED = "accepted"
REFUSED = "refused"
UNKNOWN = "unknown"

# Reason of a record that was not appended and can never take effect.
NOT_APPENDED = "not_appended"


@ENTRY.handler(ChangeProposed)
def _change_proposed(state: EntryState, sender: str, event: ChangeProposed) -> None:
    record_id = event.record.id
    if record_id in state.control.outcomes:
        _reply(state, [event.request_id], change_status(state, record_id))
        return
    row = state.appends.pending.get(record_id)
    if row is None:
        reason = _rejection_reason(state, event.record.body)
        if reason:
            refused = ChangeReply(0, record_id, REFUSED, reason)
            _reply(state, [event.request_id], refused)
            return
        state.appends.not_kept.pop(record_id, None)
        row = state.appends.add(attrs.evolve(event.record, author=state.incarnation))
    row.requests.append(event.request_id)
    row.answer_due_ms = state.now_ms + state.settings.control.change_answer_ms
    state.timers.set(f"change {record_id}", row.answer_due_ms)


def _rejection_reason(state: EntryState, body: object) -> str:
    """Return why a change must not be appended now, or an empty string."""
    if (
        state.incarnation is None
        or state.stopping
        or not state.control.is_live(state.incarnation)
    ):
        return Reason.NOT_READY
    if not state.log_reachable:
        return Reason.LOG_UNREACHABLE
    if not state.freshness.is_current(state.now_ms):
        return Reason.NOT_CURRENT
    if not join_folded_by_peers(state):
        return Reason.NOT_READY
    if isinstance(body, ResourcePut | ResourceDeleted):
        current = state.control.resources.get((body.kind, body.name))
        generation = 0 if current is None else current.generation
        if generation != body.expected_generation:
            return LOST_RACE
    return ""


def join_folded_by_peers(
    state: EntryState, *, except_names: Container[str] = ()
) -> bool:
    """Whether every other live entry has folded this entry's join record.

    Until then, another entry may still act on outage evidence that was collected
    without this entry, and would not see the records that this entry appends.

    Args:
        state: The entry's state; the entry must have joined.
        except_names: Names of entries that are left out of the check.
    """
    assert state.incarnation is not None
    return all(
        peer.heartbeat is not None
        and peer.heartbeat.version >= state.incarnation.number
        for name, peer in state.peers.rows.items()
        if name not in except_names
    )


def change_status(state: EntryState, record_id: str) -> ChangeReply:
    """Return the outcome of a change as far as this entry knows it.

    Args:
        state: The entry's state.
        record_id: ID of the change's record.

    Returns:
        A reply with request ID 0. `unknown` without a reason means that the append
        is pending, `unknown` with reason `not_found` that this entry knows neither
        an append nor an outcome of the record.
    """
    outcome = state.control.outcomes.get(record_id)
    if outcome is not None:
        status = REFUSED if outcome.reason else ACCEPTED
        return ChangeReply(0, record_id, status, outcome.reason, outcome.offset)
    if record_id in state.appends.not_kept:
        return ChangeReply(0, record_id, REFUSED, state.appends.not_kept[record_id])
    reason = "" if record_id in state.appends.pending else "not_found"
    return ChangeReply(0, record_id, UNKNOWN, reason)


def _reply(state: EntryState, requests: list[int], reply: ChangeReply) -> None:
    for request_id in requests:
        state.effects.append(attrs.evolve(reply, request_id=request_id))


@ENTRY.handler(AppendEnded)
def _append_ended(state: EntryState, sender: str, event: AppendEnded) -> None:
    queue = state.appends
    if event.record_id == queue.in_flight:
        queue.in_flight = ""
    row = queue.pending.get(event.record_id)
    if row is None or event.offset is not None:
        return
    if not event.known:
        row.uncertain_ms = state.now_ms
        state.emit("appends", "outcome unknown", record=event.record_id)
        return
    _settle_append(state, row, ChangeReply(0, event.record_id, REFUSED, event.reason))


def _settle_append(state: EntryState, row: PendingAppend, reply: ChangeReply) -> None:
    state.appends.remove(row.record.id)
    state.timers.cancel(f"change {row.record.id}")
    if reply.version == 0:
        state.appends.record_refusal(row.record.id, reply.reason)
    _reply(state, row.requests, reply)


def settle_after_fold(state: EntryState, record: Record) -> None:
    """Settle the appends of this entry that a newly folded record decides.

    These are the append of the record itself and, if this entry is its author, all
    sent appends with lower sequence numbers, since the fold would ignore them.

    Args:
        state: The entry's state, into which the record was folded.
        record: The folded record, of any author.
    """
    row = state.appends.pending.get(record.id)
    if row is not None:
        _settle_append(state, row, change_status(state, record.id))
    if state.incarnation is None or record.author != state.incarnation:
        return
    for earlier in list(state.appends.pending.values()):
        if earlier.sent and earlier.record.sequence < record.sequence:
            reply = ChangeReply(0, earlier.record.id, REFUSED, NOT_APPENDED)
            _settle_append(state, earlier, reply)


def settle_after_snapshot(state: EntryState) -> None:
    """Settle the appends whose outcome a loaded snapshot contains.

    Other appends stay pending: a snapshot keeps recent outcomes only, so a missing
    record may still have been folded.
    """
    for row in list(state.appends.pending.values()):
        if row.record.id in state.control.outcomes:
            _settle_append(state, row, change_status(state, row.record.id))


def reject_appends(state: EntryState) -> None:
    """Settle all appends of an ended incarnation: none can take effect any more."""
    for row in list(state.appends.pending.values()):
        _settle_append(state, row, ChangeReply(0, row.record.id, REFUSED, NOT_APPENDED))
    state.appends.clear()


@ENTRY.system(order=840)
def _answer_overdue_changes(state: EntryState) -> None:
    for row in state.appends.pending.values():
        if row.answer_due_ms is None or state.now_ms < row.answer_due_ms:
            continue
        row.answer_due_ms = None
        _reply(state, row.requests, ChangeReply(0, row.record.id, UNKNOWN))
        row.requests.clear()


@ENTRY.system(order=845)
def _append_barrier(state: EntryState) -> None:
    """Append an empty record after an append whose outcome stays unknown.

    The fold of this barrier settles all earlier appends of this entry.
    """
    queue = state.appends
    if (
        queue.waiting
        or queue.in_flight
        or not state.log_reachable
        or state.incarnation is None
    ):
        return
    wait_ms = state.settings.control.change_answer_ms
    rows = queue.pending.values()
    if any(
        isinstance(row.record.body, Barrier) for row in rows if not _is_uncertain(row)
    ):
        return
    for row in rows:
        since_ms = row.uncertain_ms
        if since_ms is not None and state.now_ms - since_ms >= wait_ms:
            state.append(Barrier())
            return


def _is_uncertain(row: PendingAppend) -> bool:
    return row.uncertain_ms is not None


@ENTRY.system(order=850)
def _send_appends(state: EntryState) -> None:
    row = state.appends.start_next(state.now_ms)
    if row is not None:
        if isinstance(row.record.body, EntryJoined):
            row.record = attrs.evolve(row.record, sequence=0)
        state.effects.append(Append(row.record))
    due_ms = state.appends.next_due_ms()
    if due_ms is not None:
        state.timers.set("appends", due_ms)


def pending_restrictions(state: EntryState) -> Iterator[Record]:
    """Yield this entry's sent, unsettled records that take something out of service."""
    for row in state.appends.pending.values():
        if row.sent and is_restrictive(row.record):
            yield row.record


def is_restrictive(record: Record) -> bool:
    """Whether a record only takes something out of service (a drain or an end)."""
    body = record.body
    if isinstance(body, ResourcePut):
        return body.kind in ("datacentres", "upstreams") and bool(
            body.spec.get("drain", False)
        )
    return isinstance(body, EntryEnded)
