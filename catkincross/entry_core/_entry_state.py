"""State of an entry core."""

from __future__ import annotations

import random
from collections import defaultdict

import attrs

from ..foundation._guards import ALL_GUARDS, Guards
from ..foundation._ids import Incarnation, TaskId, entry_process
from ..foundation._tables import DueQueue, Table
from ..policies._dispatch_state import DispatchState
from ..protocol._effects import Effect, Emit, Reply, Send
from ..protocol._messages import (
    AgentHello,
    CancelTasks,
    CapacitySummary,
    JobAnswer,
    KeyHandover,
    Message,
    OwnedTask,
    PlacedTask,
    PlaceTasks,
    StartTasks,
    TaskResult,
    TaskResults,
    TaskStart,
)
from ..protocol._records import Record, RecordBody
from ..resources._append_queue import AppendQueue
from ..resources._control_state import ControlState
from ..resources._freshness import Freshness
from ..resources._recent_records import RecentRecords
from ..settings._settings import EntrySettings
from ._entry_rows import AgentRow, HomeTask, JobRow, PeerRow, Recovery, RequestRow
from ._recovery_rows import Censuses, HeldRequest, KeyQueries


@attrs.define
class Batches:
    """Items that are sent in one message for each destination at the end of a step.

    Attributes:
        placed: Tasks to place, by process of the home.
        starts: Tasks to start, by process of the agent.
        results: Results, by process of the owner.
        cancels: Tasks to cancel, by process and `revoke` (only prevent the start).
        result_services: Services of the results, by process of the owner; the dict
            is an ordered set.
        capacity: Capacity to report with the results, by process of the owner.
    """

    placed: dict[str, list[PlacedTask]] = attrs.field(factory=lambda: defaultdict(list))
    starts: dict[str, list[TaskStart]] = attrs.field(factory=lambda: defaultdict(list))
    results: dict[str, list[TaskResult]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    cancels: dict[tuple[str, bool], list[OwnedTask]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    result_services: dict[str, dict[str, None]] = attrs.field(
        factory=lambda: defaultdict(dict)
    )
    capacity: dict[str, list[CapacitySummary]] = attrs.field(factory=dict)


@attrs.define
class Restrictions:
    """Restrictive changes whose records are not folded yet.

    Attributes:
        draining: Kind and name of the resources to drain.
        ended: Incarnations of the entries to end.
    """

    draining: set[tuple[str, str]] = attrs.field(factory=set)
    ended: set[Incarnation] = attrs.field(factory=set)


@attrs.define
class Snapshots:
    """Progress of reading and writing snapshots of the control state.

    Attributes:
        read_requested_ms: When this entry last requested the latest snapshot, or
            None.
        writing: Whether this entry is writing a snapshot.
        due_since_ms: Since when a new snapshot is due, or None.
        noted_version: Version of the latest snapshot that the control state notes.
        noted_ms: This entry's clock when `noted_version` last changed.
        prune_due_ms: When the control state is next pruned.
    """

    read_requested_ms: int | None = None
    writing: bool = False
    due_since_ms: int | None = None
    noted_version: int = 0
    noted_ms: int = 0
    prune_due_ms: int = 0


@attrs.define
class Leave:
    """Progress of a planned leave.

    Attributes:
        limit_due_ms: When the time limit ends and open jobs are failed.
        batches: Receiving entry and message of unconfirmed batches, by number.
        batch_count: Number of batches made so far.
        roster_version: Roster version for which the batches were made, or 0.
        send_due_ms: When unconfirmed batches are sent again.
        open_keys: Key hashes of the jobs that were open at the last full scan.
        jobs_abandoned: Whether open jobs were failed; their keys were not handed over.
        stopped: Whether the process was told to stop.
    """

    limit_due_ms: int = 0
    batches: dict[int, tuple[str, KeyHandover]] = attrs.field(factory=dict)
    batch_count: int = 0
    roster_version: int = 0
    send_due_ms: int = 0
    open_keys: list[bytes] = attrs.field(factory=list)
    jobs_abandoned: bool = False
    stopped: bool = False


@attrs.define
class EntryState:
    """Tables and settings of an entry; see `EntryCore`.

    Attributes:
        address: gRPC address at which other processes reach this entry, `IP:port`.
        rng: Source of all random choices and record IDs.
        freshness: Evidence that this entry's control state is current.
        appends: Records that this entry appends to the control stream.
        guards: Safety checks that are active.
        now_ms: This entry's clock at the current step.
        incarnation: This entry's incarnation, or None until its join is folded.
        control: The control state, folded from the control stream.
        requests: Callers' requests at this entry, by request ID.
        jobs: Jobs that this entry owns, by key hash.
        request_due: When submitted requests are answered `unknown`, by request ID.
        job_due: Deadlines of open jobs and ends of retention of answered ones, by
            key hash.
        unqueued_tasks: Tasks to place that are not in the backlog of `dispatch` yet.
        agents: Agents that have this entry as their home, by name.
        home_tasks: Tasks placed on this entry.
        home_queue: Tasks that wait for a slot at this home; an ordered set.
        home_due: Next checks of queued tasks at this home, deadlines of sent ones,
            and ends of retention of ended ones.
        sent_tasks: Tasks that this home has sent to an agent, by name of the agent.
        recovery: Reconciliation of this owner's tasks whose home has ended.
        peers: Other entries on the roster, by name.
        batches: Items to send at the end of this step.
        dispatch: State of the dispatch policies.
        agent_results: Results from agents that this home has not handled yet, each
            with the name of its agent.
        owner_results: Results that this owner has not handled yet.
        local_answers: Answers of this owner to requests that arrived at this entry.
        log_reachable: Whether the last read of the control stream succeeded.
        heartbeat_due_ms: When the next heartbeat to the other entries is due.
        views_version: Control version up to which changed views were sent to agents.
        heartbeats_to_answer: Process and clock stamp of each unanswered heartbeat of
            an agent.
        hellos_to_answer: Hellos of agents that wait for a view.
        join_record_id: ID of the record that lets this entry join, or empty.
        record_count: Number of record IDs that this entry has generated.
        stopping: Whether a planned leave has begun.
        timers: Times at which the core must step, by the name of their purpose.
        recent: Records that were folded most recently.
        last_fold_ms: This entry's clock when it last folded a record.
        restrictions: Restrictive changes that are not folded yet.
        last_step_ms: This entry's clock at the last step.
        watch_start_ms: Earliest time from which silence of other processes counts.
        agent_scan_due_ms: When agents are next checked for silence.
        fenced_owners: Owner incarnations that a census named as ended.
        censuses: Queries to agents and homes about the tasks of ended owners.
        key_queries: Queries about keys to and from other owners.
        held_requests: Requests whose key is not settled, by key hash.
        settlement_due_ms: When held requests are checked again.
        forwarded_roster_version: Roster version for which requests were forwarded.
        relay_count: Number of requests relayed to earlier owners.
        snapshots: Progress of reading and writing snapshots.
        leave: Progress of this entry's planned leave.
        unregistered_agents: Names of agents that the register does not assign to
            this home.
        generated_key_count: Number of keys that this entry has generated.
        effects: Effects of the current step.
    """

    settings: EntrySettings
    address: str
    rng: random.Random
    freshness: Freshness
    appends: AppendQueue
    guards: Guards = ALL_GUARDS
    now_ms: int = 0
    incarnation: Incarnation | None = None
    control: ControlState = attrs.field(factory=ControlState)
    requests: Table[int, RequestRow] = attrs.field(factory=lambda: Table("requests"))
    jobs: Table[bytes, JobRow] = attrs.field(factory=lambda: Table("jobs"))
    request_due: DueQueue[int] = attrs.field(factory=DueQueue)
    job_due: DueQueue[bytes] = attrs.field(factory=DueQueue)
    unqueued_tasks: dict[TaskId, None] = attrs.field(factory=dict)
    agents: Table[str, AgentRow] = attrs.field(factory=lambda: Table("agents"))
    home_tasks: Table[OwnedTask, HomeTask] = attrs.field(
        factory=lambda: Table("home tasks")
    )
    home_queue: dict[OwnedTask, None] = attrs.field(factory=dict)
    home_due: DueQueue[OwnedTask] = attrs.field(factory=DueQueue)
    sent_tasks: dict[str, dict[OwnedTask, None]] = attrs.field(factory=dict)
    recovery: Recovery = attrs.field(factory=Recovery)
    peers: Table[str, PeerRow] = attrs.field(factory=lambda: Table("peers"))
    batches: Batches = attrs.field(factory=Batches)
    dispatch: DispatchState = attrs.Factory(
        lambda state: DispatchState.from_settings(state.settings), takes_self=True
    )
    agent_results: list[tuple[str, TaskResult]] = attrs.field(factory=list)
    owner_results: list[TaskResult] = attrs.field(factory=list)
    local_answers: list[JobAnswer] = attrs.field(factory=list)
    log_reachable: bool = False
    heartbeat_due_ms: int = 0
    views_version: int = 0
    heartbeats_to_answer: list[tuple[str, int]] = attrs.field(factory=list)
    hellos_to_answer: list[AgentHello] = attrs.field(factory=list)
    join_record_id: str = ""
    record_count: int = 0
    stopping: bool = False
    timers: DueQueue[str] = attrs.field(factory=DueQueue)
    recent: RecentRecords = attrs.field(factory=RecentRecords)
    last_fold_ms: int = 0
    restrictions: Restrictions = attrs.field(factory=Restrictions)
    last_step_ms: int = 0
    watch_start_ms: int = 0
    agent_scan_due_ms: int = 0
    fenced_owners: set[Incarnation] = attrs.field(factory=set)
    censuses: Censuses = attrs.field(factory=Censuses)
    key_queries: KeyQueries = attrs.field(factory=KeyQueries)
    held_requests: dict[bytes, list[HeldRequest]] = attrs.field(factory=dict)
    settlement_due_ms: int | None = None
    forwarded_roster_version: int = 0
    relay_count: int = 0
    snapshots: Snapshots = attrs.field(factory=Snapshots)
    leave: Leave = attrs.field(factory=Leave)
    unregistered_agents: dict[str, None] = attrs.field(factory=dict)
    generated_key_count: int = 0
    effects: list[Effect] = attrs.field(factory=list)

    @classmethod
    def from_settings(
        cls,
        settings: EntrySettings,
        *,
        address: str,
        seed: int,
        guards: Guards = ALL_GUARDS,
    ) -> EntryState:
        """Return the state of an entry that has just started.

        Args:
            settings: The entry's settings.
            address: gRPC address at which other processes reach it, `IP:port`.
            seed: Seed of all random choices and record IDs; differs for each start.
            guards: Safety checks that are active.
        """
        return cls(
            settings=settings,
            address=address,
            rng=random.Random(seed),
            freshness=Freshness(settings.freshness.freshness_ms),
            appends=AppendQueue(settings.control.appends_per_second),
            guards=guards,
        )

    @property
    def name(self) -> str:
        """Name of this entry."""
        return self.settings.name

    @property
    def process(self) -> str:
        """Process name of this entry."""
        return entry_process(self.settings.name)

    def may_dispatch(self) -> bool:
        """Whether this entry may send work now: it is live and its state is current."""
        if self.incarnation is None or not self.control.is_live(self.incarnation):
            return False
        return not self.guards.freshness or self.freshness.is_current(self.now_ms)

    def is_draining(self, data_centre: str, upstream: str) -> bool:
        """Whether an upstream drains, by folded records and pending restrictions."""
        draining = self.restrictions.draining
        return (
            self.control.is_draining(data_centre, upstream)
            or ("datacentres", data_centre) in draining
            or ("upstreams", upstream) in draining
        )

    def is_fenced(self, owner: Incarnation) -> bool:
        """Whether an owner has ended, by folded records, censuses and restrictions."""
        return self.guards.fence and (
            not self.control.is_live(owner)
            or owner in self.fenced_owners
            or owner in self.restrictions.ended
        )

    def incarnation_number(self, name: str) -> int:
        """Return the incarnation number of an entry on the roster, or 0."""
        entry = self.control.entries.get(name)
        return 0 if entry is None else entry.number

    def send(self, to: str, message: Message) -> None:
        """Add the effect that sends a message to a process."""
        self.effects.append(Send(to, message))

    def reply(self, request_id: int, answer: JobAnswer) -> None:
        """Add the effect that answers a caller's request."""
        self.effects.append(Reply(request_id, attrs.evolve(answer, request_id=0)))

    def append(self, body: RecordBody) -> Record:
        """Queue a new record of this entry for the control stream and return it."""
        return self.appends.add(
            Record(self.new_record_id(), self.incarnation, body)
        ).record

    def new_record_id(self) -> str:
        """Return a unique record ID."""
        self.record_count += 1
        return f"{self.name}-{self.rng.getrandbits(64):016x}-{self.record_count}"

    def emit(self, part: str, name: str, **fields: object) -> None:
        """Add the effect that logs an event of a part of this entry."""
        self.effects.append(Emit(part, name, dict(fields)))

    def flush_batches(self) -> None:
        """Send the batched items in one message for each destination and kind."""
        for process, placed in self.batches.placed.items():
            number = self.incarnation_number(process.partition("/")[2])
            self.send(process, PlaceTasks(placed, number))
        for process, starts in self.batches.starts.items():
            self.send(process, StartTasks(starts))
        for (process, revoke), tasks in self.batches.cancels.items():
            self.send(process, CancelTasks(tasks, revoke))
        for process, results in self.batches.results.items():
            capacity = self.batches.capacity.get(process, [])
            self.send(process, TaskResults(results, capacity))
        self.batches = Batches()
