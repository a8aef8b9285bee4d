"""Owner of jobs: each shard has one entry as owner, fenced by the shard's epoch."""

from __future__ import annotations

from ._core import OwnerCore, OwnerLimits
from ._effects import Append, AppendOutcome, Claim, Note, Reply, Tell
from ._shard import Shard, ShardPhase

__all__ = [
    "Append",
    "AppendOutcome",
    "Claim",
    "Note",
    "OwnerCore",
    "OwnerLimits",
    "Reply",
    "Shard",
    "ShardPhase",
    "Tell",
]
