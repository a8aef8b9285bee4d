"""Input from the worker: renewal replies, silence and outcomes of start orders."""

from __future__ import annotations

from ..jobs import VOLATILE_SHARD
from ..peers import EndedRun, Ends, NotStarted
from ._crashes import crash_end, record_crash, resolve_lost_runs
from ._effects import StartRun
from ._orders import acknowledge_end, report_all_shards
from ._registration import reset_ends
from ._run import Run
from ._state import WorkerState
from ._worker_messages import LeaseRenewalReply, StartOutcome

# A worker that has given no answer for this long is silent, in milliseconds. It answers
# lease renewals every 250 ms while it is there.
WORKER_SILENCE_MS = 400
# A worker that has given no answer for this long is lost, in milliseconds. One that has
# crashed is back within some seconds, and its next life shows which runs it had.
WORKER_LOSS_MS = 5_000


def watch_silence(state: WorkerState) -> None:
    """Watch whether the worker answers, and end its runs as `lost` if it is lost.

    The lease is not renewed while the worker is silent. After its end nothing runs on
    the worker, whether it is gone or only cut off.
    """
    silent = state.silent_ms > WORKER_SILENCE_MS
    if silent and not state.worker_silent:
        state.worker_silent = True
        state.mark_states_outdated()
        state.note("worker silent", worker=state.worker, runs=len(state.runs))
    if not state.worker_silent or state.worker_lost:
        return
    departed = state.unexpected_departure_ms is not None
    loss_ms = WORKER_SILENCE_MS if departed else WORKER_LOSS_MS
    if state.silent_ms <= loss_ms or state.now_ms < state.lease_end_ms:
        return
    state.note("worker lost", worker=state.worker, runs=len(state.runs))
    state.worker_lost = True
    state.lost_incarnation = state.worker_incarnation
    state.lost_runs = list(state.runs.values())
    for run in state.lost_runs:
        _finish_run(state, run, _lost_end(state, run, "lost"))
    report_all_shards(state)


def _end_silence(state: WorkerState) -> None:
    """Record that the worker has answered."""
    if state.worker_silent:
        state.note("worker answers after silence", lost=state.worker_lost)
        state.mark_states_outdated()
    state.worker_silent = state.worker_lost = False


def apply_renewal_reply(
    state: WorkerState, sent_ms: int, fence: int, reply: LeaseRenewalReply
) -> None:
    """Apply the lists of running and finished runs from the answer to a lease renewal.

    Args:
        state: State of the agent.
        sent_ms: When the renewal was sent.
        fence: Fencing token of the renewal.
        reply: The answer.
    """
    _end_silence(state)
    resolve_lost_runs(state, reply.worker_incarnation)
    first_reply = state.worker_incarnation == 0
    was_synced = state.worker_synced
    if reply.worker_incarnation != state.worker_incarnation:
        if not first_reply:
            state.note("worker has begun another life", born=reply.worker_incarnation)
            record_crash(state)
        # The runs are kept: those ordered since the restart are in the new lists, and
        # the others are absent there and end below.
        reset_ends(state, reply.worker_incarnation)
        was_synced = False
    # The worker read its clock before the answer arrived, so the offset may be too low
    # but not too high, and a lease never ends later than intended.
    state.clock_offset_ms = reply.clock_ms - state.now_ms
    for ended in reply.finished:
        _record_end(state, ended)
    _record_running(state, reply)
    _count_listed_ends(state, reply)
    if reply.ends_complete:
        state.lists_complete = True
        _resolve_unlisted_runs(state, sent_ms, fence, reply)
    state.lists_read_ms = state.now_ms
    if (
        first_reply
        and state.unexpected_departure_ms is not None
        and state.departed is not None
        and state.departed[1] == reply.worker_incarnation
    ):
        # The departure was that of an earlier process.
        state.departed = None
    if state.worker_synced and not was_synced:
        report_all_shards(state)
        state.mark_states_outdated()


def _count_listed_ends(state: WorkerState, reply: LeaseRenewalReply) -> None:
    """Record how many ends the worker lists, and log whether the list is complete."""
    was_full = state.list_of_ends_full
    state.listed_ends = len(reply.finished)
    if state.list_of_ends_full != was_full:
        state.mark_states_outdated()
    if reply.ends_complete != state.ends_complete:
        state.ends_complete = reply.ends_complete
        state.note(
            "list of ends", complete=reply.ends_complete, listed_from=state.ack + 1
        )


def _record_end(state: WorkerState, ended: EndedRun) -> None:
    sequence = ended.sequence
    if sequence <= state.highest_end:
        return
    state.highest_end = sequence
    run = state.runs.get((ended.task, ended.run))
    if run is not None:
        started_ms = run.confirmed_ms
        run_ms = state.now_ms - started_ms if started_ms is not None else 0
        ended = EndedRun(
            sequence, ended.task, ended.run, ended.how, ended.checkpoint, run_ms
        )
    state.ends[sequence] = ended
    if run is not None:
        if run.shard == VOLATILE_SHARD:
            acknowledge_end(state, sequence)
        _finish_run(state, run, ended)
    else:
        state.send(
            state.owner_of_shard(state.shard_of_task(ended.task)),
            Ends([ended], state.worker_incarnation),
        )


def _finish_run(state: WorkerState, run: Run, ended: EndedRun) -> None:
    state.runs.pop((run.task, run.number), None)
    state.mark_states_outdated()
    entry_info = state.entries.get(state.owner_of_run(run))
    if entry_info is not None:
        entry_info.run_ended = True
    ends = Ends([ended], state.worker_incarnation, run.entry_incarnation)
    state.send(state.owner_of_run(run), ends)
    if run.orphaned:
        _announce_orphan_end(state, run, ended)
    state.note(
        "run ended",
        task=run.task,
        run=run.number,
        how=ended.how,
        number=ended.sequence,
        run_ms=ended.run_ms,
        entry=state.owner_of_run(run),
        worker=state.worker,
        started=run.confirmed_ms is not None,
    )


def _announce_orphan_end(state: WorkerState, run: Run, ended: EndedRun) -> None:
    """Tell the end of an orphaned run to the entries that were told of the run.

    One of them may have taken it for a run of one of its volatile jobs, while its claim
    had not arrived yet. The others must not acknowledge the end, so it has no number.
    """
    how = "lost" if ended.how == "crashed" else ended.how
    unnumbered = EndedRun(0, ended.task, ended.run, how, ended.checkpoint, ended.run_ms)
    for entry, incarnation in sorted(run.reported_to):
        ends = Ends([unnumbered], state.worker_incarnation, incarnation)
        state.send(entry, ends)


def _record_running(state: WorkerState, reply: LeaseRenewalReply) -> None:
    for listed_run in reply.running:
        run = state.runs.get((listed_run.task, listed_run.run))
        if run is None:
            run = Run(
                listed_run.task, listed_run.run, state.shard_of_task(listed_run.task)
            )
            run.fence = state.fence
            state.runs[listed_run.task, listed_run.run] = run
            run.expires_ms = (state.started_ms or 0) + state.limits.orphan_run_ms
            state.mark_states_outdated()
            state.note(
                "run found on the worker", task=listed_run.task, run=listed_run.run
            )
        if run.confirmed_ms is None:
            run.confirmed_ms = state.now_ms
        run.start_unanswered = run.may_have_lapsed = False
        run.crashed_with = 0
        run.percent = listed_run.percent
        run.checkpoint = listed_run.checkpoint or run.checkpoint


def _resolve_unlisted_runs(
    state: WorkerState, sent_ms: int, fence: int, reply: LeaseRenewalReply
) -> None:
    """Resolve runs that are neither running nor finished on the worker.

    The answer has to list all ends: a run that is missing in a list that was cut off
    may have ended in any way.

    An unanswered start order can no longer be carried out once the worker has answered
    a call with a higher fencing token, so its run is not started. A run that was
    confirmed before the renewal was sent is lost. Either run may have been in progress
    when the worker crashed.

    A worker that drains may run on beside the next one, so its runs are kept until its
    lease has ended.
    """
    if state.now_ms < state.drained_lease_end_ms:
        return
    listed = {(listed_run.task, listed_run.run) for listed_run in reply.running}
    for key, run in list(state.runs.items()):
        if key in listed:
            continue
        not_startable = run.start_unanswered and fence > run.fence
        if not_startable and not run.crashed_with:
            discard_unstarted_run(state, run, "unanswered")
        elif not_startable or (
            run.confirmed_ms is not None and run.confirmed_ms < sent_ms
        ):
            _finish_run(state, run, _lost_end(state, run, "absent"))


def _lost_end(state: WorkerState, run: Run, how: str) -> EndedRun:
    """Return the end of a run that the worker has lost: `crashed`, or else `how`."""
    if run.crashed_with:
        return crash_end(state, run)
    return EndedRun(0, run.task, run.number, how)


def discard_unstarted_run(state: WorkerState, run: Run, reason: str) -> None:
    """Discard a run that the worker has not started and can no longer start."""
    state.runs.pop((run.task, run.number), None)
    state.mark_states_outdated()
    state.note(
        "run not started",
        task=run.task,
        run=run.number,
        reason=reason,
        entry=state.owner_of_run(run),
    )
    notice = NotStarted(run.task, run.number, reason, run.entry_incarnation)
    state.send(state.owner_of_run(run), notice)


def run_of_order(state: WorkerState, order: StartRun) -> Run | None:
    """Return the run for which a start order was made; None if it has ended.

    Another run of the same task may have the same number: entries number the runs of a
    volatile job independently of each other.
    """
    run = state.runs.get((order.task, order.run))
    return run if run is not None and run.order == order.order else None


def apply_start_outcome(
    state: WorkerState, order: StartRun, outcome: StartOutcome
) -> None:
    """Apply the outcome of a start order to the run for which it was made.

    After an unanswered order the fencing token rises, so that the next call makes the
    worker reject the order if it arrives late, also if the run has ended meanwhile.
    """
    run = run_of_order(state, order)
    if outcome is StartOutcome.UNANSWERED and order.fence == state.fence:
        state.fence += 1
    if run is None:
        return
    match outcome:
        case StartOutcome.STARTED:
            if run.confirmed_ms is None:
                run.confirmed_ms = state.now_ms
        case StartOutcome.UNANSWERED:
            run.start_unanswered = True
            state.note(
                "start unanswered",
                task=run.task,
                run=run.number,
                next_fence=state.fence,
            )
        case _ if run.confirmed_ms is None:
            discard_unstarted_run(state, run, outcome.value)
