"""Forecast of when slots of each speed class become free."""

from __future__ import annotations

from collections import Counter

import attrs
from sortedcontainers import SortedList

from ._upstream import class_speed

# A wait must shorten the expected finish by this factor, since run times are only
# estimates.
WAIT_GAIN = 1.1


@attrs.define
class SlotForecast:
    """Expected ends of the running tasks of one service.

    Attributes:
        ends: Expected end time and sequence number of the running tasks, in order, by
            speed class.
        ends_by_task: Speed class and item of `ends` of each running task.
        sequence: Number of the last task that was added; separates equal end times.
    """

    ends: dict[int, SortedList] = attrs.field(factory=dict)
    ends_by_task: dict[object, tuple[int, tuple[float, int]]] = attrs.field(
        factory=dict
    )
    sequence: int = 0

    def add(self, key: object, speed_class: int, end_ms: float) -> None:
        """Record the expected end of a task on an upstream of a speed class."""
        self.sequence += 1
        end = (end_ms, self.sequence)
        self.ends.setdefault(speed_class, SortedList()).add(end)
        self.ends_by_task[key] = (speed_class, end)

    def remove(self, key: object) -> None:
        """Remove a task that has ended; unknown tasks are ignored."""
        indexed = self.ends_by_task.pop(key, None)
        if indexed is None:
            return
        speed_class, end = indexed
        self.ends[speed_class].remove(end)
        if not self.ends[speed_class]:
            del self.ends[speed_class]

    def find_faster_slot_ms(
        self, now_ms: float, run_ms: float, speed_class: int, claims: Counter[int]
    ) -> float | None:
        """Return when a faster slot becomes free, or None if none is worth the wait.

        Args:
            now_ms: The time now.
            run_ms: Run time of the task on an upstream of mean speed.
            speed_class: Speed class of the slot that is free now.
            claims: Number of slots that earlier tasks wait for, by speed class; updated
                if this task should wait.
        """
        best_finish_ms, best_slot = run_ms / class_speed(speed_class) / WAIT_GAIN, None
        for other_class, ends in self.ends.items():
            if other_class <= speed_class:
                continue
            # An overdue task gives no estimate of when it will end, so it is skipped.
            position = ends.bisect_right((now_ms, self.sequence)) + claims[other_class]
            if position >= len(ends):
                continue
            end_ms = ends[position][0]
            finish_ms = end_ms - now_ms + run_ms / class_speed(other_class)
            if finish_ms < best_finish_ms:
                best_finish_ms, best_slot = finish_ms, (other_class, end_ms)
        if best_slot is None:
            return None
        claims[best_slot[0]] += 1
        return best_slot[1]
