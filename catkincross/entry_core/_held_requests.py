"""Requests at the owner whose key is not settled, or whose job is at another entry."""

from __future__ import annotations

import attrs

from ..foundation._ids import entry_process
from ..protocol._messages import (
    CancelJob,
    ForwardJob,
    JobAnswer,
    JobAsked,
    JobState,
    Reason,
)
from ._entry_registry import ENTRY
from ._entry_rows import Waiter
from ._entry_state import EntryState
from ._job_end import answer_waiter
from ._key_settlement import KeyStatus, find_job_holder, settle_key
from ._owner import accept_job, cancel_job, query_job
from ._recovery_rows import HeldRequest

SETTLEMENT_INTERVAL_MS = 100
RETRY_AFTER_MS = 1_000


def unknown_answer(key: str) -> JobAnswer:
    """Return the answer for a job whose state cannot be determined yet."""
    return JobAnswer(
        0,
        key,
        JobState.UNKNOWN,
        reason=Reason.RECOVERING,
        retry_after_ms=RETRY_AFTER_MS,
    )


@ENTRY.system(order=350)
def _settle_held_requests(state: EntryState) -> None:
    due_ms = state.settlement_due_ms
    if not state.held_requests or due_ms is None or state.now_ms < due_ms:
        return
    state.settlement_due_ms = state.now_ms + SETTLEMENT_INTERVAL_MS
    state.timers.set("settlement", state.settlement_due_ms)
    for key_hash in list(state.held_requests):
        _expire_requests(state, key_hash)
        if key_hash in state.held_requests:
            _settle_requests(state, key_hash)


def _expire_requests(state: EntryState, key_hash: bytes) -> None:
    held = state.held_requests[key_hash]
    for row in [row for row in held if row.deadline_ms <= state.now_ms]:
        held.remove(row)
        waiter = Waiter(row.arrival, row.message.request_id)
        answer_waiter(state, waiter, unknown_answer(row.message.key))
    if not held:
        del state.held_requests[key_hash]


def _settle_requests(state: EntryState, key_hash: bytes) -> None:
    """Handle the requests of a key once it is settled, or relay them."""
    if key_hash not in state.jobs:
        status = settle_key(state, key_hash)
        if status is KeyStatus.PENDING:
            return
        if status is KeyStatus.AT_EARLIER_OWNER:
            _relay_requests(state, key_hash)
            return
    for row in state.held_requests.pop(key_hash):
        if isinstance(row.message, ForwardJob):
            budget_ms = max(0, row.deadline_ms - state.now_ms)
            message = attrs.evolve(row.message, budget_ms=budget_ms)
            accept_job(state, row.arrival, message)
        elif isinstance(row.message, JobAsked):
            query_job(state, row.arrival, row.message)
        elif isinstance(row.message, CancelJob):
            cancel_job(state, row.arrival, row.message)


def _relay_requests(state: EntryState, key_hash: bytes) -> None:
    """Send held requests to the live earlier owner that has the job."""
    job_holder = find_job_holder(state, key_hash)
    for row in state.held_requests[key_hash]:
        if job_holder is None or row.job_holder == job_holder:
            continue
        row.job_holder = job_holder
        _relay_request(state, row)


def _relay_request(state: EntryState, row: HeldRequest) -> None:
    if not row.relay_id:
        state.relay_count += 1
        # Negative, so that it differs from the request ids of this entry's callers.
        row.relay_id = -state.relay_count
    changes = {"request_id": row.relay_id}
    if isinstance(row.message, ForwardJob):
        changes["budget_ms"] = max(0, row.deadline_ms - state.now_ms)
    assert row.job_holder is not None
    message = attrs.evolve(row.message, **changes)
    state.send(entry_process(row.job_holder.name), message)


def resend_relayed_requests(state: EntryState, name: str) -> None:
    """Send the relayed requests again to an entry that has reconnected."""
    for rows in state.held_requests.values():
        for row in rows:
            if row.job_holder is not None and row.job_holder.name == name:
                _relay_request(state, row)


def relay_answer(state: EntryState, answer: JobAnswer) -> None:
    """Forward an earlier owner's answer to the arrival entry of the request."""
    for key_hash, rows in list(state.held_requests.items()):
        for row in rows:
            if row.relay_id == answer.request_id:
                rows.remove(row)
                waiter = Waiter(row.arrival, row.message.request_id)
                answer_waiter(state, waiter, answer)
                if not rows:
                    del state.held_requests[key_hash]
                return
