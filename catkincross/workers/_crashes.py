"""Reports of runs that were lost because the worker process crashed.

A report is kept until the owner of the task has recorded it, so that a task that
crashes its workers is counted although links and owners change. Losses with another
cause are not reported as crashes: a planned departure, an expired lease, a start order
that was not carried out, and whatever happened before this agent process started.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..jobs import VOLATILE_SHARD
from ..peers import EndedRun, Ends
from ._entry_info import EntryInfo
from ._run import CrashReport, Run
from ._state import WorkerState

# Reports on volatile jobs are dropped after this time, in milliseconds. Their entry
# may be gone, and client accounts wait for at most about as long.
VOLATILE_REPORT_MS = 10_000
# Longest time that the answer to a renewal takes beyond the wait in the call.
ANSWER_MS = 100


def record_crash(state: WorkerState) -> None:
    """Mark the runs that the worker may have had in the life that has just ended.

    Nothing is marked if the worker had announced that it would leave.
    """
    _mark_lost_runs(state, state.worker_incarnation, state.runs.values())


def resolve_lost_runs(state: WorkerState, worker_incarnation: int) -> None:
    """Report runs as crashed that had ended as lost, if the worker has crashed.

    A worker that was lost may come back. Its next answer shows whether it had crashed,
    or was only cut off.

    Args:
        state: State of the agent.
        worker_incarnation: Start of the worker process that is there now, in
            milliseconds since 1970; 0 for another worker.
    """
    runs, state.lost_runs = state.lost_runs, []
    if not runs or worker_incarnation == state.lost_incarnation:
        return
    _mark_lost_runs(state, state.lost_incarnation, runs)
    for run in runs:
        if run.crashed_with:
            ends = Ends([crash_end(state, run)], 0, run.entry_incarnation)
            state.send(state.owner_of_run(run), ends)


def _mark_lost_runs(
    state: WorkerState, worker_incarnation: int, runs: Iterable[Run]
) -> None:
    if state.draining_incarnation and state.draining_incarnation == worker_incarnation:
        return
    lost = [run for run in runs if _may_have_run(state, run)]
    for run in lost:
        run.crashed_with = len(lost)
    state.note(
        "worker crashed",
        worker=state.worker,
        born=worker_incarnation,
        runs=[f"{run.task}#{run.number}" for run in lost],
        run_count=len(lost),
    )


def _may_have_run(state: WorkerState, run: Run) -> bool:
    """Whether a run may have been in progress when the worker crashed.

    An order that got no answer may have been carried out only while the worker still
    answered renewals.
    """
    if run.may_have_lapsed or agent_was_paused(state):
        return False
    if run.confirmed_ms is not None:
        return True
    next_answer_ms = state.lists_read_ms + state.limits.renewal_wait_ms + ANSWER_MS
    return run.ordered_ms <= next_answer_ms


def agent_was_paused(state: WorkerState) -> bool:
    """Whether the agent is resuming after a pause longer than the worker's lease."""
    if state.stepped_ms is None:
        return False
    return state.now_ms - state.stepped_ms >= state.limits.lease_ms


def crash_end(state: WorkerState, run: Run) -> EndedRun:
    """Return the end of a run under which the worker crashed, and keep its report.

    A run whose order got no answer may not have started, so the crash is uncertain.
    """
    state.last_crash_number += 1
    number = state.last_crash_number
    uncertain = run.confirmed_ms is None
    ended = EndedRun(
        0,
        run.task,
        run.number,
        "crashed",
        run.checkpoint,
        crash_number=number,
        alone=run.crashed_with == 1 and not uncertain,
        uncertain=uncertain,
    )
    state.crash_reports[number] = CrashReport(
        ended, run.shard, run.entry, run.incarnation, state.now_ms
    )
    return ended


def reported_crashes(
    state: WorkerState, entry_info: EntryInfo, shard: int
) -> list[EndedRun]:
    """Return the unacknowledged crashes of a shard that an entry has to be told of."""
    return [
        report.ended
        for report in state.crash_reports.values()
        if report.shard == shard
        and (shard != VOLATILE_SHARD or _is_from(report, entry_info))
    ]


def crashes_by_owner(state: WorkerState) -> dict[tuple[str, int], list[EndedRun]]:
    """Return the unacknowledged crashes by the entry that has to record them.

    Reports on volatile jobs that are too old are dropped.

    Returns:
        The crashes by the address of the entry and, for volatile jobs, the incarnation
        of its process; 0 for stored jobs.
    """
    by_owner: dict[tuple[str, int], list[EndedRun]] = {}
    for number, report in list(state.crash_reports.items()):
        incarnation = 0
        if report.shard != VOLATILE_SHARD:
            owner = state.owner_of_shard(report.shard)
        elif state.now_ms - report.made_ms > VOLATILE_REPORT_MS:
            del state.crash_reports[number]
            continue
        else:
            entry_info = state.entries.get(report.entry)
            known = entry_info is not None and _is_from(report, entry_info)
            owner = report.entry if known else ""
            incarnation = report.incarnation
        if owner:
            by_owner.setdefault((owner, incarnation), []).append(report.ended)
    return by_owner


def _is_from(report: CrashReport, entry_info: EntryInfo) -> bool:
    return (report.entry, report.incarnation) == (
        entry_info.name,
        entry_info.incarnation,
    )
