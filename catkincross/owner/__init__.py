"""Owner of jobs: each shard has one entry as owner, fenced by the shard's epoch."""

from __future__ import annotations

from ..jobs import AppendOutcome
from ._core import OwnerCore
from ._effects import (
    Append,
    BroadcastToEntries,
    ClaimShard,
    Note,
    Reply,
    SendToAgent,
)
from ._limits import OwnerLimits
from ._shard import Shard, ShardPhase

__all__ = [
    "Append",
    "AppendOutcome",
    "BroadcastToEntries",
    "ClaimShard",
    "Note",
    "OwnerCore",
    "OwnerLimits",
    "Reply",
    "SendToAgent",
    "Shard",
    "ShardPhase",
]
