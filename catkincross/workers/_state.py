"""Tables of the agent."""

from __future__ import annotations

import enum
from typing import Any

import attrs

from ..jobs import VOLATILE_SHARD, shard_of
from ..peers import EndedRun, RunningTask, WorkerProfile
from ._effects import Effect, Note, ToEntry


@attrs.frozen
class WorkerLimits:
    """Times of the agent, in milliseconds unless named otherwise.

    Attributes:
        shards: Number of shards of jobs.
        lease_ms: Longest lease that the worker grants.
        stop_grace_ms: How long the worker's lease is renewed although a run that has
            to end is still there; its end in any case is the lease.
        orphan_run_ms: How long runs are kept that were found on the worker at the start
            of the agent, until an owner is heard.
        state_interval_ms: Longest time between two states sent to an entry.
        progress_interval_ms: Time between two reports of progress to an entry.
        min_interval_run_ended_ms: Shortest time between two states sent to an entry
            of which a run has ended.
        min_interval_waiting_ms: The same for the other entries whose tasks wait for
            room.
        min_interval_idle_ms: The same for the entries whose tasks do not.
        far_interval_ms: Time between two states sent to an entry that may not.
        offered_entries: Number of entries that may send tasks.
        hold_wait_ms: How long the worker may wait for an end before it answers a hold.
    """

    shards: int = 16
    lease_ms: int = 1_000
    stop_grace_ms: int = 300
    # Runs outlive the process that ordered them by a lease at most. With this the
    # owner's wait for a silent agent (2,000 ms and 1,450 ms) covers both.
    orphan_run_ms: int = 900
    # A quarter of the silence after which volatile jobs are given up.
    state_interval_ms: int = 200
    # Looks at the worker are at most 250 ms apart.
    progress_interval_ms: int = 300
    # Joins changes that come together; well below the shortest tasks of 50 ms.
    min_interval_run_ended_ms: int = 10
    # A task that waits should not wait much longer than the shortest tasks of 50 ms.
    min_interval_waiting_ms: int = 30
    # States to other entries after each start and end are most of the messages; one
    # without waiting tasks needs them only to choose among free workers.
    min_interval_idle_ms: int = 150
    # Links are closed as silent after 1,600 ms, so one state may be lost.
    far_interval_ms: int = 700
    # A data centre has up to three entries, and two of others take over its bursts.
    # Messages grow with this number instead of with the number of entries.
    offered_entries: int = 5
    # A quarter of the lease, so that three renewals in a row may fail.
    hold_wait_ms: int = 250


@attrs.frozen
class Registration:
    """What a worker says of itself in a heartbeat.

    Attributes:
        worker: Identity of the worker.
        service: Service that it serves.
        data_centre: Its data centre.
        labels: Its kind, its rack and others.
        cpu: Capacity in thousandths of a core.
        memory_mb: Capacity in MB.
        gpu: Accelerators.
        draining: Whether it is about to leave.
        born: Start of its life, in milliseconds since 1970; 0 if not said.
        sequence: Number of the heartbeat in its life.
    """

    worker: str
    service: str
    data_centre: str
    labels: tuple[str, ...]
    cpu: int
    memory_mb: int
    gpu: int
    draining: bool
    born: int
    sequence: int


@attrs.frozen
class HoldCall:
    """A renewal of the worker's lease that also looks at its lists.

    Attributes:
        worker: Identity of the worker; empty while it has not registered.
        fence: Fencing token.
        ack: Number of the last end that the worker may forget.
        until_ms: End of the lease on the worker's clock; None to leave it.
        wait_ms: How long the worker may wait for an end.
    """

    worker: str
    fence: int
    ack: int
    until_ms: int | None
    wait_ms: int


@attrs.frozen
class HoldView:
    """A worker's answer to a hold.

    Attributes:
        born: Start of the worker's life, in milliseconds since 1970.
        clock_ms: The worker's clock.
        running: Runs that it has.
        finished: Ends that it has not forgotten.
    """

    born: int
    clock_ms: int
    running: tuple[RunningTask, ...]
    finished: tuple[EndedRun, ...]


class StartOutcome(enum.Enum):
    """The worker's answer to an order to start."""

    STARTED = "started"
    # A run that is not higher than one that ended there.
    OLD = "old"
    # The order's lease had ended when it arrived.
    LATE = "late"
    NO_ROOM = "no room"
    # A later token was seen.
    FENCED = "fenced"
    # The worker was unhealthy and did nothing, or refused for another stated reason.
    REFUSED = "refused"
    # The order may have been carried out, or may be later.
    UNANSWERED = "unanswered"


@attrs.define(eq=False)
class Run:
    """A run that the worker has or may get.

    Attributes:
        task: Name of the task.
        number: Number of the run.
        shard: Shard of its job.
        cpu: Thousandths of a core; None while not known.
        memory_mb: MB.
        gpu: Accelerators.
        fence: Token of the order.
        entry: Entry that ordered it; empty if it was found on the worker.
        incarnation: Number of the entry's process.
        expires_ms: End of the right to a run of a volatile job; 0 for others.
        confirmed_ms: When the worker was known to have it; None before.
        start_unanswered: Whether the order got no answer.
        stop_sent_ms: When the worker was last told to stop it; None if it was not.
        stop_deadline_ms: Time after which the lease is not renewed while it is there.
        checkpoint: Newest checkpoint.
        percent: Progress.
    """

    task: str
    number: int
    shard: int
    cpu: int | None = None
    memory_mb: int = 0
    gpu: int = 0
    fence: int = 0
    entry: str = ""
    incarnation: int = 0
    expires_ms: int = 0
    confirmed_ms: int | None = None
    start_unanswered: bool = False
    stop_sent_ms: int | None = None
    stop_deadline_ms: int | None = None
    checkpoint: str = ""
    percent: int = 0


@attrs.define(eq=False)
class ShardLease:
    """Who may start and keep tasks of a shard.

    Attributes:
        epoch: Highest epoch seen.
        entry: Its owner.
        valid_until_ms: End of the owner's lease on this agent's clock.
        expiry_handled: Whether the end of the lease was dealt with.
    """

    epoch: int
    entry: str
    valid_until_ms: int
    expiry_handled: bool = False


@attrs.define(eq=False)
class EntryRow:
    """An entry to which a link is open.

    Attributes:
        name: Name of the entry.
        reported: Pairs of shard and epoch that were reported on the link.
        done_order: Number of the last order that is counted.
        state_sent_ms: When the newest state was sent.
        state_outdated: Whether the worker's room has changed since.
        run_ended: Whether it has by the end of a run of this entry.
        wants_room: Whether tasks of the entry wait for room.
        lease_ms: When the newest lease arrived.
        incarnation: Number of the entry's process; 0 before its first lease.
        volatile_until_ms: End of its right to its volatile jobs.
        data_centre: Data centre of the entry; empty before it has said so.
        profile: What it was last told of the worker.
    """

    name: str
    reported: set[tuple[int, int]] = attrs.field(factory=set)
    done_order: int = 0
    state_sent_ms: int = -1_000_000
    progress_sent_ms: int = -1_000_000
    state_outdated: bool = True
    run_ended: bool = True
    wants_room: bool = False
    lease_ms: int = 0
    incarnation: int = 0
    volatile_until_ms: int = 0
    data_centre: str = ""
    profile: WorkerProfile | None = None


@attrs.define(eq=False)
class WorkerState:
    """All that an agent knows.

    Attributes:
        limits: Times.
        fence: Fencing token of the agent's calls.
        host: Name of the agent's host.
        data_centre: Data centre of the agent's host.
        offered: Entries that may send tasks.
        registration: What the worker said last; None while none is known.
        born: Start of the worker's life; 0 while its lists are not known.
        clock_offset_ms: Worker's clock minus this agent's.
        runs: Runs by task and number.
        ends: Ends that are not in the log, by number.
        highest_end: Highest number of an end that was seen.
        ack: Number up to which the worker may forget ends.
        shard_leases: Owners by shard.
        entries: Entries with an open link.
        renewal_blocked_until_ms: Time until which the lease is not renewed.
        resend_ends_ms: When ends that are not logged are told again.
        leaving: Whether the agent is about to stop.
    """

    limits: WorkerLimits
    fence: int
    host: str = ""
    data_centre: str = ""
    offered: frozenset[str] = frozenset()
    now_ms: int = 0
    registration: Registration | None = None
    born: int = 0
    clock_offset_ms: int = 0
    runs: dict[tuple[str, int], Run] = attrs.field(factory=dict)
    ends: dict[int, EndedRun] = attrs.field(factory=dict)
    highest_end: int = 0
    ack: int = 0
    shard_leases: dict[int, ShardLease] = attrs.field(factory=dict)
    entries: dict[str, EntryRow] = attrs.field(factory=dict)
    renewal_blocked_until_ms: int = 0
    resend_ends_ms: int = 0
    leaving: bool = False
    effects: list[Effect] = attrs.field(factory=list)

    def note(self, event: str, **fields: Any) -> None:
        """Write a log line."""
        self.effects.append(Note(event, fields))

    def send(self, entry: str, content: Any) -> None:
        """Send a message to an entry if a link to it is open."""
        if entry in self.entries:
            self.effects.append(ToEntry(entry, content))

    def shard_of_task(self, task: str) -> int:
        """Return the shard of a task's job."""
        return shard_of(task.partition(".")[0], self.limits.shards)

    def owner_of_shard(self, shard: int) -> str:
        """Return the entry whose lease on a shard is in force; empty for none."""
        lease = self.shard_leases.get(shard)
        if lease is None or self.now_ms >= lease.valid_until_ms:
            return ""
        return lease.entry

    def mark_states_outdated(self) -> None:
        """Let all entries hear of the worker's room."""
        for row in self.entries.values():
            row.state_outdated = True

    def owner_of_run(self, run: Run) -> str:
        """Return the entry that is told of a run."""
        if run.shard == VOLATILE_SHARD:
            return run.entry
        return self.owner_of_shard(run.shard) or run.entry

    @property
    def worker(self) -> str:
        """Identity of the worker; empty while it has not registered."""
        return self.registration.worker if self.registration is not None else ""

    @property
    def worker_synced(self) -> bool:
        """Whether the worker's lists were read in its present life."""
        return self.born != 0

    @property
    def ready(self) -> bool:
        """Whether the worker may get tasks."""
        registration = self.registration
        return (
            registration is not None
            and self.born != 0
            and not registration.draining
            and not self.leaving
            and self.now_ms >= self.renewal_blocked_until_ms
            and all(run.cpu is not None for run in self.runs.values())
        )

    def free_capacity(self) -> tuple[int, int, int]:
        """Return free thousandths of a core, MB and accelerators."""
        registration = self.registration
        if registration is None:
            return 0, 0, 0
        runs = self.runs.values()
        return (
            registration.cpu - sum(run.cpu or 0 for run in runs),
            registration.memory_mb - sum(run.memory_mb for run in runs),
            registration.gpu - sum(run.gpu for run in runs),
        )

    def lease_until_ms(self) -> int:
        """Return the end of a full lease on the worker's clock."""
        return self.now_ms + self.clock_offset_ms + self.limits.lease_ms
