"""Messages between entries and agents.

Fields are encoded by position, so their order is part of the wire format.
"""

from __future__ import annotations

from typing import Any

import attrs

from ._message_registry import register_message

# Reason of `NotStarted` if the worker has another run of the task.
ANOTHER_RUN = "another run is here"


@attrs.frozen
class RunningTask:
    """A run that is in progress on a worker.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        checkpoint: Newest checkpoint of the run; empty for none.
        percent: Progress of the run, 0 to 100.
    """

    task: str
    run: int
    checkpoint: str = ""
    percent: int = 0


@attrs.frozen
class EndedRun:
    """A run that ended on a worker.

    Attributes:
        sequence: Sequence number of the end in the worker's incarnation; 0 if the
            worker never listed it.
        task: Name of the task.
        run: Number of the run.
        how: How the run ended, such as `done`, `failed`, `crashed` or `absent`.
        checkpoint: Newest checkpoint of the run; empty for none.
        run_ms: Run time that the agent observed, in milliseconds; 0 if not known.
        crash_number: Number of the report of a run that ended `crashed`, unique among
            the reports of the agent; 0 for other ends.
        alone: Whether the worker that crashed had no other run.
        uncertain: Whether the run may not have started before the crash.
    """

    sequence: int
    task: str
    run: int
    how: str
    checkpoint: str = ""
    run_ms: int = 0
    crash_number: int = 0
    alone: bool = False
    uncertain: bool = False


@register_message
@attrs.frozen
class Greeting:
    """First message of a process on a link, by which it identifies itself.

    Attributes:
        role: `entry` or `agent`.
        name: Name of the process.
        incarnation: Number that differs between any two starts of the process.
        address: Address at which an entry accepts links, `IP:port`; empty for an agent.
        data_centre: Data centre of the process.
        link_number: Number of the link among those that the process has opened,
            increasing; 0 where the receiver does not need it.
    """

    role: str
    name: str
    incarnation: int
    address: str = ""
    data_centre: str = ""
    link_number: int = 0


@register_message
@attrs.frozen
class WorkerProfile:
    """Identity and capacity of a worker; sent first on a link, and when they change.

    Attributes:
        worker: Identity of the worker; empty while no worker has registered.
        worker_incarnation: Start of the worker's incarnation, in milliseconds since
            1970; 0 while the agent has not read its lists of runs.
        service: Service that the worker serves.
        data_centre: Data centre of the worker.
        labels: Labels of the worker: its kind first, then its rack and others.
        cpu: Processor capacity in millicores.
        memory_mb: Memory in MB.
        gpu: Number of accelerators.
        offered_to: Number of entries that may send tasks and share the capacity.
    """

    worker: str
    worker_incarnation: int
    service: str
    data_centre: str
    labels: list[str]
    cpu: int
    memory_mb: int
    gpu: int
    offered_to: int = 1


@register_message
@attrs.frozen
class AgentState:
    """Free resources of an agent's worker; sent at intervals, and when they change.

    Attributes:
        clock_ms: The agent's clock when the message was sent.
        cpu_free: Free processor capacity in millicores.
        memory_free_mb: Free memory in MB.
        gpu_free: Number of free accelerators.
        ready: Whether the receiving entry may send tasks.
        acked_order: Number of the receiving entry's last start order that the free
            resources account for.
        shared: Whether other entries have lately sent orders to the worker, or have
            tasks waiting.
        run_count: Number of runs that are on the worker or have been ordered there.
        lease_age_ms: Longest time since the entry of a volatile job's run on the worker
            has given a lease, in milliseconds; 0 without such runs, and -1 if the
            worker may have runs of entries that are lost or not known.
        drained: Whether the agent shuts down and its worker has no runs, so that no
            further run can start.
    """

    clock_ms: int
    cpu_free: int = 0
    memory_free_mb: int = 0
    gpu_free: int = 0
    ready: bool = False
    acked_order: int = 0
    shared: bool = False
    run_count: int = 0
    lease_age_ms: int = -1
    drained: bool = False


@register_message
@attrs.frozen
class Lease:
    """An entry's right to start and keep runs of its shards' tasks on an agent.

    Attributes:
        echo_ms: Value of `clock_ms` in the newest `AgentState` from the agent.
        valid_ms: How long the lease lasts from `echo_ms`, on the agent's clock.
        shard_epochs: Pairs of shard and epoch to which the lease applies.
        incarnation: Incarnation of the entry, which is the epoch of its volatile jobs.
        volatile_ms: How long the lease on the entry's volatile jobs lasts from
            `echo_ms`, on the agent's clock.
        has_waiting_tasks: Whether tasks of the entry wait for free resources; the agent
            then reports changes sooner.
    """

    echo_ms: int
    valid_ms: int
    shard_epochs: list[list[int]]
    incarnation: int
    volatile_ms: int
    has_waiting_tasks: bool = False


@register_message
@attrs.frozen
class Report:
    """All runs of a shard on a worker; answers the first lease of an epoch on a link.

    Attributes:
        shard: Number of the shard.
        epoch: Epoch of the lease.
        running: Runs of the shard that are in progress on the worker.
        ended: Runs of the shard that have ended and whose ends are not durable in the
            log yet.
        worker_incarnation: Start of the worker process, in milliseconds since 1970.
        acked_order: Number of the receiving entry's last start order that the report
            accounts for; runs of later orders are not part of it.
    """

    shard: int
    epoch: int
    running: list[RunningTask]
    ended: list[EndedRun]
    worker_incarnation: int
    acked_order: int


@register_message
@attrs.frozen
class Start:
    """Order to start a run.

    Attributes:
        order: Number of the start order on the link, increasing from 1.
        shard: Shard of the job.
        epoch: Epoch of the shard's owner.
        task: Name of the task.
        run: Number of the run.
        payload: Text that the task receives.
        cpu: Processor capacity of the run in millicores.
        memory_mb: Memory of the run in MB.
        gpu: Number of accelerators of the run.
        checkpoint: Checkpoint from which the run resumes; empty for none.
        exclusive: Whether the run starts only on a worker without other runs, and no
            other run starts there in its first seconds.
    """

    order: int
    shard: int
    epoch: int
    task: str
    run: int
    payload: str
    cpu: int
    memory_mb: int
    gpu: int
    checkpoint: str = ""
    exclusive: bool = False


@register_message
@attrs.frozen
class Stop:
    """Order to stop a run; the fields are those of `Start`."""

    shard: int
    epoch: int
    task: str
    run: int


@register_message
@attrs.frozen
class NotStarted:
    """Notice that a run was not started, and will not be.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        reason: Why it was not started.
        entry_incarnation: Incarnation of the entry that ordered the run, for a run of a
            volatile job; 0 for others.
    """

    task: str
    run: int
    reason: str
    entry_incarnation: int = 0


@register_message
@attrs.frozen
class Ends:
    """Runs that have ended on a worker, sent to the owner of their shard.

    Attributes:
        ended: The ended runs.
        worker_incarnation: Incarnation of the worker in which the ends are numbered.
        entry_incarnation: Incarnation of the entry that ordered the runs, for runs of
            volatile jobs; 0 for others. Each incarnation numbers such runs from 1.
    """

    ended: list[EndedRun]
    worker_incarnation: int
    entry_incarnation: int = 0


@register_message
@attrs.frozen
class Progress:
    """Progress of the receiving entry's runs on an agent's worker."""

    running: list[RunningTask]


@register_message
@attrs.frozen
class Logged:
    """Acknowledgement of ends that are durable in the log; the worker may forget them.

    Attributes:
        sequences: Sequence numbers of the ends.
        worker_incarnation: Incarnation of the worker in which the ends are numbered.
        crash_numbers: Numbers of reports of runs that ended `crashed`, which the agent
            may forget.
    """

    sequences: list[int]
    worker_incarnation: int
    crash_numbers: list[int] = attrs.field(factory=list)


@register_message
@attrs.frozen
class Sizes:
    """Resources of runs that an agent found on its worker and does not know.

    Attributes:
        tasks: Rows of task name, millicores, MB of memory, number of accelerators, and
            whether the job is a volatile job of the sending entry.
    """

    tasks: list[list[Any]]
