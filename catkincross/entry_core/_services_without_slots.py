"""Return of queued tasks to their owners when a home has no usable slot."""

from __future__ import annotations

from ..protocol._messages import Reason
from ._entry_registry import ENTRY
from ._entry_state import EntryState
from ._home import decline_task


@ENTRY.system(order=455)
def _decline_without_slots(state: EntryState) -> None:
    """Decline the queued tasks of services whose upstreams here are out of service."""
    services, state.dispatch.services_without_slots = (
        state.dispatch.services_without_slots,
        {},
    )
    for service in services:
        for key in list(state.dispatch.home_queues[service].positions):
            decline_task(state, state.home_tasks.rows[key], Reason.NO_SLOT)
