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

# A recall costs three messages. Most tasks that have waited less than this share of a
# run time start before the recall arrives.
LEAST_WAIT_SHARE = 0.5
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
            least_ms = LEAST_WAIT_SHARE * state.dispatch.mean_run_ms(service)
            _recall_for_service(state, index, least_ms)


def _recall_for_service(state: EntryState, index: HomeIndex, least_ms: float) -> None:
    best = index.rows[index.order[0][-1]] if index.order else None
    if best is None or best.unused <= 0:
        return
    spare = best.unused
    for row in list(index.rows.values()):
        if spare <= 0:
            return
        if row is best or not row.tasks or not row.queued:
            continue
        trip_ms = 2 * max(best.distance_ms, row.distance_ms, 0.5)
        wait_ms = max(ROUND_TRIPS_SAVED * trip_ms, least_ms)
        spare -= _recall(state, row, min(spare, row.queued), wait_ms)


def _recall(state: EntryState, row: HomeRow, count: int, wait_ms: float) -> int:
    """Ask a home for the tasks placed there last, which wait behind the others."""
    tasks = []
    for task in islice(reversed(row.tasks), count):
        found = task_row(state, task)
        if found is None or found[1].phase is not TaskPhase.PLACED:
            continue
        if state.now_ms - found[1].placed_ms < wait_ms:
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
