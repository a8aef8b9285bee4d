"""Fit: whether an upstream has the memory and the accelerators for a task."""

from __future__ import annotations

import attrs
from sortedcontainers import SortedList

from ..protocol._messages import TaskSpec
from ._upstream import Upstream


@attrs.frozen
class TaskNeed:
    """Resources that a task occupies while it runs.

    Attributes:
        run_ms: Expected run time on an upstream of mean speed.
        memory_mb: Expected memory; 0 if unknown.
        accelerators: Number of accelerators.
    """

    run_ms: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


def fits(upstream: Upstream, need: TaskNeed) -> bool:
    """Whether an upstream has the free memory and accelerators for a task now."""
    return (
        upstream.memory_free_mb >= need.memory_mb
        and upstream.accelerators_free >= need.accelerators
    )


class MemoryIndex:
    """Upstreams ordered by memory, in groups by number of accelerators.

    Attributes:
        groups: Memory in MB and name of the upstreams, in order, by number of
            accelerators.
        keys: Number of accelerators and sort key of each upstream, by name.
    """

    def __init__(self) -> None:
        self.groups: dict[int, SortedList] = {}
        self.keys: dict[str, tuple[int, tuple[int, str]]] = {}

    def put(self, name: str, memory_mb: int, accelerators: int) -> None:
        """Add an upstream, or move it to its new position."""
        key = (memory_mb, name)
        if self.keys.get(name) == (accelerators, key):
            return
        self.remove(name)
        self.groups.setdefault(accelerators, SortedList()).add(key)
        self.keys[name] = (accelerators, key)

    def remove(self, name: str) -> None:
        """Remove an upstream; unknown names are ignored."""
        indexed = self.keys.pop(name, None)
        if indexed is None:
            return
        group, key = indexed
        self.groups[group].remove(key)
        if not self.groups[group]:
            del self.groups[group]

    def largest_fitting(self, need: TaskNeed) -> str | None:
        """Return the name of the upstream with the most memory that fits a task."""
        candidates = [
            ranked[-1]
            for accelerators, ranked in self.groups.items()
            if accelerators >= need.accelerators and ranked[-1][0] >= need.memory_mb
        ]
        return max(candidates)[1] if candidates else None

    def max_resources(self) -> tuple[int, int]:
        """Return the most memory in MB and the most accelerators of any upstream."""
        if not self.groups:
            return 0, 0
        return max(ranked[-1][0] for ranked in self.groups.values()), max(self.groups)


# Bounds of the learned ratio of used to declared memory. Reports lag and can miss
# short tasks altogether, so a low report never lowers a need below its declaration.
MIN_FACTOR = 1.0
MAX_FACTOR = 4.0
FACTOR_WEIGHT = 0.1


@attrs.define
class MemoryEstimates:
    """Actual memory use of tasks, learned from the agents' lagging usage reports.

    Attributes:
        baselines: Memory in use on an idle upstream, in MB, by agent.
        factors: Ratio of used to declared memory, by service.
        surplus: Memory in MB that the tasks running at the last report do not account
            for, by agent.
        reports: When the last report of each agent arrived.
    """

    baselines: dict[str, int] = attrs.field(factory=dict)
    factors: dict[str, float] = attrs.field(factory=dict)
    surplus: dict[str, int] = attrs.field(factory=dict)
    reports: dict[str, int] = attrs.field(factory=dict)

    def need_mb(self, service: str, spec: TaskSpec, largest_mb: int) -> int:
        """Return the memory that a task is expected to use, in MB.

        Args:
            service: The task's service.
            spec: The task's declaration.
            largest_mb: Memory of the largest upstream. A task that declares no more can
                always start there alone, whatever was learned.
        """
        need_mb = round(spec.memory_mb * self.factors.get(service, 1.0))
        return max(min(need_mb, largest_mb), min(spec.memory_mb, need_mb))

    def observe(
        self, service: str, agent: str, at_ms: int, used_mb: int, needs_mb: int
    ) -> None:
        """Record a usage report and adapt the learned factor.

        Args:
            service: Service of the agent's upstream.
            agent: Name of the agent.
            at_ms: When the report arrived; a repeated report is ignored.
            used_mb: Memory in use that was reported.
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
        self.factors[service] = max(MIN_FACTOR, min(MAX_FACTOR, factor))

    def used_mb(self, agent: str, needs_mb: int) -> int:
        """Return the estimated memory in use, given the needs of the running tasks."""
        return self.baselines.get(agent, 0) + self.surplus.get(agent, 0) + needs_mb

    def forget(self, agent: str) -> None:
        """Remove an agent that has ended."""
        for rows in (self.baselines, self.surplus, self.reports):
            rows.pop(agent, None)
