"""Messages between agents and entries; starts and results of tasks."""

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
    """First message of an agent on a stream.

    An agent sends it again, with `grant_epoch` > 0, to grant its slots to its home.

    Attributes:
        agent: The agent's incarnation.
        slots: Most tasks that the upstream runs at a time.
        connections: Most connections to the upstream.
        cores: Processor cores of the worker.
        memory_mb: Memory of the worker.
        accelerators: Accelerators of the worker.
        grant_epoch: Epoch of the grant of the agent's slots, which grows with each
            choice of a home; 0 if the message grants no slots.
        clock_ms: The agent's clock when the message was sent.
        running: Tasks that hold a slot now.
        leaving: Whether the agent or its upstream is leaving and takes no new tasks.
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
        agent: The agent's incarnation.
        grant_epoch: Epoch of the grant of the agent's slots to the home.
        clock_ms: The agent's clock when the message was sent.
        version: Control version up to which the agent knows every change that
            concerns it.
        running: Number of running tasks.
        memory_used_mb: Memory in use on the worker, as last reported.
        cpu_permille: Processor use of the worker in thousandths, as last reported.
        draining: Whether the agent's data centre or upstream is drained in its view.
        leaving: Whether the agent or its upstream is leaving and takes no new tasks.
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
    """Answer of an entry to a hello or heartbeat.

    Attributes:
        entry: Incarnation of the entry.
        echo_ms: `clock_ms` of the message that is answered, on the agent's clock.
        evidence_age_ms: Age of the entry's evidence of the log's tail when the
            answer was sent, or `NO_EVIDENCE`.
        version: Control version that was the log's tail; the entry's latest
            `AgentView` for this agent includes every change that concerns the agent
            up to this version.
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
        version: Control version of the view.
        entries: Live entries; every other incarnation has ended.
        draining: Whether the agent's data centre or upstream is drained.
        registered: Whether the agent's incarnation is registered in the log.
        home_number: Incarnation number of the entry with which the agent is
            registered as its home; 0 if none.
    """

    version: int
    entries: list[RosterEntry]
    draining: bool
    registered: bool
    home_number: int = 0


@attrs.frozen
class StartTasks:
    """Tasks from a home to its agent, to start at once."""

    starts: list[TaskStart]


@attrs.frozen
class CancelTasks:
    """Asks to stop tasks, or to prevent their start.

    Attributes:
        tasks: The attempts to cancel.
        revoke: Whether to prevent the start only; a running task continues.
    """

    tasks: list[OwnedTask]
    revoke: bool = False


@attrs.frozen
class TaskResults:
    """Results of ended attempts, from an agent to its home or from a home to the owner.

    Attributes:
        results: One result per attempt.
        capacity: Capacity of the sending home for the services of the results; empty
            from an agent.
    """

    results: list[TaskResult]
    capacity: list[CapacitySummary] = attrs.field(factory=list)


@attrs.frozen
class CensusRequest:
    """Asks for the job keys of which a task was started for an ended owner.

    Attributes:
        ended: Incarnation of the ended owner.
        requester: Incarnation of the entry that asks.
    """

    ended: Incarnation
    requester: Incarnation


@attrs.frozen
class CensusReply:
    """Job keys of which a task was started for an ended owner.

    Attributes:
        ended: Incarnation of the ended owner.
        replier: Incarnation of the process that answers.
        keys: Key hashes, 16 bytes each.
        agents: Agent incarnations whose starts the reply includes.
        complete: False while the replier still waits for some of its agents.
    """

    ended: Incarnation
    replier: Incarnation
    keys: list[bytes]
    agents: list[Incarnation]
    complete: bool = True
