"""Row types of the tables in `EntryState`."""

from __future__ import annotations

from enum import StrEnum

import attrs

from ..foundation._ids import Incarnation, TaskId
from ..protocol._messages import (
    AgentHello,
    AgentView,
    CancelJob,
    CapacitySummary,
    JobAnswer,
    JobAsked,
    JobState,
    OwnedTask,
    PeerHeartbeat,
    PlacedTask,
    Reason,
    TaskResult,
    TaskSpec,
    TeamUsage,
)


@attrs.define
class RequestRow:
    """A caller's request at its arrival entry, the entry that received it.

    Attributes:
        request_id: Number of the request at this entry.
        deadline_ms: Deadline of a submitted job on this entry's clock; 0 for a query.
        submission: The submitted job, kept until it is answered; None for a query.
        query: The query or cancellation; None for a submitted job.
        owner: Name of the entry to which the request was sent; empty while the
            roster has no owner.
        owner_number: Incarnation number of the owner; 0 if there is none.
        internal: Whether this entry generated the key; it then owns the job itself.
        wait: Whether the answer is sent only when the job has ended.
    """

    request_id: int
    key: str
    key_hash: bytes
    deadline_ms: int
    submission: object | None = None
    owner: str = ""
    wait: bool = True
    query: JobAsked | CancelJob | None = None
    owner_number: int = 0
    internal: bool = False


class TaskPhase(StrEnum):
    """Phase of a task as its owner knows it."""

    WAITING = "waiting"
    PLACED = "placed"
    ENDED = "ended"


@attrs.define
class TaskRow:
    """A task of a job at its owner.

    Attributes:
        home: Name of the home of the latest attempt.
        home_number: Incarnation number of the home of the latest attempt.
        placed_ms: This entry's clock at the latest placement.
        attempts: Number of attempts; the latest attempt has this number.
        may_have_started: Whether an attempt was sent and not reported as `not_run`.
        result: Final result; before that, the result of the latest failed attempt,
            or None.
    """

    task: TaskId
    spec: TaskSpec
    phase: TaskPhase = TaskPhase.WAITING
    home: str = ""
    home_number: int = 0
    placed_ms: int = 0
    attempts: int = 0
    may_have_started: bool = False
    result: TaskResult | None = None


@attrs.define
class Waiter:
    """A request that waits for the answer of a job.

    Attributes:
        entry: Name of the arrival entry.
        request_id: Number of the request at the arrival entry.
    """

    entry: str
    request_id: int


@attrs.define
class JobRow:
    """A job at its owner.

    Attributes:
        digest: Hash of the job's content, to detect another job under the same key.
        deadline_ms: Deadline on this entry's clock.
        accepted_ms: This entry's clock when the job was admitted.
        open_tasks: Number of tasks that have not ended.
        cancelling: Why the remaining tasks are cancelled, or `Reason.NONE`.
        waiters: Requests to which the final answer is sent.
        answer: The final answer with request ID 0; None while the job is open.
    """

    key: str
    key_hash: bytes
    digest: bytes
    team: str
    service: str
    tasks: list[TaskRow]
    deadline_ms: int
    accepted_ms: int
    idempotent: bool = False
    interactive: bool = False
    state: JobState = JobState.QUEUED
    open_tasks: int = 0
    cancelling: Reason = Reason.NONE
    waiters: list[Waiter] = attrs.field(factory=list)
    answer: JobAnswer | None = None


@attrs.define
class AgentRow:
    """An agent that granted its slots to this entry, its home.

    Attributes:
        hello: The agent's latest hello.
        clock_ms: The agent's clock in its latest hello or heartbeat.
        last_heard_ms: This entry's clock when the latest hello or heartbeat arrived.
        view_version: Control version of the agent's view in its latest heartbeat.
        assigned_tasks: Tasks that occupy a slot of the agent.
        memory_used_mb: Memory in use, as reported by the agent.
        cpu_permille: CPU load in thousandths, as reported by the agent.
        draining_confirmed: Whether the agent has reported that it drains.
        running_reported: Number of running tasks that the agent reported.
        leaving: Whether the agent has announced a planned leave.
        connected: Whether the agent's stream is open.
        sent_view: The view that was last sent to the agent.
    """

    hello: AgentHello
    clock_ms: int
    last_heard_ms: int
    view_version: int = 0
    assigned_tasks: set[OwnedTask] = attrs.field(factory=set)
    memory_used_mb: int = 0
    cpu_permille: int = 0
    draining_confirmed: bool = False
    running_reported: int = 0
    leaving: bool = False
    connected: bool = True
    sent_view: AgentView | None = None

    @property
    def name(self) -> str:
        """Name of the agent."""
        return self.hello.agent.name

    def agent_time_ms(self, now_ms: int) -> int:
        """Return a lower bound of the agent's clock; it lags by the message delay."""
        return self.clock_ms + (now_ms - self.last_heard_ms)

    @property
    def free(self) -> int:
        """Number of free slots, limited by the agent's connections to its upstream."""
        limit = min(self.hello.slots, self.hello.connections)
        return max(0, limit - len(self.assigned_tasks))


@attrs.define
class HomeTask:
    """A task at its home.

    Attributes:
        owner_process: Process to which the result is sent.
        deadline_ms: Deadline on this entry's clock.
        accepted_ms: This entry's clock when the task arrived.
        agent: Name of the agent to which the task was sent; empty while it is queued.
        agent_incarnation: Incarnation of the agent; None while the task is queued.
        sent_ms: This entry's clock when the task was sent to the agent.
        ended_ms: This entry's clock at the end of the task; None while it is open.
        key: Key of this row in `home_tasks`.
    """

    placed: PlacedTask
    owner_process: str
    deadline_ms: int
    accepted_ms: int
    agent: str = ""
    agent_incarnation: Incarnation | None = None
    start_by_ms: int = 0
    sent_ms: int = 0
    result: TaskResult | None = None
    ended_ms: int | None = None
    key: OwnedTask = attrs.field(init=False)

    @key.default
    def _key(self) -> OwnedTask:
        return OwnedTask(self.placed.owner, self.placed.task, self.placed.attempt)


@attrs.define
class PeerRow:
    """Another entry of the region.

    Attributes:
        join_folded_ms: This entry's clock when it folded the peer's join.
        state_sent_ms: This entry's clock when it last sent the peer the whole control
            state.
        connected: Whether the stream to the peer is open.
        refused_ms: Since when the peer's address refuses connections, or None.
        heartbeat: The peer's latest heartbeat.
        last_heard_ms: This entry's clock when the peer's latest heartbeat arrived.
        capacity: The peer's capacity by service and data centre.
        teams: The peer's use of slots by team.
    """

    incarnation: Incarnation
    join_folded_ms: int = 0
    state_sent_ms: int = -1_000_000
    connected: bool = False
    refused_ms: int | None = None
    heartbeat: PeerHeartbeat | None = None
    last_heard_ms: int | None = None
    capacity: dict[tuple[str, str], CapacitySummary] = attrs.field(factory=dict)
    teams: dict[str, TeamUsage] = attrs.field(factory=dict)

    @property
    def refused(self) -> bool:
        """Whether the peer's address refuses connections."""
        return self.refused_ms is not None


@attrs.define
class Recovery:
    """Reconciliation of tasks that were placed on a home that has ended.

    Attributes:
        unconfirmed_agents: Agents that have not confirmed that they block an
            attempt, by attempt.
        due_ms: When the unconfirmed agents are queried next, or None.
        control_version: Control version up to which ended homes and agents were
            handled.
    """

    unconfirmed_agents: dict[OwnedTask, set[Incarnation]] = attrs.field(factory=dict)
    due_ms: int | None = None
    control_version: int = 0
