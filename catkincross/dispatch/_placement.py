"""Placement: choice of the worker for a task.

Load pattern: many tasks of a job at once on workers that differ in speed and size and
are close to full. A task is placed where it is expected to end first. Among workers of
about the same speed the one with the most free processor capacity is chosen.

Several entries see the capacity that the end of a run frees at about the same time, and
the first order gets it. A deferred task of one entry would thus displace a task of
another one that can still be in time. On workers that other entries use too, deferred
tasks get only capacity that no entry has used for a while.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from ..jobs import Step

# Workers whose expected run times differ by less than this ratio count as equally fast;
# run times of the same task vary by about as much.
SAME_SPEED_RATIO = 1.1
# Run time of a task away from the rack of its data, as a multiple of its run time
# there, until the settings give one.
DEFAULT_REMOTE_FACTOR = 1.5


@attrs.define
class AgentResources:
    """Free and total resources of an agent's worker, as the owner counts them.

    Attributes:
        name: Name of the agent.
        cpu_free: Free processor capacity in millicores.
        memory_free_mb: Free memory in MB.
        gpu_free: Number of free accelerators.
        labels: Labels of the worker: its kind first, then its rack and others.
        slowdown: Factor of the run time over that of an ordinary worker.
        cpu_total: Processor capacity in millicores.
        memory_total_mb: Memory in MB.
        gpu_total: Number of accelerators.
        cpu_recent: Part of the free processor capacity that has become free too
            recently for deferred tasks, in millicores.
        run_count: Number of runs on the worker and of orders on their way to it.
    """

    name: str
    cpu_free: int
    memory_free_mb: int
    gpu_free: int
    labels: tuple[str, ...] = ()
    slowdown: float = 1.0
    cpu_total: int = 0
    memory_total_mb: int = 0
    gpu_total: int = 0
    cpu_recent: int = 0
    run_count: int = 0

    def fits(self, step_spec: Step) -> bool:
        """Whether the free resources are enough for a task; labels are not checked."""
        return (
            step_spec.cpu <= self.cpu_free
            and step_spec.memory_mb <= self.memory_free_mb
            and step_spec.gpu <= self.gpu_free
        )

    def fits_when_idle(self, step_spec: Step) -> bool:
        """Whether the worker could run a task if it were idle, by size and label."""
        return (
            (not step_spec.requires or step_spec.requires in self.labels)
            and step_spec.cpu <= self.cpu_total
            and step_spec.memory_mb <= self.memory_total_mb
            and step_spec.gpu <= self.gpu_total
        )

    def allocate(self, step_spec: Step) -> None:
        """Subtract the resources of a task from the free ones."""
        self.cpu_free -= step_spec.cpu
        self.memory_free_mb -= step_spec.memory_mb
        self.gpu_free -= step_spec.gpu
        self.run_count += 1


def choose_agent(
    step_spec: Step,
    candidates: Iterable[AgentResources],
    *,
    avoided_agents: tuple[str, ...] = (),
    remote_factor: float = DEFAULT_REMOTE_FACTOR,
    deferred: bool = False,
    prefer_empty: bool = False,
    suspect_agents: Collection[str] = (),
) -> AgentResources | None:
    """Return the worker on which to place a task, or None if it fits on none now.

    Args:
        step_spec: Resources and constraints of the task.
        candidates: Workers that may run the task; none of them is changed.
        avoided_agents: Names of agents to choose only if the task fits on no other.
        remote_factor: Run time away from the rack of the task's data, as a multiple of
            the run time there.
        deferred: Whether the task is deferred, and must leave recently freed capacity
            to tasks that can be in time.
        prefer_empty: Whether to prefer workers without other runs to faster ones.
        suspect_agents: Names of agents that have a run of a task under which a worker
            has crashed; they are chosen before the avoided ones, after all others.
    """
    best: AgentResources | None = None
    best_key: tuple[int, float] = (0, 0.0)
    for candidate in candidates:
        if not candidate.fits(step_spec):
            continue
        if deferred and step_spec.cpu > candidate.cpu_free - candidate.cpu_recent:
            continue
        if step_spec.requires and step_spec.requires not in candidate.labels:
            continue
        slowdown = candidate.slowdown
        if step_spec.data_rack and step_spec.data_rack not in candidate.labels:
            slowdown *= remote_factor
        rank = 4 * (candidate.name in avoided_agents)
        rank += 2 * (candidate.name in suspect_agents)
        rank += prefer_empty and candidate.run_count > 0
        key = (rank, slowdown)
        if best is None or _is_better(key, candidate, best_key, best):
            best, best_key = candidate, key
    return best


def _is_better(
    key: tuple[int, float],
    candidate: AgentResources,
    best_key: tuple[int, float],
    best: AgentResources,
) -> bool:
    """Whether a worker is a better choice than the best one so far.

    Keys hold a rank, of which a lower one is better, and the expected slowdown. Workers
    to be avoided have a higher rank than all others.
    """
    if key[0] != best_key[0]:
        return key[0] < best_key[0]
    if key[1] * SAME_SPEED_RATIO < best_key[1]:
        return True
    if best_key[1] * SAME_SPEED_RATIO < key[1]:
        return False
    return candidate.cpu_free > best.cpu_free
