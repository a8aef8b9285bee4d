"""Messages between the system's own processes, and the links that carry them."""

from __future__ import annotations

from ._link import Link, connect, serve_links
from ._messages import (
    AgentState,
    Answer,
    Ask,
    EndedRun,
    Ends,
    Greeting,
    Lease,
    Logged,
    Members,
    NotStarted,
    PendingCounts,
    Progress,
    Report,
    RunningTask,
    Sizes,
    Start,
    Stop,
    VolatileJobs,
    decode_message,
    encode_message,
)

__all__ = [
    "AgentState",
    "Answer",
    "Ask",
    "EndedRun",
    "Ends",
    "Greeting",
    "Lease",
    "Link",
    "Logged",
    "Members",
    "NotStarted",
    "PendingCounts",
    "Progress",
    "Report",
    "RunningTask",
    "Sizes",
    "Start",
    "Stop",
    "VolatileJobs",
    "connect",
    "decode_message",
    "encode_message",
    "serve_links",
]
