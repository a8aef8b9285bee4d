"""Cancellation of placed tasks, batched into one message for each process."""

from __future__ import annotations

from ..foundation._ids import agent_process, entry_process
from ..protocol._messages import CancelTasks, OwnedTask, Reason
from ._entry_registry import ENTRY
from ._entry_state import EntryState
from ._home import decline_task


@ENTRY.handler(CancelTasks)
def _cancel_received(state: EntryState, sender: str, message: CancelTasks) -> None:
    cancel_home_tasks(state, message.tasks, revoke=message.revoke)


def cancel_at_home(state: EntryState, home: str, tasks: list[OwnedTask]) -> None:
    """Cancel tasks of this owner at the home on which they are placed."""
    if home == state.name:
        cancel_home_tasks(state, tasks)
    else:
        state.batches.cancels[entry_process(home), False].extend(tasks)


def cancel_home_tasks(
    state: EntryState, tasks: list[OwnedTask], *, revoke: bool = False
) -> None:
    """Cancel tasks at this home.

    Queued tasks end at once. A task that was sent to an agent is cancelled there.

    Args:
        state: The entry's state.
        tasks: Tasks to cancel; unknown and ended ones are ignored.
        revoke: Whether agents only prevent starts and let running tasks go on.
    """
    for owned in tasks:
        row = state.home_tasks.get(owned)
        if row is None or row.result is not None:
            continue
        if row.agent:
            state.batches.cancels[agent_process(row.agent), revoke].append(owned)
        else:
            decline_task(state, row, Reason.CANCELLED)
