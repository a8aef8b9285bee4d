"""Handlers of messages from entries: leases, start and stop orders, logged ends."""

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
    """Register the decorated function as the handler of a message class."""

    def register(function: Any) -> Any:
        ENTRY_HANDLERS[kind] = function
        return function

    return register


@entry_handler(Lease)
def handle_lease(state: WorkerState, row: EntryRow, content: Lease) -> None:
    """Apply an entry's lease on its shards and its volatile jobs.

    The entry becomes the owner of each shard for which it has a higher epoch; a lower
    epoch is ignored.
    """
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
                # Ends since the expiry may not have reached an owner, so the shard is
                # reported again.
                lease.expiry_handled = False
                row.reported.discard((shard, epoch))
        if (shard, epoch) not in row.reported:
            report_shard(state, row, shard, epoch)


def renew_volatile_lease(state: WorkerState, row: EntryRow, content: Lease) -> None:
    """Extend an entry's lease on its volatile jobs, and the time of their runs."""
    valid_until_ms = content.echo_ms + content.volatile_ms
    row.incarnation = content.incarnation
    row.volatile_until_ms = max(row.volatile_until_ms, valid_until_ms)
    for run in state.runs.values():
        same_process = run.entry == row.name and run.incarnation == row.incarnation
        if same_process and run.expires_ms:
            run.expires_ms = max(run.expires_ms, valid_until_ms)
    if (VOLATILE_SHARD, row.incarnation) not in row.reported:
        report_shard(state, row, VOLATILE_SHARD, row.incarnation)


def report_shard(state: WorkerState, row: EntryRow, shard: int, epoch: int) -> None:
    """Send a shard's owner the runs and unacknowledged ends that the agent has of it.

    Nothing is sent until the worker's lists of runs have been read.
    """
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
    report = Report(shard, epoch, running, ended, state.born, row.done_order)
    state.send(row.name, report)


def _in_report(run: Run, shard: int, row: EntryRow) -> bool:
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
        and run.entry == row.name
        and run.incarnation == row.incarnation
    )


@entry_handler(Start)
def handle_start(state: WorkerState, row: EntryRow, content: Start) -> None:
    """Order the worker to start a run, or refuse it and tell the entry at once."""
    row.done_order = max(row.done_order, content.order)
    # Until a state confirms the order's number, the entry deducts its resources itself.
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
    reason = _lease_refusal(state, row, content)
    if reason:
        return reason
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
    """Stop a run, or report it as `absent` if the agent does not have it.

    Nothing is reported if the run's end is unacknowledged, since it is sent again
    anyway. For a durable job the stop is ignored unless its epoch is the newest.
    """
    lease = state.shard_leases.get(content.shard)
    volatile = content.shard == VOLATILE_SHARD
    if not volatile and (lease is None or lease.epoch != content.epoch):
        return
    run = state.runs.get((content.task, content.run))
    if run is None:
        end_pending = not volatile and any(
            end.task == content.task and end.run == content.run
            for end in state.ends.values()
        )
        if not end_pending:
            ended = EndedRun(0, content.task, content.run, "absent")
            state.send(row.name, Ends([ended], state.born))
        return
    order_stop(state, run, "ordered")


def order_stop(state: WorkerState, run: Run, reason: str) -> None:
    """Order the worker to stop a run; the order is repeated until the run has ended."""
    if run.stop_sent_ms is None:
        state.note("run stopped", task=run.task, run=run.number, reason=reason)
    run.stop_sent_ms = state.now_ms
    state.effects.append(CallStop(run.task, run.number, state.fence))


@entry_handler(Logged)
def handle_logged(state: WorkerState, row: EntryRow, content: Logged) -> None:
    """Acknowledge ends that the owner has logged; ignore those of another worker."""
    if content.born != state.born:
        return
    for number in content.numbers:
        acknowledge_end(state, number)


def acknowledge_end(state: WorkerState, number: int) -> None:
    """Acknowledge one end, and advance `ack` over all acknowledged ends in sequence.

    The worker forgets the ends up to `ack`.
    """
    state.ends.pop(number, None)
    # The worker lists ends in order, so all up to `highest_end` have been received.
    state.ack = max(state.ack, min(state.ends, default=state.highest_end + 1) - 1)


@entry_handler(Sizes)
def handle_sizes(state: WorkerState, row: EntryRow, content: Sizes) -> None:
    """Claim orphaned runs for an entry, and record the resources that they need."""
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
