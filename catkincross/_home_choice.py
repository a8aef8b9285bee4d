"""The owner's choice of a home for each task."""

from __future__ import annotations

from collections import defaultdict

import attrs

from ._entry_state import EntryState
from ._home_capacity import capacity_summaries
from ._ids import TaskId


def choose_homes(state: EntryState, tasks: list[TaskId]) -> dict[str, list[TaskId]]:
    """Return the tasks to place now, by home.

    Args:
        state: The entry's state.
        tasks: Waiting tasks in the order in which they should be placed.

    Returns:
        Tasks by name of the home; tasks left out go on waiting.
    """
    free: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
    for summary in capacity_summaries(state):
        free[summary.service][state.name] += summary.free
    for name, peer in state.peers.rows.items():
        if peer.connected:
            for summary in peer.capacity.values():
                free[summary.service][name] += summary.free
    chosen: dict[str, list[TaskId]] = defaultdict(list)
    for task in tasks:
        job = state.jobs.get(task.key_hash)
        if job is None:
            continue
        homes = free[job.service]
        best = max(
            homes, key=lambda name: (homes[name], name == state.name), default=None
        )
        if homes.get(state.name, 0) > 0:
            best = state.name
        if best is not None and homes[best] > 0:
            homes[best] -= 1
            chosen[best].append(task)
    for name, placed in chosen.items():
        _use_up(state, name, placed)
    return chosen


def _use_up(state: EntryState, name: str, tasks: list[TaskId]) -> None:
    """Count the placed tasks against the peer's capacity until it reports again."""
    peer = state.peers.get(name)
    if peer is None:
        return
    for task in tasks:
        service = state.jobs.rows[task.key_hash].service
        for key, summary in peer.capacity.items():
            if key[0] == service and summary.free > 0:
                peer.capacity[key] = attrs.evolve(summary, free=summary.free - 1)
                break
