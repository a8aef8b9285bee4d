"""Arrival: callers' requests at the entry that they reached."""

from __future__ import annotations

import attrs

from ._effects import CallerGone, JobCancelRequested, JobLookedUp, JobSubmitted
from ._entry_registry import ENTRY
from ._entry_rows import RequestRow
from ._entry_state import EntryState
from ._ids import entry_process, hash_key
from ._messages import (
    CancelJob,
    ForwardJob,
    JobAnswer,
    JobAsked,
    JobState,
    Reason,
    Truth,
)
from ._owner import ask_job, cancel_job, own_job
from ._rendezvous import choose

RETRY_AFTER_MS = 1_000


def owner_of(state: EntryState, key_hash: bytes) -> str | None:
    """Return the name of the entry that owns a key on this entry's roster."""
    return choose(key_hash, state.control.owners())


@ENTRY.handles(JobSubmitted)
def _submitted(state: EntryState, sender: str, event: JobSubmitted) -> None:
    if not state.may_dispatch():
        _refuse(state, event)
        return
    key, internal = event.key, not event.key
    if internal:
        state.internal_requests += 1
        key = f"{state.me}/{state.internal_requests}"
    row = RequestRow(
        request_id=event.request_id,
        key=key,
        key_hash=hash_key(key),
        deadline_ms=state.now_ms + event.deadline_ms,
        submission=attrs.evolve(event, key=key),
        owner=state.name if internal else "",
    )
    state.requests.add(event.request_id, row)
    forward(state, row)


def _refuse(state: EntryState, event: JobSubmitted) -> None:
    # An earlier submission of the same key may have run elsewhere.
    truth = Truth.MAY_HAVE_RUN if event.key else Truth.NOT_RUN
    job_state = JobState.UNKNOWN if event.key else JobState.FAILED
    answer = JobAnswer(
        request_id=event.request_id,
        key=event.key,
        state=job_state,
        truth=truth if job_state is JobState.FAILED else Truth.NONE,
        reason=Reason.NOT_READY if state.me is None else Reason.NOT_CURRENT,
        tasks=len(event.tasks),
        retry_after_ms=RETRY_AFTER_MS,
    )
    state.reply(event.request_id, answer)


def forward(state: EntryState, row: RequestRow) -> None:
    """Send a submitted job to its owner, which may be this entry."""
    event = row.submission
    assert isinstance(event, JobSubmitted)
    row.owner = row.owner or owner_of(state, row.key_hash) or ""
    message = ForwardJob(
        request_id=row.request_id,
        key=row.key,
        digest=event.digest,
        team=event.team,
        service=event.service,
        tasks=event.tasks,
        budget_ms=max(0, row.deadline_ms - state.now_ms),
        roster_version=state.control.roster_version,
        idempotent=event.idempotent,
        interactive=event.interactive,
    )
    if row.owner == state.name:
        own_job(state, state.name, message)
    elif row.owner:
        state.send(entry_process(row.owner), message)


@ENTRY.handles(JobLookedUp)
def _looked_up(state: EntryState, sender: str, event: JobLookedUp) -> None:
    key_hash = hash_key(event.key)
    owner = owner_of(state, key_hash) or state.name
    row = RequestRow(event.request_id, event.key, key_hash, 0, None, owner, event.wait)
    state.requests.add(event.request_id, row)
    message = JobAsked(event.request_id, event.key, event.wait)
    if owner == state.name:
        ask_job(state, state.name, message)
    else:
        state.send(entry_process(owner), message)


@ENTRY.handles(JobCancelRequested)
def _cancel_requested(
    state: EntryState, sender: str, event: JobCancelRequested
) -> None:
    key_hash = hash_key(event.key)
    owner = owner_of(state, key_hash) or state.name
    row = RequestRow(event.request_id, event.key, key_hash, 0, None, owner)
    state.requests.add(event.request_id, row)
    message = CancelJob(event.request_id, event.key)
    if owner == state.name:
        cancel_job(state, state.name, message)
    else:
        state.send(entry_process(owner), message)


@ENTRY.handles(JobAnswer)
def _answered(state: EntryState, sender: str, answer: JobAnswer) -> None:
    row = state.requests.get(answer.request_id)
    if row is None or row.key != answer.key:
        return
    state.requests.remove(answer.request_id)
    state.reply(answer.request_id, answer)


@ENTRY.handles(CallerGone)
def _caller_gone(state: EntryState, sender: str, event: CallerGone) -> None:
    state.requests.remove(event.request_id)


@ENTRY.system(order=550)
def _deliver_local_answers(state: EntryState) -> None:
    answers, state.local_answers = state.local_answers, []
    for answer in answers:
        _answered(state, "", answer)
