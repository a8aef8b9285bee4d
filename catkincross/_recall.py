"""Recall of tasks that wait at one home while another has free slots."""

from __future__ import annotations

from itertools import islice

from ._entry_registry import ENTRY
from ._entry_rows import TaskPhase
from ._entry_state import EntryState
from ._home import decline
from ._home_choice import home_index, refresh_own
from ._home_index import HomeIndex, HomeRow
from ._ids import entry_process
from ._messages import OwnedTask, Reason, RecallTasks
from ._owner import task_row

# A recall costs a round trip and a new placement.
ROUND_TRIPS_SAVED = 4


@ENTRY.handles(RecallTasks)
def _tasks_recalled(state: EntryState, sender: str, message: RecallTasks) -> None:
    give_back(state, message.tasks)


def give_back(state: EntryState, tasks: list[OwnedTask]) -> None:
    """Decline the tasks that have not been sent to an agent."""
    for owned in tasks:
        if owned in state.home_queue:
            decline(state, state.home_tasks.rows[owned], Reason.RECALLED)


@ENTRY.system(order=420)
def _recall_queued(state: EntryState) -> None:
    services, state.dispatch.reported = state.dispatch.reported, {}
    for service in services:
        if not state.dispatch.backlog.get(service):
            index = home_index(state, service)
            refresh_own(state, service, index)
            _recall_for_service(state, index)


def _recall_for_service(state: EntryState, index: HomeIndex) -> None:
    best = index.rows[index.order[0][-1]] if index.order else None
    if best is None or best.unused <= 0:
        return
    spare = best.unused
    for row in list(index.rows.values()):
        if spare <= 0:
            return
        saved_ms = ROUND_TRIPS_SAVED * 2 * max(best.distance_ms, row.distance_ms, 0.5)
        if row is best or not row.tasks or not row.queued or row.wait_ms < saved_ms:
            continue
        spare -= _recall(state, row, min(spare, row.queued))


def _recall(state: EntryState, row: HomeRow, count: int) -> int:
    """Ask a home for the tasks placed there last, which wait behind the others."""
    tasks = []
    for task in islice(reversed(row.tasks), count):
        found = task_row(state, task)
        if found is None or found[1].phase is not TaskPhase.PLACED:
            continue
        if row.tasks[task] != found[1].attempts:
            row.tasks[task] = found[1].attempts
            tasks.append(OwnedTask(state.me, task, found[1].attempts))
    if not tasks:
        return 0
    if row.own:
        give_back(state, tasks)
    else:
        state.send(entry_process(row.name), RecallTasks(tasks))
    return len(tasks)


@ENTRY.system(order=455)
def _give_back_without_slots(state: EntryState) -> None:
    """Decline what waits for a service whose upstreams here are all out of service."""
    services, state.dispatch.slotless = state.dispatch.slotless, {}
    for service in services:
        for key in list(state.dispatch.lanes[service].places):
            decline(state, state.home_tasks.rows[key], Reason.NO_SLOT)
