"""Input from the worker: heartbeats, hold answers and outcomes of start orders."""

from __future__ import annotations

from ..jobs import VOLATILE_SHARD
from ..peers import EndedRun, Ends, NotStarted
from ._orders import acknowledge_end, report_shard
from ._state import (
    HoldView,
    Registration,
    Run,
    StartOutcome,
    WorkerState,
)


def record_heartbeat(state: WorkerState, new: Registration) -> bool:
    """Record a heartbeat of the worker.

    Returns:
        False for a heartbeat of an earlier worker process, and for one that arrived
        after a later heartbeat; such a heartbeat is ignored.
    """
    old = state.registration
    if old is not None and old.worker == new.worker and old.born == new.born:
        if new.sequence < old.sequence:
            return False
    elif old is not None and new.born and new.born < old.born:
        state.note("heartbeat of an earlier worker", worker=new.worker)
        return False
    if old is None or (old.worker, old.born) != (new.worker, new.born):
        state.note("worker registered", worker=new.worker, born=new.born)
        if old is not None and old.worker != new.worker:
            discard_worker_state(state, 0)
    if old is None or old.draining != new.draining:
        state.note("worker state", worker=new.worker, draining=new.draining)
    state.registration = new
    state.mark_states_outdated()
    return True


def record_departure(state: WorkerState, worker: str) -> None:
    """Remove a worker that announced its departure, and all its runs."""
    if state.registration is not None and state.registration.worker == worker:
        state.note("worker left", worker=worker)
        state.registration = None
        discard_worker_state(state, 0)


def discard_worker_state(state: WorkerState, born: int) -> None:
    """End the runs of an earlier worker as `lost`, and reset the ends."""
    for run in list(state.runs.values()):
        _finish_run(state, run, EndedRun(0, run.task, run.number, "lost"))
    reset_ends(state, born)


def reset_ends(state: WorkerState, born: int) -> None:
    """Restart the numbering of ends for another incarnation of the worker.

    Args:
        state: State of the agent.
        born: Start of the worker process; 0 until its lists of runs have been read.
    """
    state.ends.clear()
    state.ack = state.highest_end = 0
    state.born = born
    state.renewal_blocked_until_ms = 0
    state.mark_states_outdated()


def apply_hold_reply(
    state: WorkerState, sent_ms: int, fence: int, view: HoldView
) -> None:
    """Apply the lists of running and finished runs from the answer to a hold call.

    Args:
        state: State of the agent.
        sent_ms: When the call was sent.
        fence: Fencing token of the call.
        view: The answer.
    """
    first_reply = state.born == 0
    if view.born != state.born:
        if not first_reply:
            state.note("worker has begun another life", born=view.born)
        # The runs are kept: those ordered since the restart are in the new lists, and
        # the others are absent there and end below.
        reset_ends(state, view.born)
    # The worker read its clock before the answer arrived, so the offset is at most too
    # low, and a lease never ends later than intended.
    state.clock_offset_ms = view.clock_ms - state.now_ms
    for ended in view.finished:
        _record_end(state, ended)
    _record_running(state, view)
    _resolve_unlisted_runs(state, sent_ms, fence, view)
    if first_reply:
        for row in state.entries.values():
            for shard, shard_lease in state.shard_leases.items():
                if shard_lease.entry == row.name:
                    report_shard(state, row, shard, shard_lease.epoch)
            if row.incarnation:
                report_shard(state, row, VOLATILE_SHARD, row.incarnation)
        state.mark_states_outdated()


def _record_end(state: WorkerState, ended: EndedRun) -> None:
    number = ended.number
    if number <= state.highest_end:
        return
    state.highest_end = number
    run = state.runs.get((ended.task, ended.run))
    if run is not None:
        started_ms = run.confirmed_ms
        run_ms = state.now_ms - started_ms if started_ms is not None else 0
        ended = EndedRun(
            number, ended.task, ended.run, ended.how, ended.checkpoint, run_ms
        )
    state.ends[number] = ended
    if run is not None:
        if run.shard == VOLATILE_SHARD:
            acknowledge_end(state, number)
        _finish_run(state, run, ended)
    else:
        state.send(
            state.owner_of_shard(state.shard_of_task(ended.task)),
            Ends([ended], state.born),
        )


def _finish_run(state: WorkerState, run: Run, ended: EndedRun) -> None:
    state.runs.pop((run.task, run.number), None)
    state.mark_states_outdated()
    row = state.entries.get(state.owner_of_run(run))
    if row is not None:
        row.run_ended = True
    state.send(state.owner_of_run(run), Ends([ended], state.born))
    state.note(
        "run ended",
        task=run.task,
        run=run.number,
        how=ended.how,
        number=ended.number,
        run_ms=ended.run_ms,
    )


def _record_running(state: WorkerState, view: HoldView) -> None:
    for row in view.running:
        run = state.runs.get((row.task, row.run))
        if run is None:
            run = Run(row.task, row.run, state.shard_of_task(row.task))
            run.fence = state.fence
            state.runs[row.task, row.run] = run
            run.expires_ms = state.now_ms + state.limits.orphan_run_ms
            state.mark_states_outdated()
            state.note("run found on the worker", task=row.task, run=row.run)
        if run.confirmed_ms is None:
            run.confirmed_ms = state.now_ms
        run.start_unanswered = False
        run.percent = row.percent
        run.checkpoint = row.checkpoint or run.checkpoint


def _resolve_unlisted_runs(
    state: WorkerState, sent_ms: int, fence: int, view: HoldView
) -> None:
    """Resolve runs that are neither running nor finished on the worker.

    An unanswered start order can no longer be carried out once the worker has answered
    a call with a higher fencing token, so its run is not started. A run that was
    confirmed before the call was sent is lost.
    """
    listed = {(row.task, row.run) for row in view.running}
    for key, run in list(state.runs.items()):
        if key in listed:
            continue
        if run.start_unanswered and fence > run.fence:
            discard_unstarted_run(state, run, "unanswered")
        elif run.confirmed_ms is not None and run.confirmed_ms < sent_ms:
            _finish_run(state, run, EndedRun(0, run.task, run.number, "absent"))


def discard_unstarted_run(state: WorkerState, run: Run, reason: str) -> None:
    """Discard a run that the worker has not started and can no longer start."""
    state.runs.pop((run.task, run.number), None)
    state.mark_states_outdated()
    state.note("run not started", task=run.task, run=run.number, reason=reason)
    state.send(state.owner_of_run(run), NotStarted(run.task, run.number, reason))


def apply_start_outcome(
    state: WorkerState, task: str, number: int, outcome: StartOutcome
) -> None:
    """Apply the outcome of a start order.

    After an unanswered order the fencing token rises, so that the next call makes the
    worker reject the order if it arrives late.
    """
    run = state.runs.get((task, number))
    if run is None:
        return
    match outcome:
        case StartOutcome.STARTED:
            if run.confirmed_ms is None:
                run.confirmed_ms = state.now_ms
        case StartOutcome.UNANSWERED:
            run.start_unanswered = True
            if run.fence == state.fence:
                state.fence += 1
            state.note(
                "start unanswered", task=task, run=number, next_fence=state.fence
            )
        case _ if run.confirmed_ms is None:
            discard_unstarted_run(state, run, outcome.value)
