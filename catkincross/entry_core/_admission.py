"""Admission control: rejects a job at its owner before any task is placed."""

from __future__ import annotations

from ..policies._quotas import team_quota
from ..protocol._messages import ForwardJob, Reason
from ._entry_rows import JobRow
from ._entry_state import EntryState


def check_admission(state: EntryState, message: ForwardJob) -> Reason:
    """Return why a new job is rejected, or `Reason.NONE` if it is admitted.

    Checks the team's quotas, the owner's limits on open jobs, and the deadline.
    """
    dispatch, limits = state.dispatch, state.settings.admission
    quota, usage = (
        team_quota(state.control, message.team),
        dispatch.teams.owner_usage(message.team),
    )
    if quota.waiting and usage.waiting + len(message.tasks) > quota.waiting:
        return Reason.QUOTA
    if (
        quota.waiting_bytes
        and usage.waiting_bytes + _payload_bytes(message) > quota.waiting_bytes
    ):
        return Reason.QUOTA
    if dispatch.unanswered_tasks + len(message.tasks) > limits.max_open_tasks:
        return Reason.OVERLOADED
    if dispatch.unanswered_bytes + _payload_bytes(message) > limits.max_open_bytes:
        return Reason.OVERLOADED
    return _check_deadline(state, message)


def _payload_bytes(message: ForwardJob) -> int:
    return sum(len(spec.payload) for spec in message.tasks)


def _check_deadline(state: EntryState, message: ForwardJob) -> Reason:
    """Return why a job would miss its deadline even by an optimistic estimate.

    `DEADLINE_TOO_SHORT` if its own tasks take too long, `OVERLOADED` if they do
    behind the queued work, `NONE` if the deadline can be met or nothing is known.
    """
    dispatch = state.dispatch
    index = dispatch.homes.get(message.service)
    slots = sum(row.slots for row in index.rows.values()) if index else 0
    if not slots:
        return Reason.NONE
    # A service that has not run yet has no measured run times. A task of it counts
    # only if the caller declared its run time.
    expected_ms = [
        dispatch.run_times.expect_ms(message.service, spec)
        for spec in message.tasks
        if spec.run_ms or dispatch.run_times.is_known(message.service, spec)
    ]
    if not expected_ms:
        return Reason.NONE
    # Estimates may be too high. Dividing by the factor avoids rejecting jobs that
    # would have met their deadline.
    favour = state.settings.admission.deadline_favour
    min_duration_ms = max(max(expected_ms), sum(expected_ms) / slots) / favour
    if min_duration_ms > message.budget_ms:
        return Reason.DEADLINE_TOO_SHORT
    backlog = dispatch.backlog.get(message.service)
    queued_work_ms = 0.0
    if backlog is not None:
        queued_work_ms = backlog.cost(interactive=True)
        if not message.interactive:
            queued_work_ms += backlog.cost(interactive=False)
    if queued_work_ms / slots / favour + min_duration_ms > message.budget_ms:
        return Reason.OVERLOADED
    return Reason.NONE


def count_open_job(state: EntryState, job: JobRow) -> None:
    """Add an admitted job to the owner's counts of unanswered tasks and bytes."""
    dispatch = state.dispatch
    dispatch.unanswered_tasks += len(job.tasks)
    dispatch.unanswered_bytes += sum(len(row.spec.payload) for row in job.tasks)


def count_closed_job(state: EntryState, job: JobRow) -> None:
    """Remove an answered job from the owner's counts of unanswered tasks and bytes."""
    dispatch = state.dispatch
    dispatch.unanswered_tasks -= len(job.tasks)
    dispatch.unanswered_bytes -= sum(len(row.spec.payload) for row in job.tasks)
