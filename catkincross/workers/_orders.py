"""Handlers of messages from entries: leases, start and stop orders, logged ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..jobs import VOLATILE_SHARD
from ..peers import (
    ANOTHER_RUN,
    EndedRun,
    Ends,
    Greeting,
    Lease,
    Logged,
    Members,
    NotStarted,
    Report,
    ReportTo,
    Sizes,
    Start,
    Stop,
)
from ._crashes import reported_crashes
from ._effects import StartRun, StopRun
from ._entry_info import EntryInfo, ShardLease
from ._exclusive_runs import exclusivity_refusal
from ._links import REPORT_LINK_MS, clear_suspicion, update_offered
from ._run import Run, running_task
from ._state import WorkerState
from ._stop_marks import mark_stop, was_stopped

ENTRY_HANDLERS: dict[type[Any], Callable[[WorkerState, EntryInfo, Any], None]] = {}


def entry_handler(message_class: type[Any]) -> Any:
    """Register the decorated function as the handler of a message class."""

    def register(function: Any) -> Any:
        ENTRY_HANDLERS[message_class] = function
        return function

    return register


@entry_handler(Greeting)
def handle_greeting(
    state: WorkerState, entry_info: EntryInfo, message: Greeting
) -> None:
    """Record the data centre of an entry, which is known while its link is open."""
    data_centre = message.data_centre
    if state.directory.add(entry_info.name, entry_info.name, data_centre):
        update_offered(state)


@entry_handler(Members)
def handle_members(state: WorkerState, entry_info: EntryInfo, message: Members) -> None:
    """Apply an entry's announcement of the entries that it knows."""
    if state.directory.apply(entry_info.name, message):
        update_offered(state)


@entry_handler(ReportTo)
def handle_report_to(
    state: WorkerState, entry_info: EntryInfo, message: ReportTo
) -> None:
    """Want a link to a shard's new owner, which asks for the runs of the shard."""
    state.sought_until_ms[message.address] = state.now_ms + REPORT_LINK_MS
    state.note("report requested", entry=message.address, by=entry_info.name)


@entry_handler(Lease)
def handle_lease(state: WorkerState, entry_info: EntryInfo, message: Lease) -> None:
    """Apply an entry's lease on its shards and its volatile jobs.

    The entry becomes the owner of each shard for which it has a higher epoch; a lower
    epoch is ignored.
    """
    entry_info.lease_received_ms = state.now_ms
    clear_suspicion(state, entry_info.name)
    entry_info.has_waiting_tasks = message.has_waiting_tasks
    renew_volatile_lease(state, entry_info, message)
    valid_until_ms = message.echo_ms + message.valid_ms
    for shard, epoch in message.shard_epochs:
        lease = state.shard_leases.get(shard)
        if lease is not None and epoch < lease.epoch:
            continue
        if lease is None or epoch > lease.epoch:
            state.shard_leases[shard] = ShardLease(
                epoch, entry_info.name, valid_until_ms
            )
            state.note(
                "owner of shard", shard=shard, epoch=epoch, entry=entry_info.name
            )
        else:
            lease.valid_until_ms = max(lease.valid_until_ms, valid_until_ms)
            if lease.expiry_handled and state.now_ms < lease.valid_until_ms:
                # Ends since the expiry may not have reached an owner, so the shard is
                # reported again.
                lease.expiry_handled = False
                entry_info.reported.discard((shard, epoch))
        if (shard, epoch) not in entry_info.reported:
            report_shard(state, entry_info, shard, epoch)


def renew_volatile_lease(
    state: WorkerState, entry_info: EntryInfo, message: Lease
) -> None:
    """Extend an entry's lease on its volatile jobs, and the expiry of their runs."""
    valid_until_ms = message.echo_ms + message.volatile_ms
    entry_info.incarnation = message.incarnation
    entry_info.volatile_until_ms = max(entry_info.volatile_until_ms, valid_until_ms)
    for run in state.runs.values():
        same_process = (
            run.entry == entry_info.name and run.incarnation == entry_info.incarnation
        )
        if same_process and run.expires_ms:
            run.expires_ms = max(run.expires_ms, valid_until_ms)
    if (VOLATILE_SHARD, entry_info.incarnation) not in entry_info.reported:
        report_shard(state, entry_info, VOLATILE_SHARD, entry_info.incarnation)


def report_shard(
    state: WorkerState, entry_info: EntryInfo, shard: int, epoch: int
) -> None:
    """Send a shard's owner the runs and unacknowledged ends that the agent has of it.

    Nothing is sent until the worker's lists of runs have been read, or the worker is
    lost.
    """
    if not state.worker_synced and not state.worker_lost:
        return
    entry_info.reported.add((shard, epoch))
    runs = [run for run in state.runs.values() if _in_report(run, shard, entry_info)]
    for run in runs:
        if run.orphaned and shard == VOLATILE_SHARD:
            run.reported_to.add((entry_info.name, entry_info.incarnation))
    running = [running_task(run) for run in runs]
    ended = [
        end for end in state.ends.values() if state.shard_of_task(end.task) == shard
    ]
    ended += reported_crashes(state, entry_info, shard)
    report = Report(
        shard, epoch, running, ended, state.worker_incarnation, entry_info.acked_order
    )
    state.send(entry_info.name, report)


def report_all_shards(state: WorkerState) -> None:
    """Report to each connected entry its shards and its volatile jobs."""
    for entry_info in state.entries.values():
        for shard, shard_lease in state.shard_leases.items():
            if shard_lease.entry == entry_info.name:
                report_shard(state, entry_info, shard, shard_lease.epoch)
        if entry_info.incarnation:
            report_shard(state, entry_info, VOLATILE_SHARD, entry_info.incarnation)


def _in_report(run: Run, shard: int, entry_info: EntryInfo) -> bool:
    """Whether a run is part of the report of a shard to an entry.

    An orphaned run may be one of any entry's volatile jobs, so every entry is told of
    it in the report of its volatile jobs.
    """
    if shard != VOLATILE_SHARD:
        return run.shard == shard
    if not run.entry:
        return True
    return (
        run.shard == VOLATILE_SHARD
        and run.entry == entry_info.name
        and run.incarnation == entry_info.incarnation
    )


@entry_handler(Start)
def handle_start(state: WorkerState, entry_info: EntryInfo, message: Start) -> None:
    """Order the worker to start a run, or tell the entry at once that it is refused."""
    entry_info.acked_order = max(entry_info.acked_order, message.order)
    entry_info.order_received_ms = state.now_ms
    # Until a state confirms the order's number, the entry deducts its resources itself.
    entry_info.state_outdated = True
    reason = _refusal_reason(state, entry_info, message)
    if reason:
        state.note(
            "start refused",
            task=message.task,
            run=message.run,
            entry=entry_info.name,
            reason=reason,
            **_other_run(state, message.task),
        )
        entry_incarnation = message.epoch if message.shard == VOLATILE_SHARD else 0
        notice = NotStarted(message.task, message.run, reason, entry_incarnation)
        state.send(entry_info.name, notice)
        return
    run = Run(
        message.task,
        message.run,
        message.shard,
        message.cpu,
        message.memory_mb,
        message.gpu,
        state.fence,
        entry_info.name,
        entry_info.incarnation,
        exclusive=message.exclusive,
        order=state.last_order + 1,
        ordered_ms=state.now_ms,
    )
    state.last_order = run.order
    if message.shard == VOLATILE_SHARD:
        run.expires_ms = entry_info.volatile_until_ms
    state.runs[message.task, message.run] = run
    state.mark_states_outdated()
    state.effects.append(
        StartRun(
            message.task,
            message.run,
            message.payload,
            message.checkpoint,
            state.request_lease(),
            state.fence,
            state.worker,
            run.order,
        )
    )


def _other_run(state: WorkerState, task: str) -> dict[str, Any]:
    """Return log fields on a run of a task that is on the worker; empty for none."""
    for run in state.runs.values():
        if run.task == task:
            return {"other_run": run.number, "other_entry": run.entry}
    return {}


def _lease_refusal(state: WorkerState, entry_info: EntryInfo, message: Start) -> str:
    if message.shard == VOLATILE_SHARD:
        if message.epoch != entry_info.incarnation:
            return "not the owner"
        valid_until_ms = entry_info.volatile_until_ms
    else:
        lease = state.shard_leases.get(message.shard)
        if (
            lease is None
            or message.epoch != lease.epoch
            or lease.entry != entry_info.name
        ):
            return "not the owner"
        valid_until_ms = lease.valid_until_ms
    return "lease ended" if state.now_ms >= valid_until_ms else ""


def _refusal_reason(state: WorkerState, entry_info: EntryInfo, message: Start) -> str:
    reason = _lease_refusal(state, entry_info, message)
    if reason:
        return reason
    if was_stopped(state, entry_info, message):
        return "stopped"
    if not state.ready:
        return "not ready"
    if any(run.task == message.task for run in state.runs.values()):
        return ANOTHER_RUN
    reason = exclusivity_refusal(state, message)
    if reason:
        return reason
    cpu, memory_mb, gpu = state.free_capacity()
    if message.cpu > cpu or message.memory_mb > memory_mb or message.gpu > gpu:
        return "no room"
    return ""


@entry_handler(Stop)
def handle_stop(state: WorkerState, entry_info: EntryInfo, message: Stop) -> None:
    """Stop a run, or report it as `absent` if the agent does not have it.

    A run that the agent does not have is not started for a while after the stop.
    Nothing is reported if the end of the run is unacknowledged, since that end is sent
    again anyway. For a stored job, the stop is ignored unless its epoch is the newest.
    """
    lease = state.shard_leases.get(message.shard)
    volatile = message.shard == VOLATILE_SHARD
    if not volatile and (lease is None or lease.epoch != message.epoch):
        return
    run = state.runs.get((message.task, message.run))
    if run is not None and volatile and run.entry:
        owner = run.entry, run.incarnation
        if owner != (entry_info.name, message.epoch):
            # Each entry numbers the runs of the same volatile job from 1.
            run = None
    if run is None:
        mark_stop(state, entry_info, message)
        ends = [] if volatile else list(state.ends.values())
        ends += (report.ended for report in state.crash_reports.values())
        end_pending = any(
            end.task == message.task and end.run == message.run for end in ends
        )
        if not end_pending:
            ended = EndedRun(0, message.task, message.run, "absent")
            entry_incarnation = message.epoch if volatile else 0
            ends = Ends(
                [ended],
                state.worker_incarnation,
                entry_incarnation,
                entry_info.acked_order,
            )
            state.send(entry_info.name, ends)
            state.note(
                "run to stop is absent",
                task=message.task,
                run=message.run,
                entry=entry_info.name,
                acked_order=entry_info.acked_order,
                **_other_run(state, message.task),
            )
        return
    order_stop(state, run, "ordered")


def order_stop(state: WorkerState, run: Run, reason: str) -> None:
    """Order the worker to stop a run; the order is repeated until the run has ended."""
    if run.stop_sent_ms is None:
        state.note("run stopped", task=run.task, run=run.number, reason=reason)
    run.stop_sent_ms = state.now_ms
    state.effects.append(StopRun(run.task, run.number, state.fence, state.worker))


@entry_handler(Logged)
def handle_logged(state: WorkerState, entry_info: EntryInfo, message: Logged) -> None:
    """Acknowledge recorded crashes and logged ends.

    Ends of another incarnation of the worker are ignored.
    """
    for number in message.crash_numbers:
        state.crash_reports.pop(number, None)
    if message.worker_incarnation != state.worker_incarnation:
        return
    for sequence in message.sequences:
        acknowledge_end(state, sequence)


def acknowledge_end(state: WorkerState, sequence: int) -> None:
    """Acknowledge one end, and advance `ack` over all acknowledged ends in sequence.

    The worker forgets the ends up to `ack`.
    """
    state.ends.pop(sequence, None)
    state.lapsed_ends.discard(sequence)
    # The worker lists ends in order, so all up to `highest_end` have been received.
    state.ack = max(state.ack, min(state.ends, default=state.highest_end + 1) - 1)


@entry_handler(Sizes)
def handle_sizes(state: WorkerState, entry_info: EntryInfo, message: Sizes) -> None:
    """Record the resources of orphaned runs, which the entry claims by the message.

    A run of a volatile job then belongs to the entry, and expires with its lease.
    """
    for task, cpu, memory_mb, gpu, volatile in message.tasks:
        for run in state.runs.values():
            if run.task == task and run.cpu is None:
                run.cpu, run.memory_mb, run.gpu = cpu, memory_mb, gpu
                run.expires_ms = 0
                state.mark_states_outdated()
                if volatile:
                    run.shard = VOLATILE_SHARD
                    run.entry, run.incarnation = entry_info.name, entry_info.incarnation
                    run.expires_ms = entry_info.volatile_until_ms
