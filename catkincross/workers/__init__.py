"""Core of the agent, the only process that starts and stops runs on its worker."""

from __future__ import annotations

from ._core import WorkerCore
from ._effects import Note, SendToEntry, StartRun, StopRun
from ._limits import WorkerLimits
from ._worker_messages import (
    LeaseRenewal,
    LeaseRenewalReply,
    Registration,
    StartOutcome,
)

__all__ = [
    "StartRun",
    "StopRun",
    "LeaseRenewal",
    "LeaseRenewalReply",
    "Note",
    "Registration",
    "StartOutcome",
    "SendToEntry",
    "WorkerCore",
    "WorkerLimits",
]
