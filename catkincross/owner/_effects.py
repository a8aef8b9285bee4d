"""What the owner's decisions ask its daemon to do."""

from __future__ import annotations

import enum
from typing import Any

import attrs

from ..peers import Answer


class AppendOutcome(enum.Enum):
    """What became of an append to a shard's log."""

    DONE = "done"
    # Nothing was appended; the same append may be sent again.
    BUSY = "busy"
    # The append may have been carried out; the same one is sent again.
    UNKNOWN = "unknown"
    # A later epoch writes the shard.
    FENCED = "fenced"


@attrs.frozen
class Claim:
    """Fence earlier owners of a shard, then read all of its records."""

    shard: int
    epoch: int


@attrs.frozen
class Append:
    """Append records to a shard's log.

    Attributes:
        shard: The shard.
        epoch: Epoch of the owner.
        sequence: Number of the append in the epoch; a repeat has the same.
        records: The records.
        wait_ms: Pause before the append is sent.
    """

    shard: int
    epoch: int
    sequence: int
    records: tuple[bytes, ...]
    wait_ms: int = 0


@attrs.frozen
class Reply:
    """Answer a request."""

    request: Any
    answer: Answer


@attrs.frozen
class Tell:
    """Send a message to an agent."""

    agent: str
    content: Any


@attrs.frozen
class Note:
    """Write a log line.

    Attributes:
        event: What happened.
        fields: Its inputs and outcome.
    """

    event: str
    fields: dict[str, Any]


Effect = Claim | Append | Reply | Tell | Note
