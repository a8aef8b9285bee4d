"""Admission: jobs that an owner refuses at once, before anything runs."""

from __future__ import annotations

from ..policies._quotas import team_share
from ..protocol._messages import ForwardJob, Reason
from ._entry_rows import JobRow
from ._entry_state import EntryState


def refusal(state: EntryState, message: ForwardJob) -> Reason:
    """Return why a new job cannot be taken, or `Reason.NONE`."""
    dispatch, limits = state.dispatch, state.settings.admission
    share, use = (
        team_share(state.control, message.team),
        dispatch.teams.use(message.team),
    )
    if share.waiting and use.waiting + len(message.tasks) > share.waiting:
        return Reason.QUOTA
    if share.waiting_bytes and use.waiting_bytes + _size(message) > share.waiting_bytes:
        return Reason.QUOTA
    if dispatch.open_tasks + len(message.tasks) > limits.max_open_tasks:
        return Reason.OVERLOADED
    if dispatch.open_bytes + _size(message) > limits.max_open_bytes:
        return Reason.OVERLOADED
    return _deadline_refusal(state, message)


def _size(message: ForwardJob) -> int:
    return sum(len(spec.payload) for spec in message.tasks)


def _deadline_refusal(state: EntryState, message: ForwardJob) -> Reason:
    """Return whether even a favourable course ends after the deadline."""
    dispatch = state.dispatch
    index = dispatch.homes.get(message.service)
    slots = sum(row.slots for row in index.rows.values()) if index else 0
    if not slots:
        return Reason.NONE
    # Undeclared run times of a service that has not run yet are no reason to refuse.
    expected = [
        dispatch.run_times.expect_ms(message.service, spec)
        for spec in message.tasks
        if spec.run_ms or dispatch.run_times.is_known(message.service, spec)
    ]
    if not expected:
        return Reason.NONE
    # The error of an estimate may be in the job's favour.
    favour = state.settings.admission.deadline_favour
    alone_ms = max(max(expected), sum(expected) / slots) / favour
    if alone_ms > message.budget_ms:
        return Reason.DEADLINE_TOO_SHORT
    backlog = dispatch.backlog.get(message.service)
    ahead_ms = 0.0
    if backlog is not None:
        ahead_ms = backlog.cost(interactive=True)
        if not message.interactive:
            ahead_ms += backlog.cost(interactive=False)
    if ahead_ms / slots / favour + alone_ms > message.budget_ms:
        return Reason.OVERLOADED
    return Reason.NONE


def job_opened(state: EntryState, job: JobRow) -> None:
    """Count an admitted job."""
    dispatch = state.dispatch
    dispatch.open_tasks += len(job.tasks)
    dispatch.open_bytes += sum(len(row.spec.payload) for row in job.tasks)


def job_closed(state: EntryState, job: JobRow) -> None:
    """Count a job that has been answered."""
    dispatch = state.dispatch
    dispatch.open_tasks -= len(job.tasks)
    dispatch.open_bytes -= sum(len(row.spec.payload) for row in job.tasks)
