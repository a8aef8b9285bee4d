"""What the agent's decisions ask its daemon to do."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen
class CallStart:
    """Order the worker to start a run.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        payload: Text for the task.
        checkpoint: Checkpoint to resume from; empty for none.
        until_ms: End of the lease on the worker's clock.
        fence: Fencing token of the order.
    """

    task: str
    run: int
    payload: str
    checkpoint: str
    until_ms: int
    fence: int


@attrs.frozen
class CallStop:
    """Order the worker to stop a run."""

    task: str
    run: int
    fence: int


@attrs.frozen
class ToEntry:
    """Send a message to an entry."""

    entry: str
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


Effect = CallStart | CallStop | ToEntry | Note
