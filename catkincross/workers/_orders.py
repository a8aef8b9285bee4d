"""Messages of entries: leases, orders to start and stop, ends that are logged."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..jobs import VOLATILE_SHARD
from ..peers import (
    EndedRun,
    Ends,
    Lease,
    Logged,
    NotStarted,
    Report,
    RunningTask,
    Sizes,
    Start,
    Stop,
)
from ._effects import CallStart, CallStop
from ._state import EntryRow, Run, ShardLease, WorkerState

ENTRY_HANDLERS: dict[type[Any], Callable[[WorkerState, EntryRow, Any], None]] = {}


def entry_handler(kind: type[Any]) -> Any:
    """Register the handler of an entry's message."""

    def add(function: Any) -> Any:
        ENTRY_HANDLERS[kind] = function
        return function

    return add


@entry_handler(Lease)
def handle_lease(state: WorkerState, row: EntryRow, content: Lease) -> None:
    """Take an entry's lease on its shards."""
    row.lease_ms = state.now_ms
    row.wants_room = content.wants_room
    renew_volatile_lease(state, row, content)
    valid_until_ms = content.echo_ms + content.valid_ms
    for shard, epoch in content.epochs:
        lease = state.shard_leases.get(shard)
        if lease is not None and epoch < lease.epoch:
            continue
        if lease is None or epoch > lease.epoch:
            state.shard_leases[shard] = ShardLease(epoch, row.name, valid_until_ms)
            state.note("owner of shard", shard=shard, epoch=epoch, entry=row.name)
        else:
            lease.valid_until_ms = max(lease.valid_until_ms, valid_until_ms)
            if lease.expiry_handled and state.now_ms < lease.valid_until_ms:
                # Ends since the lease ended may have reached nobody.
                lease.expiry_handled = False
                row.reported.discard((shard, epoch))
        if (shard, epoch) not in row.reported:
            report_shard(state, row, shard, epoch)


def renew_volatile_lease(state: WorkerState, row: EntryRow, content: Lease) -> None:
    """Renew an entry's right to its volatile jobs."""
    until_ms = content.echo_ms + content.volatile_ms
    row.incarnation = content.incarnation
    row.volatile_until_ms = max(row.volatile_until_ms, until_ms)
    for run in state.runs.values():
        ours = run.entry == row.name and run.incarnation == row.incarnation
        if ours and run.expires_ms:
            run.expires_ms = max(run.expires_ms, until_ms)
    if (VOLATILE_SHARD, row.incarnation) not in row.reported:
        report_shard(state, row, VOLATILE_SHARD, row.incarnation)


def report_shard(state: WorkerState, row: EntryRow, shard: int, epoch: int) -> None:
    """Tell a shard's owner all that the worker has of it, once its lists are known."""
    if not state.worker_synced:
        return
    row.reported.add((shard, epoch))
    running = [
        RunningTask(run.task, run.number, run.checkpoint, run.percent)
        for run in state.runs.values()
        if _in_report(run, shard, row)
    ]
    ended = [
        end for end in state.ends.values() if state.shard_of_task(end.task) == shard
    ]
    content = Report(shard, epoch, running, ended, state.born, row.done_order)
    state.send(row.name, content)


def _in_report(run: Run, shard: int, row: EntryRow) -> bool:
    """Whether a run is part of a report.

    Runs that were found on the worker may be of any entry's volatile jobs.
    """
    if shard != VOLATILE_SHARD:
        return run.shard == shard
    if not run.entry:
        return True
    return (
        run.shard == VOLATILE_SHARD
        and run.entry == row.name
        and run.incarnation == row.incarnation
    )


@entry_handler(Start)
def handle_start(state: WorkerState, row: EntryRow, content: Start) -> None:
    """Start a run, or say at once that it is not started."""
    row.done_order = max(row.done_order, content.order)
    # The entry counts its orders itself until a state names them.
    row.state_outdated = True
    reason = _refusal_reason(state, row, content)
    if reason:
        state.note("start refused", task=content.task, run=content.run, reason=reason)
        state.send(row.name, NotStarted(content.task, content.run, reason))
        return
    run = Run(
        content.task,
        content.run,
        content.shard,
        content.cpu,
        content.memory_mb,
        content.gpu,
        state.fence,
        row.name,
        row.incarnation,
    )
    if content.shard == VOLATILE_SHARD:
        run.expires_ms = row.volatile_until_ms
    state.runs[content.task, content.run] = run
    state.mark_states_outdated()
    state.effects.append(
        CallStart(
            content.task,
            content.run,
            content.payload,
            content.checkpoint,
            state.lease_until_ms(),
            state.fence,
        )
    )


def _lease_refusal(state: WorkerState, row: EntryRow, content: Start) -> str:
    if content.shard == VOLATILE_SHARD:
        if content.epoch != row.incarnation:
            return "not the owner"
        valid_until_ms = row.volatile_until_ms
    else:
        lease = state.shard_leases.get(content.shard)
        if lease is None or content.epoch != lease.epoch or lease.entry != row.name:
            return "not the owner"
        valid_until_ms = lease.valid_until_ms
    return "lease ended" if state.now_ms >= valid_until_ms else ""


def _refusal_reason(state: WorkerState, row: EntryRow, content: Start) -> str:
    problem = _lease_refusal(state, row, content)
    if problem:
        return problem
    if not state.ready:
        return "not ready"
    if any(run.task == content.task for run in state.runs.values()):
        return "another run is here"
    cpu, memory_mb, gpu = state.free_capacity()
    if content.cpu > cpu or content.memory_mb > memory_mb or content.gpu > gpu:
        return "no room"
    return ""


@entry_handler(Stop)
def handle_stop(state: WorkerState, row: EntryRow, content: Stop) -> None:
    """Stop a run."""
    lease = state.shard_leases.get(content.shard)
    volatile = content.shard == VOLATILE_SHARD
    if not volatile and (lease is None or lease.epoch != content.epoch):
        return
    run = state.runs.get((content.task, content.run))
    if run is None:
        known = not volatile and any(
            end.task == content.task and end.run == content.run
            for end in state.ends.values()
        )
        if not known:
            ended = EndedRun(0, content.task, content.run, "absent")
            state.send(row.name, Ends([ended], state.born))
        return
    order_stop(state, run, "ordered")


def order_stop(state: WorkerState, run: Run, reason: str) -> None:
    """Tell the worker to stop a run; a repeat comes while it is still there."""
    if run.stop_sent_ms is None:
        state.note("run stopped", task=run.task, run=run.number, reason=reason)
    run.stop_sent_ms = state.now_ms
    state.effects.append(CallStop(run.task, run.number, state.fence))


@entry_handler(Logged)
def handle_logged(state: WorkerState, row: EntryRow, content: Logged) -> None:
    """Let the worker forget ends that are in the log."""
    if content.born != state.born:
        return
    for number in content.numbers:
        acknowledge_end(state, number)


def acknowledge_end(state: WorkerState, number: int) -> None:
    """Let the worker forget an end as soon as it may forget all earlier ones."""
    state.ends.pop(number, None)
    # Ends are listed in order, so all below the newest one seen are known.
    state.ack = max(state.ack, min(state.ends, default=state.highest_end + 1) - 1)


@entry_handler(Sizes)
def handle_sizes(state: WorkerState, row: EntryRow, content: Sizes) -> None:
    """Learn what runs need that were found on the worker."""
    for task, cpu, memory_mb, gpu, volatile in content.tasks:
        for run in state.runs.values():
            if run.task == task and run.cpu is None:
                run.cpu, run.memory_mb, run.gpu = cpu, memory_mb, gpu
                run.expires_ms = 0
                state.mark_states_outdated()
                if volatile:
                    run.shard = VOLATILE_SHARD
                    run.entry, run.incarnation = row.name, row.incarnation
                    run.expires_ms = row.volatile_until_ms
