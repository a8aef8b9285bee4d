"""Return of queued tasks to their owners, on request or without a slot in service."""

from __future__ import annotations

from ._entry_registry import ENTRY
from ._entry_state import EntryState
from ._home import decline
from ._messages import Reason, RecallTasks


@ENTRY.handles(RecallTasks)
def _tasks_recalled(state: EntryState, sender: str, message: RecallTasks) -> None:
    for owned in message.tasks:
        if owned in state.home_queue:
            decline(state, state.home_tasks.rows[owned], Reason.RECALLED)


@ENTRY.system(order=455)
def _give_back_without_slots(state: EntryState) -> None:
    """Decline what waits for a service whose upstreams here are all out of service."""
    services, state.dispatch.slotless = state.dispatch.slotless, {}
    for service in services:
        for key in list(state.dispatch.lanes[service].places):
            decline(state, state.home_tasks.rows[key], Reason.NO_SLOT)
