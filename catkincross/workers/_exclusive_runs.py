"""Runs that need a worker without other runs.

Several entries send orders to one worker, so its agent keeps other runs away from an
exclusive run, and keeps a busy worker free of new runs until an exclusive run fits.
"""

from __future__ import annotations

from ..peers import Start
from ._state import WorkerState

# A worker that refused an exclusive run is reserved for it for this long after the
# newest order. Entries repeat the order every 300 ms; if they stop, the reservation
# must not outlast the run of a few tasks.
RESERVATION_MS = 1_000
# A run is exclusive for this long. Tasks that crash their worker do so soon after their
# start, and a task that lasts must not occupy a whole worker for good.
EXCLUSIVE_MS = 5_000


def exclusivity_refusal(state: WorkerState, message: Start) -> str:
    """Return why exclusive runs forbid a start; empty if they do not.

    An exclusive run that is refused because of other runs reserves the worker.
    """
    if _has_exclusive_run(state):
        return "has an exclusive run"
    if state.reserved and state.reserved_for != message.task:
        return "reserved"
    if message.exclusive and state.runs:
        state.reserved_for = message.task
        state.reserved_until_ms = state.now_ms + RESERVATION_MS
        state.mark_states_outdated()
        return "not empty"
    if message.exclusive:
        state.reserved_for = ""
    return ""


def offered_capacity(state: WorkerState) -> tuple[int, int, int]:
    """Return the free millicores, MB and accelerators that entries may use.

    There are none while the worker has an exclusive run or is reserved for one.
    """
    if state.reserved or _has_exclusive_run(state):
        return 0, 0, 0
    return state.free_capacity()


def _has_exclusive_run(state: WorkerState) -> bool:
    return any(
        run.exclusive and state.now_ms < run.ordered_ms + EXCLUSIVE_MS
        for run in state.runs.values()
    )
