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
        worker: Identity of the worker for which the order was made.
        order: Number of the order, which no other order of this agent process has.
    """

    task: str
    run: int
    payload: str
    checkpoint: str
    until_ms: int
    fence: int
    worker: str = ""
    order: int = 0


@attrs.frozen
class StopRun:
    """Order the worker to stop a run.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        fence: Fencing token of the call.
        worker: Identity of the worker that has the run; empty if no worker has
            registered yet, for whichever is there.
    """

    task: str
    run: int
    fence: int
    worker: str = ""


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
