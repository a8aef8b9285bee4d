"""Messages between the processes of the system.

Each class has a protobuf message with the same name and field names in
`proto/catkincross/wire_pb/catkincross.proto`. Times are in milliseconds. The
description of a field `..._ms` that holds a point in time names its clock.
"""

from __future__ import annotations

from ._agent_messages import (
    AgentHeartbeat,
    AgentHello,
    AgentView,
    CancelTasks,
    CensusReply,
    CensusRequest,
    HeartbeatReply,
    StartTasks,
    TaskResults,
)
from ._entry_messages import (
    ControlSnapshot,
    DrainReport,
    ObservedVersion,
    PeerHeartbeat,
    RecordsTail,
    StateRequest,
)
from ._job_messages import (
    CancelJob,
    FinishedKey,
    ForwardJob,
    HandoverReceived,
    JobAnswer,
    JobAsked,
    KeyHandover,
    KeyQuery,
    KeyReply,
    PlaceTasks,
    ReconcileReply,
    ReconcileTasks,
)
from ._message_parts import (
    NO_EVIDENCE,
    CapacitySummary,
    JobState,
    LogRecord,
    OwnedTask,
    PlacedTask,
    Reason,
    RosterEntry,
    TaskResult,
    TaskSpec,
    TaskStart,
    TaskStatus,
    TeamUsage,
    Truth,
)

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
    | ReconcileTasks
    | ReconcileReply
)

__all__ = [
    "AgentHeartbeat",
    "AgentHello",
    "AgentView",
    "CancelJob",
    "CancelTasks",
    "CapacitySummary",
    "CensusReply",
    "CensusRequest",
    "ControlSnapshot",
    "DrainReport",
    "FinishedKey",
    "ForwardJob",
    "HandoverReceived",
    "HeartbeatReply",
    "JobAnswer",
    "JobAsked",
    "JobState",
    "KeyHandover",
    "KeyQuery",
    "KeyReply",
    "LogRecord",
    "NO_EVIDENCE",
    "ObservedVersion",
    "OwnedTask",
    "PeerHeartbeat",
    "PlaceTasks",
    "PlacedTask",
    "Reason",
    "ReconcileReply",
    "ReconcileTasks",
    "RecordsTail",
    "RosterEntry",
    "StartTasks",
    "StateRequest",
    "TaskResult",
    "TaskResults",
    "TaskSpec",
    "TaskStart",
    "TaskStatus",
    "TeamUsage",
    "Truth",
    "Message",
]
