"""Core of the agent, the only process that starts and stops runs on its worker."""

from __future__ import annotations

from ._core import CLOCK_ERROR, WorkerCore
from ._effects import CallStart, CallStop, Note, ToEntry
from ._state import (
    HoldCall,
    HoldView,
    Registration,
    StartOutcome,
    WorkerLimits,
)

__all__ = [
    "CLOCK_ERROR",
    "CallStart",
    "CallStop",
    "HoldCall",
    "HoldView",
    "Note",
    "Registration",
    "StartOutcome",
    "ToEntry",
    "WorkerCore",
    "WorkerLimits",
]
