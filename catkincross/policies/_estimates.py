"""Learned run times of tasks and speeds of upstreams."""

from __future__ import annotations

import math
from collections.abc import Hashable

import attrs

from ..protocol._messages import TaskSpec


@attrs.define
class Average:
    """Mean and variance with exponential decay.

    Attributes:
        mean: Weighted mean of the observations.
        variance: Weighted variance of the observations.
        count: Number of observations; the first ones weigh more than the later ones.
    """

    mean: float
    variance: float = 0.0
    count: int = 0

    def add(self, value: float, decay: float) -> None:
        """Add an observation.

        Args:
            value: The observed value.
            decay: Weight of one observation in the long run, from 0 to 1.
        """
        self.count += 1
        weight = max(decay, 1.0 / (self.count + 1))
        delta = value - self.mean
        self.mean += weight * delta
        self.variance = (1 - weight) * (self.variance + weight * delta * delta)

    @property
    def deviation(self) -> float:
        """Standard deviation."""
        return math.sqrt(self.variance)


@attrs.define
class RunTimes:
    """Run times in milliseconds by service and declared size, at mean upstream speed.

    Attributes:
        decay: Weight of one observation in the long run.
        default_ms: Expected run time of a task that declares none.
        rows: Averages by service, size class and class of the declared run time.
        services: Averages over all tasks of a service.
    """

    decay: float
    default_ms: int
    rows: dict[tuple[str, int, int], Average] = attrs.field(factory=dict)
    services: dict[str, Average] = attrs.field(factory=dict)

    @staticmethod
    def _class_key(service: str, spec: TaskSpec) -> tuple[str, int, int]:
        # Classes double in width, so a service has a few dozen rows at most.
        return service, spec.size.bit_length(), spec.run_ms.bit_length()

    def average(self, service: str, spec: TaskSpec) -> Average:
        """Return the average of the task's class.

        If no task of the class has ended, the result holds the declared run time, or
        the default, and is not stored.
        """
        row = self.rows.get(self._class_key(service, spec))
        return row or Average(float(spec.run_ms or self.default_ms))

    def is_known(self, service: str, spec: TaskSpec) -> bool:
        """Whether a task of the same class has ended."""
        return self._class_key(service, spec) in self.rows

    def expect_ms(self, service: str, spec: TaskSpec) -> float:
        """Return the expected run time in milliseconds, at least 1."""
        row = self.rows.get(self._class_key(service, spec))
        if row is None:
            return max(1.0, float(spec.run_ms or self.default_ms))
        return max(1.0, row.mean)

    def observe(self, service: str, spec: TaskSpec, run_ms: float) -> None:
        """Record the run time of a task, scaled to an upstream of mean speed."""
        key = self._class_key(service, spec)
        row = self.rows.get(key)
        if row is None:
            declared_ms = float(spec.run_ms or run_ms)
            row = self.rows[key] = Average(declared_ms, (declared_ms / 2) ** 2)
        row.add(run_ms, self.decay)
        self.services.setdefault(service, Average(run_ms)).add(run_ms, self.decay)

    def mean_ms(self, service: str) -> float:
        """Return the mean run time of a service's tasks in milliseconds."""
        row = self.services.get(service)
        return float(self.default_ms) if row is None else max(1.0, row.mean)


@attrs.define
class Speeds:
    """Speed of each member of a group relative to the mean of the group.

    A group is a service; its members are upstreams or homes. Speeds are averaged as
    logarithms, so that twice as fast and twice as slow weigh the same.

    Attributes:
        decay: Weight of one observation in the long run.
        rows: Average logarithm of the speed, by group and member.
        sums: Sum of these averages and number of members, by group.
    """

    decay: float
    rows: dict[tuple[Hashable, str], Average] = attrs.field(factory=dict)
    sums: dict[Hashable, tuple[float, int]] = attrs.field(factory=dict)

    def speed(self, group: Hashable, member: str) -> float:
        """Return the relative speed of a member; 1.0 is the mean of its group."""
        row = self.rows.get((group, member))
        if row is None:
            return 1.0
        total, count = self.sums[group]
        return math.exp(row.mean - total / count)

    def observe(
        self, group: Hashable, member: str, expected_ms: float, run_ms: float
    ) -> None:
        """Record a run time of a member.

        Args:
            group: The member's group.
            member: Name of the upstream or home.
            expected_ms: Expected run time on a member of mean speed.
            run_ms: Observed run time.
        """
        row = self.rows.get((group, member))
        total, count = self.sums.get(group, (0.0, 0))
        if row is None:
            row = self.rows[group, member] = Average(0.0)
            count += 1
        previous_mean = row.mean
        # A single task is weak evidence: a factor above 16, whose logarithm is 2.77, is
        # more likely a wrong estimate.
        log_speed = math.log(max(1.0, expected_ms) / max(1.0, run_ms))
        row.add(max(-2.77, min(2.77, log_speed)), self.decay)
        self.sums[group] = (total + row.mean - previous_mean, count)

    def forget(self, group: Hashable, member: str) -> None:
        """Remove a member that has ended."""
        row = self.rows.pop((group, member), None)
        if row is None:
            return
        total, count = self.sums.pop(group)
        if count > 1:
            self.sums[group] = (total - row.mean, count - 1)
