"""State of the agent: its worker, runs, unacknowledged ends, leases and entries."""

from __future__ import annotations

from typing import Any

import attrs

from ..jobs import VOLATILE_SHARD, shard_of
from ..peers import EndedRun, EntryDirectory
from ._effects import Effect, Note, SendToEntry
from ._entry_info import EntryInfo, ShardLease
from ._limits import WorkerLimits
from ._run import CrashReport, Run
from ._worker_messages import Candidate, Registration

# A worker counts as shared with an entry for this long after an order from it, in
# milliseconds. Under load an entry sends several orders a second to each worker.
SHARED_MS = 1_000
# Ends after which an owner may have to refrain from a further run of the task.
COUNTED_ENDS = ("done", "failed")


@attrs.define(eq=False)
class WorkerState:
    """State of one agent.

    Attributes:
        limits: Durations and sizes that bound the agent.
        fence: Fencing token of the agent's calls to the worker.
        host: Name of the agent's host.
        data_centre: Data centre of the agent's host.
        offered: Entries that may send tasks.
        now_ms: Time of the event or step in progress, on this agent's clock.
        started_ms: Time of the first step or renewal; None before it.
        stepped_ms: Time of the newest step; None before the first.
        resumed_ms: When the process went on after its last pause.
        registration: Newest heartbeat of the worker; None if no worker is registered.
        heartbeat_ms: When that heartbeat arrived.
        heartbeat_overdue: Whether it has been reported as too old to start runs by.
        candidates: Heartbeats of other processes that may be the next worker, by their
            identity and incarnation.
        unanswered_renewals: Number of lease renewals for the registered worker since
            its newest answer.
        probed: Whether the newest renewal was for a candidate.
        departed: Identity and incarnation of the worker that last announced its
            departure; None before the first, and if a worker of this incarnation has
            answered since.
        unexpected_departure_ms: When a departure arrived that the worker had not
            announced by draining; None if a heartbeat has arrived since.
        worker_incarnation: Start of the worker process, in milliseconds since 1970; 0
            until it has answered.
        lists_complete: Whether all of its ends have been listed since that answer.
        ends_complete: Whether its newest answer listed all of its ends.
        listed_ends: Number of ends in that answer.
        reply_received_ms: When the newest answer to a lease renewal arrived.
        lists_read_ms: When the newest lists of the current incarnation were applied.
        reply_clock_ms: The worker's clock in that answer.
        lease_end_ms: When all leases that were requested for the worker have ended, in
            this and in earlier processes of the agent.
        drained_lease_end_ms: When the lease of a worker that was replaced while it
            drained has ended at the latest.
        worker_silent: Whether the worker has given no answer for a while.
        worker_lost: Whether it has been silent for so long that it has no runs.
        lost_runs: Runs that the worker had when it was lost, until its next answer
            shows whether it had crashed.
        lost_incarnation: Incarnation of the worker at that time.
        clock_offset_ms: The worker's clock minus the agent's clock.
        runs: Runs by task name and run number.
        ends: Unacknowledged ends, that is, ends that no owner has reported as logged,
            by sequence number.
        highest_end: Highest sequence number of the ends received from the worker.
        ack: Sequence number up to which the worker may forget ends.
        crash_reports: Reports of crashes that no owner has acknowledged, by number.
        stop_marks: When a stop that found no run arrived, by entry, shard, incarnation
            or epoch, task and run; the oldest first.
        last_order: Number of the newest order to start a run on the worker.
        last_crash_number: Number of the newest report. The numbers begin at the first
            fencing token, so that they differ from those of earlier agent processes.
        draining_incarnation: Incarnation of the worker that last announced that it is
            about to leave; 0 for none.
        reserved_for: Task that last waited for the worker to have no other run; empty
            for none.
        reserved_until_ms: Time until which the worker is reserved for that task.
        shard_leases: Leases of owners, by shard.
        entries: Entries with an open link, by the address of the link.
        directory: Entries that this agent knows of.
        store_owners: Address of the owner by shard, as the store names it; it may be
            some seconds old.
        suspects: Entries that gave no lease on the newest link or attempt, by address,
            with the time before which no further link is opened.
        sought_until_ms: Entries that have asked for a report, by address, with the
            time until which a link to them is wanted.
        lapsed_ends: Sequence numbers of unacknowledged ends since which the worker's
            lease has lapsed.
        ends_block_renewal: Whether ends that no owner can record kept the worker's
            lease from being renewed at the newest step.
        next_turn_ms: When the next entry with waiting tasks may get a state.
        resend_ends_ms: When unacknowledged ends are next sent again.
        leaving: Whether the agent is shutting down and takes no new runs.
        effects: Effects that the next step returns.
    """

    limits: WorkerLimits
    fence: int
    host: str = ""
    data_centre: str = ""
    offered: frozenset[str] = frozenset()
    now_ms: int = 0
    started_ms: int | None = None
    stepped_ms: int | None = None
    resumed_ms: int = -1_000_000
    registration: Registration | None = None
    heartbeat_ms: int = -1_000_000
    heartbeat_overdue: bool = False
    candidates: dict[tuple[str, int], Candidate] = attrs.field(factory=dict)
    unanswered_renewals: int = 0
    probed: bool = False
    departed: tuple[str, int] | None = None
    unexpected_departure_ms: int | None = None
    worker_incarnation: int = 0
    lists_complete: bool = False
    ends_complete: bool = True
    listed_ends: int = 0
    reply_received_ms: int = -1_000_000
    lists_read_ms: int = -1_000_000
    reply_clock_ms: int = 0
    lease_end_ms: int = 0
    drained_lease_end_ms: int = -1_000_000
    worker_silent: bool = False
    worker_lost: bool = False
    lost_runs: list[Run] = attrs.field(factory=list)
    lost_incarnation: int = 0
    clock_offset_ms: int = 0
    runs: dict[tuple[str, int], Run] = attrs.field(factory=dict)
    ends: dict[int, EndedRun] = attrs.field(factory=dict)
    highest_end: int = 0
    ack: int = 0
    crash_reports: dict[int, CrashReport] = attrs.field(factory=dict)
    stop_marks: dict[tuple[str, int, int, str, int], int] = attrs.field(factory=dict)
    last_order: int = 0
    last_crash_number: int = attrs.field(
        default=attrs.Factory(lambda state: state.fence, takes_self=True)
    )
    draining_incarnation: int = 0
    reserved_for: str = ""
    reserved_until_ms: int = 0
    shard_leases: dict[int, ShardLease] = attrs.field(factory=dict)
    entries: dict[str, EntryInfo] = attrs.field(factory=dict)
    directory: EntryDirectory = attrs.field(factory=EntryDirectory)
    store_owners: dict[int, str] = attrs.field(factory=dict)
    suspects: dict[str, int] = attrs.field(factory=dict)
    sought_until_ms: dict[str, int] = attrs.field(factory=dict)
    lapsed_ends: set[int] = attrs.field(factory=set)
    ends_block_renewal: bool = False
    next_turn_ms: int = 0
    resend_ends_ms: int = 0
    leaving: bool = False
    effects: list[Effect] = attrs.field(factory=list)

    def begin(self, now_ms: int) -> None:
        """Set the time of a step or renewal."""
        self.now_ms = now_ms
        if self.started_ms is None:
            self.started_ms = now_ms
            # An earlier process of the agent has requested no lease since.
            self.lease_end_ms = now_ms + self.limits.longest_lease_ms

    def note(self, event: str, **fields: Any) -> None:
        """Emit a log line."""
        self.effects.append(Note(event, fields))

    def send(self, entry: str, message: Any) -> None:
        """Send a message to an entry; discard it if no link to the entry is open."""
        if entry in self.entries:
            self.effects.append(SendToEntry(entry, message))

    def shard_of_task(self, task: str) -> int:
        """Return the shard of a task's job."""
        return shard_of(task.partition(".")[0], self.limits.shards)

    def owner_of_shard(self, shard: int) -> str:
        """Return the entry that holds a valid lease on a shard; empty for none."""
        lease = self.shard_leases.get(shard)
        if lease is None or self.now_ms >= lease.valid_until_ms:
            return ""
        return lease.entry

    def probable_owner(self, shard: int) -> str:
        """Return the entry with a lease on a shard, or else the one in the store.

        Empty if there is none. Only a lease shows that an entry is the owner.
        """
        return self.owner_of_shard(shard) or self.store_owners.get(shard, "")

    def mark_states_outdated(self) -> None:
        """Mark the state last sent to each entry as outdated, so that it is sent."""
        for entry_info in self.entries.values():
            entry_info.state_outdated = True

    def owner_of_run(self, run: Run) -> str:
        """Return the entry that receives messages about a run; empty for none."""
        if run.shard == VOLATILE_SHARD:
            return run.entry
        return self.owner_of_shard(run.shard) or run.entry

    def shared_with_others(self, entry: str) -> bool:
        """Whether other entries than `entry` have lately sent orders, or have tasks."""
        return any(
            other.has_waiting_tasks or self.now_ms - other.order_received_ms < SHARED_MS
            for other in self.entries.values()
            if other.name != entry
        )

    @property
    def worker(self) -> str:
        """Identity of the worker; empty if none is registered."""
        return self.registration.worker if self.registration is not None else ""

    @property
    def worker_synced(self) -> bool:
        """Whether the agent knows all runs and ends of the worker's incarnation."""
        return self.worker_incarnation != 0 and self.lists_complete

    @property
    def ready(self) -> bool:
        """Whether the worker may be given new runs.

        Orphaned runs of unknown size make the free capacity unknown, so the worker is
        not ready while it has any. Nor is it while the worker's lease has to lapse,
        since each start order renews that lease.
        """
        registration = self.registration
        return (
            registration is not None
            and self.worker_synced
            and not self.list_of_ends_full
            and not registration.draining
            and self.capacity_current
            and not self.leaving
            and not self.has_orphaned_runs
            and not self.awaits_lapse
            and not self.worker_silent
        )

    @property
    def has_orphaned_runs(self) -> bool:
        """Whether the worker has runs that no entry has claimed yet."""
        return any(run.orphaned for run in self.runs.values())

    @property
    def lease_age_ms(self) -> int:
        """Longest time since the entry of a volatile job's run has given a lease.

        -1 if an entry is lost or not known. Before the worker's lists were read, all
        its runs have ended with its lease at the latest.
        """
        if not self.worker_synced and self.now_ms < self.lease_end_ms:
            return -1
        ages_ms = [0]
        for run in self.runs.values():
            if run.orphaned:
                return -1
            if run.shard != VOLATILE_SHARD:
                continue
            entry_info = self.entries.get(run.entry)
            if entry_info is None or entry_info.incarnation != run.incarnation:
                return -1
            ages_ms.append(self.now_ms - entry_info.lease_received_ms)
        return max(ages_ms)

    @property
    def list_of_ends_full(self) -> bool:
        """Whether the end of a further run might not be listed by the worker.

        The worker lists an end until it and all earlier ones are acknowledged.
        """
        return self.listed_ends + len(self.runs) + 1 >= self.limits.max_listed_ends

    @property
    def awaits_lapse(self) -> bool:
        """Whether the worker's lease must not be renewed, for a run or for an end."""
        return self.run_awaits_lapse or self.end_awaits_lapse

    @property
    def run_awaits_lapse(self) -> bool:
        """Whether a run goes on although its time, or its owner's lease, is over."""
        for run in self.runs.values():
            if run.renewal_end_ms is not None and self.now_ms >= run.renewal_end_ms:
                return True
            lease = self.shard_leases.get(run.shard)
            if lease is not None and not run.orphaned:
                stops_end_ms = lease.valid_until_ms + self.limits.stop_grace_ms
                if self.now_ms >= stops_end_ms:
                    return True
        return False

    @property
    def end_awaits_lapse(self) -> bool:
        """Whether the worker's lease has to lapse because of an end.

        An owner that is lost to this agent, or the next one, may start the task again
        without knowing the end. Once the lease has lapsed the end no longer counts, and
        may be acknowledged whether it was recorded or not. Nothing is known of ends
        that the worker does not list yet.
        """
        if self.now_ms >= self.lease_end_ms:
            return False
        if not self.ends_complete and any(
            self.now_ms >= lease.valid_until_ms for lease in self.shard_leases.values()
        ):
            return True
        return not self.seeks_owners and self.has_end_without_owner

    @property
    def has_end_without_owner(self) -> bool:
        """Whether a counted end is unacknowledged, and no owner can record it now."""
        return any(
            ended.how in COUNTED_ENDS
            and sequence not in self.lapsed_ends
            and not self.owner_of_shard(self.shard_of_task(ended.task))
            for sequence, ended in self.ends.items()
        )

    @property
    def seeks_owners(self) -> bool:
        """Whether this process is so new that it may not know the owners yet."""
        return self.now_ms < (self.started_ms or 0) + self.limits.orphan_run_ms

    @property
    def capacity_current(self) -> bool:
        """Whether the newest heartbeat states a capacity by which runs may be started.

        The worker may have shrunk since an old heartbeat, and another life of the
        worker may be smaller than the one that sent the heartbeat.
        """
        registration = self.registration
        if registration is None:
            return False
        if registration.worker_incarnation not in (0, self.worker_incarnation):
            return False
        return self.now_ms - self.heartbeat_ms < self.limits.heartbeat_valid_ms

    def capacity_in_use(self) -> tuple[int, int, int]:
        """Return the millicores, MB of memory and accelerators of all runs."""
        runs = self.runs.values()
        return (
            sum(run.cpu or 0 for run in runs),
            sum(run.memory_mb for run in runs),
            sum(run.gpu for run in runs),
        )

    @property
    def reserved(self) -> bool:
        """Whether the worker is kept free of new runs for an exclusive run."""
        return bool(self.reserved_for) and self.now_ms < self.reserved_until_ms

    def free_capacity(self) -> tuple[int, int, int]:
        """Return the free millicores, MB of memory and number of accelerators.

        They are negative while a worker that has shrunk runs more than it has now.
        """
        registration = self.registration
        if registration is None:
            return 0, 0, 0
        cpu, memory_mb, gpu = registration.capacity
        cpu_used, memory_used_mb, gpu_used = self.capacity_in_use()
        return cpu - cpu_used, memory_mb - memory_used_mb, gpu - gpu_used

    @property
    def silent_ms(self) -> int:
        """Time since the worker's newest answer in which this process ran, in ms."""
        begin_ms = max(self.reply_received_ms, self.resumed_ms, self.started_ms or 0)
        return self.now_ms - begin_ms

    def request_lease(self) -> int:
        """Return the end of a lease from now, on the worker's clock.

        It is a full lease, unless the worker has an orphaned run or a new process has
        found an end: the entry may be lost for longer than this process knows.
        """
        if self.now_ms >= self.lease_end_ms:
            self.lapsed_ends.update(self.ends)
        end_ms = self.now_ms + self.limits.longest_lease_ms
        self.lease_end_ms = max(self.lease_end_ms, end_ms)
        until_ms = self.now_ms + self.limits.lease_ms
        for run in self.runs.values():
            if run.orphaned:
                until_ms = min(until_ms, run.expires_ms + self.limits.stop_grace_ms)
        if self.seeks_owners and self.has_end_without_owner:
            adopted_ms = (self.started_ms or 0) + self.limits.longest_adoption_ms
            until_ms = min(until_ms, adopted_ms)
        return until_ms + self.clock_offset_ms
