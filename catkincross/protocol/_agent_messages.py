"""Messages between agents and entries, and starts and results of tasks."""

from __future__ import annotations

import attrs

from ..foundation._ids import Incarnation
from ._message_parts import (
    CapacitySummary,
    OwnedTask,
    RosterEntry,
    TaskResult,
    TaskStart,
)


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
