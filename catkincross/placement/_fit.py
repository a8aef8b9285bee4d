"""Fit: whether an upstream has the memory and the accelerators for a task."""

from __future__ import annotations

import attrs
from sortedcontainers import SortedList

from ..protocol._messages import TaskSpec
from ._upstream import Upstream


@attrs.frozen
class TaskNeed:
    """What a task takes while it runs.

    Attributes:
        run_ms: Expected run time on an upstream of mean speed.
        memory_mb: Expected memory; 0 if nothing is known.
        accelerators: Accelerators that it occupies.
    """

    run_ms: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


def fits(upstream: Upstream, need: TaskNeed) -> bool:
    """Whether a task fits into what is free on an upstream now."""
    return (
        upstream.memory_free_mb >= need.memory_mb
        and upstream.accelerators_free >= need.accelerators
    )


class MemoryOrder:
    """Upstreams in order of memory, by number of accelerators."""

    def __init__(self) -> None:
        self.groups: dict[int, SortedList] = {}
        self.keys: dict[str, tuple[int, tuple[int, str]]] = {}

    def put(self, name: str, memory_mb: int, accelerators: int) -> None:
        """Add an upstream or move it to its new place."""
        key = (memory_mb, name)
        if self.keys.get(name) == (accelerators, key):
            return
        self.remove(name)
        self.groups.setdefault(accelerators, SortedList()).add(key)
        self.keys[name] = (accelerators, key)

    def remove(self, name: str) -> None:
        """Remove an upstream; unknown names are ignored."""
        place = self.keys.pop(name, None)
        if place is None:
            return
        group, key = place
        self.groups[group].remove(key)
        if not self.groups[group]:
            del self.groups[group]

    def roomiest(self, need: TaskNeed) -> str | None:
        """Return the name with the most memory that fits a task, or None."""
        names = [
            order[-1]
            for accelerators, order in self.groups.items()
            if accelerators >= need.accelerators and order[-1][0] >= need.memory_mb
        ]
        return max(names)[1] if names else None

    def largest(self) -> tuple[int, int]:
        """Return the most memory and the most accelerators of any upstream."""
        if not self.groups:
            return 0, 0
        return max(order[-1][0] for order in self.groups.values()), max(self.groups)


# Bounds of the learned factor between a declaration and the use. Reports lag and can
# miss short tasks altogether, so a small one never lowers a need below its declaration.
LOWEST_FACTOR = 1.0
HIGHEST_FACTOR = 4.0
FACTOR_WEIGHT = 0.1


@attrs.define
class MemoryUse:
    """Memory that tasks really take, learned from the lagging usage reports.

    Attributes:
        baselines: Memory in use on an idle upstream, by agent.
        factors: Use relative to the declarations, by service.
        surplus: Use that the tasks known at the last report do not explain.
        reports: When the last report of an agent was taken.
    """

    baselines: dict[str, int] = attrs.field(factory=dict)
    factors: dict[str, float] = attrs.field(factory=dict)
    surplus: dict[str, int] = attrs.field(factory=dict)
    reports: dict[str, int] = attrs.field(factory=dict)

    def need_mb(self, service: str, spec: TaskSpec, largest_mb: int) -> int:
        """Return the memory that a task is expected to take.

        Args:
            service: The task's service.
            spec: The task's declaration.
            largest_mb: Memory of the largest upstream. A task that declares no more
                can start there alone, whatever was learned.
        """
        need_mb = round(spec.memory_mb * self.factors.get(service, 1.0))
        return max(min(need_mb, largest_mb), min(spec.memory_mb, need_mb))

    def observe(
        self, service: str, agent: str, at_ms: int, used_mb: int, needs_mb: int
    ) -> None:
        """Take a usage report.

        Args:
            service: Service of the agent's upstream.
            agent: Name of the agent.
            at_ms: When the report arrived; one report is taken once.
            used_mb: Memory in use as reported.
            needs_mb: Memory that the running tasks were expected to take.
        """
        if self.reports.get(agent) == at_ms:
            return
        self.reports[agent] = at_ms
        if needs_mb == 0:
            self.baselines[agent] = used_mb
            self.surplus[agent] = 0
            return
        extra_mb = used_mb - self.baselines.get(agent, 0)
        self.surplus[agent] = max(0, extra_mb - needs_mb)
        factor = self.factors.get(service, 1.0)
        factor *= 1 + FACTOR_WEIGHT * (max(0, extra_mb) / needs_mb - 1)
        self.factors[service] = max(LOWEST_FACTOR, min(HIGHEST_FACTOR, factor))

    def used_mb(self, agent: str, needs_mb: int) -> int:
        """Return the memory in use now, given the needs of the running tasks."""
        return self.baselines.get(agent, 0) + self.surplus.get(agent, 0) + needs_mb

    def forget(self, agent: str) -> None:
        """Remove an agent that has ended."""
        for rows in (self.baselines, self.surplus, self.reports):
            rows.pop(agent, None)
