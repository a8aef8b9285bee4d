"""Effects that the agent's core returns for its daemon to carry out."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen
class StartRun:
    """Order the worker to start a run.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        payload: Text that the task receives.
        checkpoint: Checkpoint to resume from; empty for none.
        until_ms: End of the lease on the worker's clock.
        fence: Fencing token of the call.
    """

    task: str
    run: int
    payload: str
    checkpoint: str
    until_ms: int
    fence: int


@attrs.frozen
class StopRun:
    """Order the worker to stop a run.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        fence: Fencing token of the call.
    """

    task: str
    run: int
    fence: int


@attrs.frozen
class SendToEntry:
    """Send a message to an entry.

    Attributes:
        entry: Address of the link to the entry.
        message: One of the messages in `peers`.
    """

    entry: str
    message: Any


@attrs.frozen
class Note:
    """Write a log line.

    Attributes:
        event: Name of the event.
        fields: Inputs and outcome of the event, by field name.
    """

    event: str
    fields: dict[str, Any]


Effect = StartRun | StopRun | SendToEntry | Note
