"""Ends of runs that count as noted: acknowledged before the worker's lease lapsed."""

from __future__ import annotations

import attrs


@attrs.frozen
class NotedEnd:
    """An end of a run on a worker.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        how: How the run ended.
        ended_ms: Time of the end, on the caller's clock in milliseconds.
    """

    task: str
    run: int
    how: str
    ended_ms: int


@attrs.define
class NotedEnds:
    """The ends of one worker.

    Attributes:
        noted: Ends that were acknowledged while the lease had not lapsed since.
    """

    noted: list[NotedEnd] = attrs.field(factory=list)
    _pending: dict[int, NotedEnd] = attrs.field(factory=dict)

    def add(self, number: int, end: NotedEnd) -> None:
        """Add an end that the worker lists under a number."""
        self._pending[number] = end

    def lapse(self) -> None:
        """Record that the worker's lease has lapsed, or that its process has ended."""
        self._pending.clear()

    def acknowledge(self, up_to: int) -> None:
        """Record that the ends up to a number were acknowledged."""
        for number in [number for number in self._pending if number <= up_to]:
            self.noted.append(self._pending.pop(number))
