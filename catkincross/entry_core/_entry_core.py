"""Decision core of the entry: the arrival, owner and home roles in one process."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from ..protocol._core import Core
from ..protocol._effects import Effect

# Importing these modules registers their handlers and systems.
from . import (  # noqa: F401
    _appends,
    _arrival,
    _census,
    _entry_heartbeats,
    _held_requests,
    _home,
    _home_agents,
    _key_queries,
    _leave,
    _membership,
    _outage,
    _owner,
    _restrictions,
    _services_without_slots,
    _snapshots,
    _stragglers,
    _suspicion,
    _task_recovery,
)
from ._entry_registry import ENTRY
from ._entry_state import EntryState


class EntryCore(Core[EntryState]):
    """Decision core of an entry; it does no I/O and has no clock of its own."""

    registry = ENTRY

    def __repr__(self) -> str:
        return f"<EntryCore {self.state.incarnation or self.state.name}>"

    def step(self, now_ms: int, inbox: Sequence[Any]) -> list[Effect]:
        """Handle a batch of inbox items; see `Core.step`."""
        self.state.timers.pop_due(now_ms)
        return super().step(now_ms, inbox)

    def next_step_ms(self) -> int | None:
        """Return the time in ms at which the core must step even without an event."""
        state = self.state
        due = [
            state.heartbeat_due_ms,
            # Systems that run late in a step may leave these for the next step.
            state.now_ms if state.owner_results or state.unqueued_tasks else None,
            state.dispatch.next_due_ms(),
            state.request_due.next_due_ms(),
            state.job_due.next_due_ms(),
            state.home_due.next_due_ms(),
            state.recovery.due_ms,
            state.timers.next_due_ms(),
        ]
        return min(due_ms for due_ms in due if due_ms is not None)


@ENTRY.system(order=1_000)
def _flush_batches(state: EntryState) -> None:
    state.flush_batches()
