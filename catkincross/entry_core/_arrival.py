"""Arrival role: forwards callers' requests to the owner and returns its answers."""

from __future__ import annotations

import attrs

from ..foundation._ids import entry_process, hash_key
from ..foundation._rendezvous import choose_by_hash
from ..protocol._effects import (
    CallerGone,
    JobCancelRequested,
    JobLookedUp,
    JobSubmitted,
)
from ..protocol._messages import (
    CancelJob,
    ForwardJob,
    JobAnswer,
    JobAsked,
    JobState,
    Reason,
    Truth,
)
from ._entry_registry import ENTRY
from ._entry_rows import RequestRow
from ._entry_state import EntryState
from ._held_requests import relay_answer, unknown_answer
from ._key_settlement import owner_of
from ._owner import accept_job, cancel_job, query_job

RETRY_AFTER_MS = 1_000

# The owner answers at the deadline at the latest; this allows for the network time
# of its answer.
OWNER_GRACE_MS = 1_000


@ENTRY.handler(JobSubmitted)
def _job_submitted(state: EntryState, sender: str, event: JobSubmitted) -> None:
    if not state.may_dispatch():
        _reject(state, event)
        return
    key, internal = event.key, not event.key
    if internal:
        state.generated_key_count += 1
        key = f"{state.incarnation}/{state.generated_key_count}"
    row = RequestRow(
        request_id=event.request_id,
        key=key,
        key_hash=hash_key(key),
        deadline_ms=state.now_ms + event.deadline_ms,
        submission=attrs.evolve(event, key=key),
        internal=internal,
    )
    state.requests.add(event.request_id, row)
    state.request_due.set(event.request_id, row.deadline_ms + OWNER_GRACE_MS)
    forward_request(state, row)


def _reject(state: EntryState, event: JobSubmitted) -> None:
    # An earlier submission of the same key may have run at another owner.
    truth = Truth.MAY_HAVE_RUN if event.key else Truth.NOT_RUN
    job_state = JobState.UNKNOWN if event.key else JobState.FAILED
    answer = JobAnswer(
        request_id=event.request_id,
        key=event.key,
        state=job_state,
        truth=truth if job_state is JobState.FAILED else Truth.NONE,
        reason=Reason.NOT_READY if state.incarnation is None else Reason.NOT_CURRENT,
        tasks=len(event.tasks),
        retry_after_ms=RETRY_AFTER_MS,
    )
    state.reply(event.request_id, answer)


def forward_request(state: EntryState, row: RequestRow) -> None:
    """Send a request to the owner of its key, which may be this entry.

    If the roster has no owner, the request waits for the next roster.
    """
    row.owner = state.name
    if not row.internal:
        row.owner = owner_of(state, row.key_hash) or ""
    entry = state.control.entries.get(row.owner)
    row.owner_number = 0 if entry is None else entry.number
    message = row.query or _job_message(state, row)
    if row.owner and row.owner != state.name:
        state.send(entry_process(row.owner), message)
    elif isinstance(message, ForwardJob) and row.owner:
        accept_job(state, state.name, message)
    elif isinstance(message, JobAsked) and row.owner:
        query_job(state, state.name, message)
    elif isinstance(message, CancelJob) and row.owner:
        cancel_job(state, state.name, message)


def _job_message(state: EntryState, row: RequestRow) -> ForwardJob:
    submission = row.submission
    assert isinstance(submission, JobSubmitted)
    return ForwardJob(
        request_id=row.request_id,
        key=row.key,
        digest=submission.digest,
        team=submission.team,
        service=submission.service,
        tasks=submission.tasks,
        budget_ms=max(0, row.deadline_ms - state.now_ms),
        roster_version=state.control.roster_version,
        idempotent=submission.idempotent,
        interactive=submission.interactive,
    )


@ENTRY.system(order=560)
def _forward_to_new_owners(state: EntryState) -> None:
    """Forward requests again if the new roster gives their key another owner.

    The same name with a new incarnation counts as another owner. The new owner
    queries the earlier ones; a live one that has the job keeps it.
    """
    if state.forwarded_roster_version == state.control.roster_version:
        return
    state.forwarded_roster_version = state.control.roster_version
    owners = state.control.owner_names()
    for row in list(state.requests):
        if row.internal:
            continue
        owner = choose_by_hash(row.key_hash, owners) or ""
        entry = state.control.entries.get(owner)
        number = 0 if entry is None else entry.number
        if (owner, number) != (row.owner, row.owner_number):
            forward_request(state, row)


def resend_requests(state: EntryState, name: str) -> None:
    """Send an entry its requests again; the broken stream may have lost some."""
    for row in list(state.requests):
        if row.owner == name and name != state.name:
            forward_request(state, row)


@ENTRY.system(order=570)
def _expire_requests(state: EntryState) -> None:
    for request_id in state.request_due.pop_due(state.now_ms):
        row = state.requests.remove(request_id)
        if row is not None:
            state.reply(request_id, unknown_answer(row.key))
    state.requests.changed.clear()


@ENTRY.handler(JobLookedUp)
def _job_looked_up(state: EntryState, sender: str, event: JobLookedUp) -> None:
    query = JobAsked(event.request_id, event.key, event.wait)
    _forward_query(state, query, wait=event.wait)


@ENTRY.handler(JobCancelRequested)
def _job_cancel_requested(
    state: EntryState, sender: str, event: JobCancelRequested
) -> None:
    _forward_query(state, CancelJob(event.request_id, event.key), wait=True)


def _forward_query(
    state: EntryState, query: JobAsked | CancelJob, *, wait: bool
) -> None:
    row = RequestRow(
        request_id=query.request_id,
        key=query.key,
        key_hash=hash_key(query.key),
        deadline_ms=0,
        wait=wait,
        query=query,
    )
    state.requests.add(row.request_id, row)
    forward_request(state, row)


@ENTRY.handler(JobAnswer)
def _handle_answer(state: EntryState, sender: str, answer: JobAnswer) -> None:
    # Requests that this entry relayed as an owner have negative numbers.
    if answer.request_id < 0:
        relay_answer(state, answer)
        return
    row = state.requests.get(answer.request_id)
    if row is None or row.key != answer.key:
        return
    state.requests.remove(answer.request_id)
    state.request_due.cancel(answer.request_id)
    state.reply(answer.request_id, answer)


@ENTRY.handler(CallerGone)
def _caller_gone(state: EntryState, sender: str, event: CallerGone) -> None:
    state.requests.remove(event.request_id)
    state.request_due.cancel(event.request_id)


@ENTRY.system(order=550)
def _deliver_local_answers(state: EntryState) -> None:
    answers, state.local_answers = state.local_answers, []
    for answer in answers:
        _handle_answer(state, "", answer)
