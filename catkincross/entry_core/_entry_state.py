"""State of an entry."""

from __future__ import annotations

import random
from collections import defaultdict

import attrs

from ..foundation._guards import ALL_GUARDS, Guards
from ..foundation._ids import Incarnation, TaskId, entry_process
from ..foundation._tables import DueQueue, Table
from ..policies._dispatch_state import Dispatch
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
    """Items that leave in one message for each addressee at the end of a step.

    Attributes:
        cancels: Tasks to cancel, by addressee and whether to revoke only.
        result_services: Services of the results, by addressee.
        capacity: What the results' message says of these services.
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
        draining: Kind and name of resources that are to drain.
        ended: Incarnations of entries that are to end.
    """

    draining: set[tuple[str, str]] = attrs.field(factory=set)
    ended: set[Incarnation] = attrs.field(factory=set)


@attrs.define
class Snapshots:
    """What this entry knows of snapshots.

    Attributes:
        read_requested_ms: When the newest snapshot was read last, or None.
        writing: A snapshot is being written by this entry.
        due_since_ms: Since when a new snapshot is due, or None.
        noted_version: Newest snapshot that this entry has seen noted.
        noted_ms: When it saw that.
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
        due_ms: When open jobs are given up.
        batches: Addressee and message of batches that are not confirmed.
        roster_version: Roster version for which the batches were made; 0 before.
        send_due_ms: When unconfirmed batches are sent again.
        open_keys: Jobs that were open when all were looked at last.
        gave_up: Open jobs were given up; their keys were not handed over.
        stopped: The process was told that it may end.
    """

    due_ms: int = 0
    batches: dict[int, tuple[str, KeyHandover]] = attrs.field(factory=dict)
    batch_count: int = 0
    roster_version: int = 0
    send_due_ms: int = 0
    open_keys: list[bytes] = attrs.field(factory=list)
    gave_up: bool = False
    stopped: bool = False


@attrs.define
class EntryState:
    """Tables and settings of an entry; see `EntryCore`.

    Attributes:
        me: This incarnation, or None until its join is folded.
        requests: Callers' requests at this entry, by request id.
        jobs: Jobs that this entry owns, by key hash.
        waiting: Tasks to place that are not in the backlog of `dispatch` yet.
        agents: Agents whose home this entry is, by name.
        home_tasks: Tasks placed on this entry.
        home_queue: Tasks at this home without a slot, in order.
        sent_tasks: Tasks of this home that an agent has, by name of the agent.
        recovery: Tasks of this owner whose home was lost.
        peers: Other entries on the roster, by name.
        agent_results: Results from agents that this home has not handled yet.
        owner_results: Results that this owner has not handled yet.
        local_answers: Answers of this owner to its own arrival part.
        views_version: Control version up to which changed views were sent.
        heartbeats_to_answer: Process and clock stamp of agents' heartbeats.
        dispatch: State of the dispatch policies.
        hellos_to_answer: Announcements of agents that wait for a view.
        stopping: A planned leave has begun.
        appends: Records that this entry appends.
        timers: Times at which the core must step, by a name for each.
        recent: Records folded last.
        folded_ms: When a record was folded last.
        restrictions: Restrictive changes that are not folded yet.
        last_step_ms: Time of the last step.
        watch_ms: Silence of other processes counts from here at the earliest.
        agent_scan_due_ms: When agents are next checked for silence.
        fenced: Owner incarnations that a census named as ended.
        censuses: What is known of the starts of ended owners.
        key_queries: Questions about keys to and from other owners.
        held_jobs: Requests whose key is not settled, by key hash.
        settlement_due_ms: When held requests are looked at again.
        forwarded_roster_version: Roster version for which requests were forwarded.
        relays: Number of requests passed on to earlier owners.
        snapshots: What this entry knows of snapshots.
        leave: What this entry has done to leave.
        unregistered: Names of agents that the register does not assign to this home.
    """

    settings: EntrySettings
    address: str
    rng: random.Random
    freshness: Freshness
    appends: AppendQueue
    guards: Guards = ALL_GUARDS
    now_ms: int = 0
    me: Incarnation | None = None
    control: ControlState = attrs.field(factory=ControlState)
    requests: Table[int, RequestRow] = attrs.field(factory=lambda: Table("requests"))
    jobs: Table[bytes, JobRow] = attrs.field(factory=lambda: Table("jobs"))
    request_due: DueQueue[int] = attrs.field(factory=DueQueue)
    job_due: DueQueue[bytes] = attrs.field(factory=DueQueue)
    waiting: dict[TaskId, None] = attrs.field(factory=dict)
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
    dispatch: Dispatch = attrs.Factory(
        lambda state: Dispatch.from_settings(state.settings), takes_self=True
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
    folded_ms: int = 0
    restrictions: Restrictions = attrs.field(factory=Restrictions)
    last_step_ms: int = 0
    watch_ms: int = 0
    agent_scan_due_ms: int = 0
    fenced: set[Incarnation] = attrs.field(factory=set)
    censuses: Censuses = attrs.field(factory=Censuses)
    key_queries: KeyQueries = attrs.field(factory=KeyQueries)
    held_jobs: dict[bytes, list[HeldRequest]] = attrs.field(factory=dict)
    settlement_due_ms: int | None = None
    forwarded_roster_version: int = 0
    relays: int = 0
    snapshots: Snapshots = attrs.field(factory=Snapshots)
    leave: Leave = attrs.field(factory=Leave)
    unregistered: dict[str, None] = attrs.field(factory=dict)
    internal_requests: int = 0
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
            seed: Seed of all random choices and record ids; differs for each start.
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
        """Whether this entry may send work to homes and agents now."""
        if self.me is None or not self.control.is_live(self.me):
            return False
        return not self.guards.freshness or self.freshness.is_current(self.now_ms)

    def is_draining(self, data_centre: str, upstream: str) -> bool:
        """Whether an upstream takes no new work, as far as this entry has heard."""
        draining = self.restrictions.draining
        return (
            self.control.is_draining(data_centre, upstream)
            or ("datacentres", data_centre) in draining
            or ("upstreams", upstream) in draining
        )

    def is_fenced(self, owner: Incarnation) -> bool:
        """Whether an owner incarnation has ended, as far as this entry has heard."""
        return self.guards.fence and (
            not self.control.is_live(owner)
            or owner in self.fenced
            or owner in self.restrictions.ended
        )

    def incarnation_number(self, name: str) -> int:
        """Return the incarnation number of an entry on the roster, or 0."""
        entry = self.control.entries.get(name)
        return 0 if entry is None else entry.number

    def send(self, to: str, message: Message) -> None:
        """Send a message in this step."""
        self.effects.append(Send(to, message))

    def reply(self, request_id: int, answer: JobAnswer) -> None:
        """Answer a caller's request in this step."""
        self.effects.append(Reply(request_id, attrs.evolve(answer, request_id=0)))

    def append(self, body: RecordBody) -> Record:
        """Queue a record of this entry for the control stream and return it."""
        return self.appends.add(Record(self.new_record_id(), self.me, body)).record

    def new_record_id(self) -> str:
        """Return a unique record id."""
        self.record_count += 1
        return f"{self.name}-{self.rng.getrandbits(64):016x}-{self.record_count}"

    def emit(self, part: str, name: str, **fields: object) -> None:
        """Record an event of a part of this entry."""
        self.effects.append(Emit(part, name, dict(fields)))

    def flush_batches(self) -> None:
        """Turn the collected items into one message for each addressee."""
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
