"""Rows of the entry's tables."""

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
    """A caller's request at the arrival entry.

    Attributes:
        submission: The submitted job, kept until its end; None for a question.
        query: The question or cancellation if nothing was submitted.
        owner: Name of the entry to which the request was sent.
        owner_number: Incarnation number of that entry.
        internal: The key is this entry's own; no other entry can own it.
        wait: Whether only the final answer is wanted.
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
    """Where a task of a job is, as its owner knows."""

    WAITING = "waiting"
    PLACED = "placed"
    ENDED = "ended"


@attrs.define
class TaskRow:
    """A task of a job at its owner.

    Attributes:
        home: Name of the home that has the task while it is placed.
        home_number: Incarnation number of that home.
        may_have_started: A send of this task was not answered by `not_run`.
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
    """Somebody who waits for a job's end: a request at an arrival entry."""

    entry: str
    request_id: int


@attrs.define
class JobRow:
    """A job at its owner.

    Attributes:
        digest: Hash of the content, to recognize another job under the same key.
        deadline_ms: On this process's clock.
        open_tasks: Tasks that have not ended.
        answer: The final answer; its request id is not set.
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
    """An agent that granted its slots to this entry.

    Attributes:
        hello: Its newest announcement.
        clock_ms: The agent's clock at its newest stamp.
        heard_ms: This entry's clock when the stamp arrived.
        held: Tasks that hold one of its slots.
        sent_view: The view that was sent to it last.
    """

    hello: AgentHello
    clock_ms: int
    heard_ms: int
    view_version: int = 0
    held: set[OwnedTask] = attrs.field(factory=set)
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
        """Return a time that the agent's clock has reached, or slightly less."""
        return self.clock_ms + (now_ms - self.heard_ms)

    @property
    def free(self) -> int:
        """Number of free slots."""
        limit = min(self.hello.slots, self.hello.connections)
        return max(0, limit - len(self.held))


@attrs.define
class HomeTask:
    """A task at its home.

    Attributes:
        owner_process: Process to which the result goes.
        deadline_ms: On this process's clock.
        agent: Name of the agent that has it, or an empty string while it waits.
        agent_incarnation: Incarnation of that agent.
        key: Key of the row.
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
        heartbeat: Its newest heartbeat.
        heard_ms: This entry's clock when that heartbeat arrived.
        capacity: Its capacity by service and data centre.
        refused_ms: Since when its address refuses connections, or None.
        known_ms: When this entry folded its join.
        state_sent_ms: When it was sent the whole control state last.
    """

    incarnation: Incarnation
    known_ms: int = 0
    state_sent_ms: int = -1_000_000
    connected: bool = False
    refused_ms: int | None = None
    heartbeat: PeerHeartbeat | None = None
    heard_ms: int | None = None
    capacity: dict[tuple[str, str], CapacitySummary] = attrs.field(factory=dict)
    teams: dict[str, TeamUsage] = attrs.field(factory=dict)

    @property
    def refused(self) -> bool:
        """Whether its address refuses connections."""
        return self.refused_ms is not None


@attrs.define
class Recovery:
    """Tasks whose home was lost while they were placed on it.

    Attributes:
        unconfirmed_agents: Agents that may still have a task, by attempt.
        due_ms: When they are asked next, or None.
        control_version: Control version up to which lost homes and agents were
            handled.
    """

    unconfirmed_agents: dict[OwnedTask, set[Incarnation]] = attrs.field(factory=dict)
    due_ms: int | None = None
    control_version: int = 0
