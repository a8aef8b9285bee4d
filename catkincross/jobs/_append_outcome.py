"""Outcome of an append of records to a shard's log."""

from __future__ import annotations

import enum


class AppendOutcome(enum.Enum):
    """Outcome of an append to a shard's log."""

    APPENDED = "done"
    # Nothing was appended; the same append is sent again.
    NOT_APPENDED = "busy"
    # The records may be in the log; the same append is sent again.
    UNKNOWN = "unknown"
    # An owner with a later epoch has fenced this one.
    FENCED = "fenced"
