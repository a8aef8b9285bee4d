"""Placement: choice of the worker for a task.

Load pattern: many tasks of a job at once on workers that differ in speed and size and
are close to full. A task is placed where it is expected to end first. Among workers of
about the same speed the one with the most free processor capacity is chosen.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from ..jobs import Step

# Workers whose expected run times differ by less than this ratio count as equally fast;
# run times of the same task vary by about as much.
SAME_SPEED_RATIO = 1.1
# Factor of a task's run time away from the rack of its data, until the settings give
# one.
DEFAULT_REMOTE_FACTOR = 1.5


@attrs.define
class AgentRoom:
    """Free and total resources of an agent's worker, as the owner counts them.

    Attributes:
        name: Name of the agent.
        cpu: Free processor capacity in millicores.
        memory_mb: Free memory in MB.
        gpu: Number of free accelerators.
        labels: Labels of the worker: its kind first, then its rack and others.
        slowness: Factor of the run time over that of an ordinary worker.
        cpu_total: Processor capacity in millicores.
        memory_total_mb: Memory in MB.
        gpu_total: Number of accelerators.
    """

    name: str
    cpu: int
    memory_mb: int
    gpu: int
    labels: tuple[str, ...] = ()
    slowness: float = 1.0
    cpu_total: int = 0
    memory_total_mb: int = 0
    gpu_total: int = 0

    def fits(self, needs: Step) -> bool:
        """Whether the free resources are enough for a task; labels are not checked."""
        return (
            needs.cpu <= self.cpu
            and needs.memory_mb <= self.memory_mb
            and needs.gpu <= self.gpu
        )

    def could_fit(self, needs: Step) -> bool:
        """Whether the worker could run a task if it were idle, by size and label."""
        return (
            (not needs.requires or needs.requires in self.labels)
            and needs.cpu <= self.cpu_total
            and needs.memory_mb <= self.memory_total_mb
            and needs.gpu <= self.gpu_total
        )

    def take(self, needs: Step) -> None:
        """Subtract the resources of a task from the free ones."""
        self.cpu -= needs.cpu
        self.memory_mb -= needs.memory_mb
        self.gpu -= needs.gpu


def choose_agent(
    needs: Step,
    rooms: Iterable[AgentRoom],
    *,
    avoid: tuple[str, ...] = (),
    remote_factor: float = DEFAULT_REMOTE_FACTOR,
) -> AgentRoom | None:
    """Return the worker on which to place a task, or None if it fits on none now.

    Args:
        needs: Resources and constraints of the task.
        rooms: Workers that may run the task; none of them is changed.
        avoid: Names of agents to choose only if the task fits on no other.
        remote_factor: Factor of the run time away from the rack of the task's data.
    """
    best: AgentRoom | None = None
    best_key: tuple[bool, float] = (True, 0.0)
    for room in rooms:
        if not room.fits(needs):
            continue
        if needs.requires and needs.requires not in room.labels:
            continue
        slowness = room.slowness
        if needs.data_rack and needs.data_rack not in room.labels:
            slowness *= remote_factor
        key = (room.name in avoid, slowness)
        if best is None or _is_better(key, room, best_key, best):
            best, best_key = room, key
    return best


def _is_better(
    key: tuple[bool, float],
    room: AgentRoom,
    best_key: tuple[bool, float],
    best: AgentRoom,
) -> bool:
    """Whether a worker is a better choice than the best one so far.

    Keys hold whether the worker is to be avoided, and its expected slowness.
    """
    if key[0] != best_key[0]:
        return best_key[0]
    if key[1] * SAME_SPEED_RATIO < best_key[1]:
        return True
    if best_key[1] * SAME_SPEED_RATIO < key[1]:
        return False
    return room.cpu > best.cpu
