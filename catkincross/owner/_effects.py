"""Effects: what the owner's core asks its daemon to do."""

from __future__ import annotations

from typing import Any

import attrs

from ..peers import Answer


@attrs.frozen
class ClaimShard:
    """Fence earlier owners of a shard, then read all of its records.

    Attributes:
        shard: Number of the shard.
        epoch: Epoch of the new owner.
    """

    shard: int
    epoch: int


@attrs.frozen
class Append:
    """Append records to a shard's log.

    Attributes:
        shard: Number of the shard.
        epoch: Epoch of the owner.
        sequence: Number of the append within the epoch; a repeat has the same number,
            so that the log takes the records once.
        records: Encoded records.
        delay_ms: Pause before the append is sent, in milliseconds; above 0 only for a
            repeat.
    """

    shard: int
    epoch: int
    sequence: int
    records: tuple[bytes, ...]
    delay_ms: int = 0


@attrs.frozen
class BroadcastToEntries:
    """Send a message to all other connected entries."""

    message: Any


@attrs.frozen
class Reply:
    """Answer a request.

    Attributes:
        request: The request, as it was passed to the core.
        answer: The answer; its request number is not set.
    """

    request: Any
    answer: Answer


@attrs.frozen
class SendToAgent:
    """Send a message to an agent.

    Attributes:
        agent: Name of the agent.
        content: The message.
    """

    agent: str
    content: Any


@attrs.frozen
class Note:
    """Write an event to the log.

    Attributes:
        event: Name of the event.
        fields: Fields of the event.
    """

    event: str
    fields: dict[str, Any]


Effect = ClaimShard | Append | Reply | SendToAgent | Note
