"""Messages between the system's own processes, and the links that carry them."""

from __future__ import annotations

from ._agent_messages import (
    ANOTHER_RUN,
    AgentState,
    EndedRun,
    Ends,
    Greeting,
    Lease,
    Logged,
    NotStarted,
    Progress,
    Report,
    RunningTask,
    Sizes,
    Start,
    Stop,
    WorkerProfile,
)
from ._codec import decode_message, encode_message
from ._directory import STORE_SOURCE, EntryDirectory, announcement
from ._entry_messages import (
    Answer,
    Ask,
    Backlog,
    DeclarationsHeld,
    DeclarationsWanted,
    LostVolatileJobs,
    Members,
    ReportTo,
    SeekAgents,
    VolatileJobs,
)
from ._link import Link, connect, serve_links

__all__ = [
    "ANOTHER_RUN",
    "AgentState",
    "Answer",
    "Ask",
    "DeclarationsHeld",
    "DeclarationsWanted",
    "EndedRun",
    "Ends",
    "EntryDirectory",
    "Greeting",
    "Lease",
    "Link",
    "Logged",
    "LostVolatileJobs",
    "Members",
    "NotStarted",
    "Backlog",
    "Progress",
    "Report",
    "ReportTo",
    "STORE_SOURCE",
    "SeekAgents",
    "RunningTask",
    "Sizes",
    "Start",
    "Stop",
    "VolatileJobs",
    "WorkerProfile",
    "announcement",
    "connect",
    "decode_message",
    "encode_message",
    "serve_links",
]
