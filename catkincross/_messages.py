"""Messages between the processes of the system.

Each class has a protobuf message of the same name and the same field names in
`proto/catkincross.proto`. Times are in milliseconds. A field `..._ms` that is a
point in time names the clock it was read from in its description.
"""

from __future__ import annotations

from enum import StrEnum

import attrs

from ._ids import Incarnation, TaskId

NO_EVIDENCE = -1


class TaskStatus(StrEnum):
    """How a task ended."""

    OK = "ok"
    FAILED = "failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"


class JobState(StrEnum):
    """State of a job as its caller sees it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    UNKNOWN = "unknown"
    ABSENT = "absent"


class Truth(StrEnum):
    """What is known about the execution of a job that is not complete."""

    NONE = ""
    NOT_RUN = "not_run"
    FAILED = "failed"
    MAY_HAVE_RUN = "may_have_run"


class Reason(StrEnum):
    """Why a task was refused, a job failed or a change was not accepted."""

    NONE = ""
    # Refusals of the agent, in the order of its start rules.
    STALE_OWNER = "stale_owner"
    DUPLICATE = "duplicate"
    STALE_EPOCH = "stale_epoch"
    START_BY = "start_by"
    NOT_CURRENT = "not_current"
    DRAINING = "draining"
    NO_SLOT = "no_slot"
    NOT_REGISTERED = "not_registered"
    REVOKED = "revoked"
    # Ends of tasks and jobs.
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    ANSWER_MISMATCH = "answer_mismatch"
    AGENT_LOST = "agent_lost"
    HOME_LOST = "home_lost"
    OWNER_LOST = "owner_lost"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    TASK_FAILED = "task_failed"
    RECALLED = "recalled"
    FITS_NOWHERE = "fits_nowhere"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    QUOTA = "quota"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    KEY_CONFLICT = "key_conflict"
    RECOVERING = "recovering"
    LEAVING = "leaving"
    NOT_READY = "not_ready"
    LOG_UNREACHABLE = "log_unreachable"


# Parts of messages


@attrs.frozen
class TaskSpec:
    """What a caller declares about one task.

    Attributes:
        payload: Body sent to the upstream.
        size: Declared size, in bytes of work.
        run_ms: Declared run time; 0 if not declared.
        memory_mb: Declared memory; 0 if not declared.
        accelerators: Accelerators the task needs.
    """

    payload: bytes = b""
    size: int = 0
    run_ms: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@attrs.frozen
class PlacedTask:
    """A task on its way from its owner to a home.

    Attributes:
        budget_ms: Time left until the job's deadline when the message was sent.
        attempt: Counts the sends of the task by its owner, from 1.
        idempotent: Whether the task may run more than once.
        interactive: Whether a caller waits for it.
    """

    owner: Incarnation
    task: TaskId
    service: str
    team: str
    spec: TaskSpec
    budget_ms: int
    idempotent: bool = False
    interactive: bool = False
    attempt: int = 1


@attrs.frozen
class TaskStart:
    """A task on its way from a home to its agent.

    Attributes:
        grant_epoch: Epoch of the slots that the home uses.
        start_by_ms: Latest start, on the agent's clock.
        deadline_ms: Latest useful end, on the agent's clock.
        version: Control version that the home had folded.
    """

    owner: Incarnation
    task: TaskId
    service: str
    spec: TaskSpec
    grant_epoch: int
    start_by_ms: int
    deadline_ms: int
    version: int = 0
    idempotent: bool = False
    attempt: int = 1


@attrs.frozen
class TaskResult:
    """The end of a task.

    Attributes:
        not_run: True only if this attempt has not started and never will.
        run_ms: Time on the upstream, measured by the agent.
    """

    owner: Incarnation
    task: TaskId
    status: TaskStatus
    not_run: bool = False
    reason: Reason = Reason.NONE
    payload: bytes = b""
    run_ms: int = 0
    upstream: str = ""
    attempt: int = 1


# The tables of a home look up each task dozens of times.
@attrs.frozen(cache_hash=True)
class OwnedTask:
    """An attempt of a task, with the incarnation that owns it."""

    owner: Incarnation
    task: TaskId
    attempt: int = 1


@attrs.frozen
class CapacitySummary:
    """What a home can take for one service in one data centre.

    Attributes:
        free: Free slots.
        queued: Tasks waiting at the home.
        speed: Mean learned speed of the upstreams, 1.0 being the service's mean.
        best_speed: Speed of the fastest upstream with a free slot, 0 if none.
        wait_ms: Expected wait of a new task.
        memory_mb: Memory of the largest upstream.
        accelerators: Most accelerators of an upstream.
    """

    service: str
    data_centre: str
    upstreams: int
    slots: int
    free: int
    queued: int = 0
    speed: float = 1.0
    best_speed: float = 1.0
    wait_ms: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@attrs.frozen
class TeamUsage:
    """Use of a team at one entry since its start, for fair sharing."""

    team: str
    running: int
    started: int


@attrs.frozen
class RosterEntry:
    """An entry process on the roster."""

    name: str
    number: int
    address: str
    data_centre: str
    leaving: bool = False

    @property
    def incarnation(self) -> Incarnation:
        """The entry's incarnation."""
        return Incarnation(self.name, self.number)


@attrs.frozen
class LogRecord:
    """A record of the control stream with its offset; the body is JSON."""

    offset: int
    body: bytes


# Agent and entry


@attrs.frozen
class AgentHello:
    """First message of an agent on a stream; grants its slots if `grant_epoch` > 0.

    Attributes:
        clock_ms: The agent's clock when the message was sent.
        running: Tasks that hold a slot now.
    """

    agent: Incarnation
    upstream: str
    service: str
    region: str
    data_centre: str
    rack: str
    slots: int
    connections: int
    cores: int
    memory_mb: int
    accelerators: int
    grant_epoch: int
    clock_ms: int
    running: list[OwnedTask] = attrs.field(factory=list)
    leaving: bool = False


@attrs.frozen
class AgentHeartbeat:
    """Periodic message of an agent to its home.

    Attributes:
        clock_ms: The agent's clock when the message was sent.
        version: Control version up to which the agent knows all that concerns it.
        draining: Whether the agent's view says that it is draining.
    """

    agent: Incarnation
    grant_epoch: int
    clock_ms: int
    version: int
    running: int
    memory_used_mb: int = 0
    cpu_permille: int = 0
    draining: bool = False
    leaving: bool = False


@attrs.frozen
class HeartbeatReply:
    """Answer to a hello or heartbeat.

    Attributes:
        echo_ms: The agent's clock stamp that is answered.
        evidence_age_ms: Age of the entry's evidence of the log's tail when the
            answer was sent, or `NO_EVIDENCE`.
        version: Version that the evidence speaks of; the entry's latest
            `AgentView` for this agent holds all that concerns it up to here.
        view_version: Version of that view; the evidence counts only for an agent
            that holds this view or a newer one.
    """

    entry: Incarnation
    echo_ms: int
    evidence_age_ms: int
    version: int
    view_version: int = 0


@attrs.frozen
class AgentView:
    """All control state that concerns one agent.

    Attributes:
        entries: Entries on the roster; all others have ended.
        draining: The agent's data centre or upstream is draining.
        registered: The agent's incarnation is registered in the log.
        home_number: Incarnation number of the entry that the register names as the
            agent's home; 0 if none.
    """

    version: int
    entries: list[RosterEntry]
    draining: bool
    registered: bool
    home_number: int = 0


@attrs.frozen
class StartTasks:
    """Tasks for an agent to start at once."""

    starts: list[TaskStart]


@attrs.frozen
class CancelTasks:
    """Tasks to stop, or never to start.

    Attributes:
        revoke: Only prevent the start; a running task goes on.
    """

    tasks: list[OwnedTask]
    revoke: bool = False


@attrs.frozen
class TaskResults:
    """Ends of tasks, from an agent to its home or from a home to the owner."""

    results: list[TaskResult]
    capacity: list[CapacitySummary] = attrs.field(factory=list)


@attrs.frozen
class CensusRequest:
    """Asks which keys had a start for an ended owner incarnation."""

    ended: Incarnation
    requester: Incarnation


@attrs.frozen
class CensusReply:
    """Keys with at least one start for an ended owner incarnation.

    Attributes:
        replier: Process that answers.
        keys: Key hashes, 16 bytes each.
        agents: Agent incarnations that the reply speaks for.
        complete: False while the replier still waits for some of its agents.
    """

    ended: Incarnation
    replier: Incarnation
    keys: list[bytes]
    agents: list[Incarnation]
    complete: bool = True


# Entry and entry


@attrs.frozen
class ObservedVersion:
    """Agents of one home that have observed the control state up to a version.

    Attributes:
        agents: Number of agents.
        names: Some of their names.
    """

    version: int
    agents: int
    names: list[str] = attrs.field(factory=list)


@attrs.frozen
class DrainReport:
    """Agents of one home on an upstream that takes no new work.

    Attributes:
        agents: Number of agents.
        idle: Agents that have confirmed the drain and run nothing.
    """

    data_centre: str
    upstream: str
    agents: int
    idle: int


@attrs.frozen
class PeerHeartbeat:
    """Periodic message between entries.

    Attributes:
        sent_ms: The sender's clock when the message was sent.
        echo_ms: `sent_ms` of the last heartbeat received from the addressee, or
            `NO_EVIDENCE`.
        echo_delay_ms: How long ago the sender received that heartbeat.
        version: Control version that the sender has folded.
        log_reachable: Whether the sender's last read of the log succeeded.
        evidence_age_ms: Age of the sender's own evidence, or `NO_EVIDENCE`.
        pending: Restrictive records that the sender has appended and whose outcome
            it does not know; the addressee obeys them as well.
        observed: What the sender's agents have observed.
        drains: What runs on upstreams that take no new work.
    """

    sender: Incarnation
    sent_ms: int
    echo_ms: int
    echo_delay_ms: int
    version: int
    log_reachable: bool
    evidence_age_ms: int
    capacity: list[CapacitySummary] = attrs.field(factory=list)
    teams: list[TeamUsage] = attrs.field(factory=list)
    leaving: bool = False
    pending: list[bytes] = attrs.field(factory=list)
    observed: list[ObservedVersion] = attrs.field(factory=list)
    drains: list[DrainReport] = attrs.field(factory=list)


@attrs.frozen
class RecordsTail:
    """Records of the control stream that the addressee has not folded.

    Attributes:
        after: The version that the first record follows directly.
    """

    records: list[LogRecord]
    after: int = 0


@attrs.frozen
class StateRequest:
    """Asks for the control state if it is newer than a version."""

    version: int


@attrs.frozen
class ControlSnapshot:
    """The whole control state as of a version; the body is JSON."""

    version: int
    body: bytes


@attrs.frozen
class ForwardJob:
    """A job on its way from the arrival entry to its owner.

    Attributes:
        request_id: Number of the request at the arrival entry.
        digest: Hash of the job's content.
        budget_ms: Time left until the deadline when the message was sent.
        roster_version: Version of the roster that chose the owner.
    """

    request_id: int
    key: str
    digest: bytes
    team: str
    service: str
    tasks: list[TaskSpec]
    budget_ms: int
    roster_version: int
    idempotent: bool = False
    interactive: bool = False


@attrs.frozen
class JobAsked:
    """A question for the state of a job; `wait` asks for the final answer."""

    request_id: int
    key: str
    wait: bool = False


@attrs.frozen
class CancelJob:
    """Asks the owner to cancel a job."""

    request_id: int
    key: str


@attrs.frozen
class JobAnswer:
    """State or end of a job.

    Attributes:
        request_id: Number of the request that is answered.
        results: One for each task in order of index if the job is complete.
        tasks_done: Tasks that ended so far.
    """

    request_id: int
    key: str
    state: JobState
    truth: Truth = Truth.NONE
    reason: Reason = Reason.NONE
    results: list[TaskResult] = attrs.field(factory=list)
    tasks: int = 0
    tasks_done: int = 0
    retry_after_ms: int = 0


@attrs.frozen
class KeyQuery:
    """Asks an earlier owner whether it knows keys.

    Attributes:
        roster_version: The addressee answers only once it has folded this version.
    """

    keys: list[bytes]
    roster_version: int


@attrs.frozen
class KeyReply:
    """Answer to `KeyQuery`: the keys asked for and those known among them.

    Attributes:
        roster_version: Version of the query that is answered.
        complete: `known` holds all keys known to the sender that the addressee owns
            on the roster of this version; sent unasked after a roster change.
    """

    keys: list[bytes]
    known: list[bytes]
    roster_version: int = 0
    complete: bool = False


@attrs.frozen
class FinishedKey:
    """A finished job, handed over by a leaving owner."""

    key: str
    digest: bytes
    answer: JobAnswer
    age_ms: int


@attrs.frozen
class KeyHandover:
    """Finished jobs of a leaving owner.

    Attributes:
        batch: Number of the batch, which the addressee confirms.
    """

    rows: list[FinishedKey]
    batch: int = 0


@attrs.frozen
class HandoverReceived:
    """Confirms a batch of finished jobs."""

    batch: int


@attrs.frozen
class PlaceTasks:
    """Tasks from their owner to a home.

    Attributes:
        home_number: Incarnation number of the addressee. Another incarnation must not
            answer: it does not know what the earlier one has started.
    """

    tasks: list[PlacedTask]
    home_number: int = 0


@attrs.frozen
class RecallTasks:
    """Asks a home to give back tasks that it has not sent to an agent."""

    tasks: list[OwnedTask]


@attrs.frozen
class ReconcileTasks:
    """Asks agents to block attempts whose home was lost, unless they started.

    An owner sends it to homes, and each home to its agents of the service.
    """

    service: str
    tasks: list[OwnedTask]


@attrs.frozen
class ReconcileReply:
    """Attempts that an agent has blocked: it has not started them and never will."""

    agent: Incarnation
    owner: Incarnation
    blocked: list[OwnedTask]


Message = (
    AgentHello
    | AgentHeartbeat
    | HeartbeatReply
    | AgentView
    | StartTasks
    | CancelTasks
    | TaskResults
    | CensusRequest
    | CensusReply
    | PeerHeartbeat
    | RecordsTail
    | ForwardJob
    | JobAsked
    | CancelJob
    | JobAnswer
    | KeyQuery
    | KeyReply
    | KeyHandover
    | HandoverReceived
    | StateRequest
    | ControlSnapshot
    | PlaceTasks
    | RecallTasks
    | ReconcileTasks
    | ReconcileReply
)
