"""When slots of each speed class are expected to become free."""

from __future__ import annotations

from collections import Counter

import attrs
from sortedcontainers import SortedList

from ._upstream import class_speed

# A wait must shorten the answer by this factor, since run times are only expected.
WAIT_GAIN = 1.1


@attrs.define
class SlotForecast:
    """Expected ends of the running tasks of one service, by speed class."""

    ends: dict[int, SortedList] = attrs.field(factory=dict)
    places: dict[object, tuple[int, tuple[float, int]]] = attrs.field(factory=dict)
    sequence: int = 0

    def add(self, key: object, number: int, end_ms: float) -> None:
        """Take the expected end of a task on an upstream of a speed class."""
        self.sequence += 1
        place = (end_ms, self.sequence)
        self.ends.setdefault(number, SortedList()).add(place)
        self.places[key] = (number, place)

    def remove(self, key: object) -> None:
        """Remove a task that has ended; unknown ones are ignored."""
        found = self.places.pop(key, None)
        if found is None:
            return
        number, place = found
        self.ends[number].remove(place)
        if not self.ends[number]:
            del self.ends[number]

    def better_later(
        self, now_ms: float, run_ms: float, number: int, claims: Counter[int]
    ) -> float | None:
        """Return when a faster slot is worth waiting for, or None.

        Args:
            now_ms: The time now.
            run_ms: Run time of the task at mean speed.
            number: Speed class of the slot that is free now.
            claims: Slots by class that earlier tasks wait for; the task is added.

        Returns:
            The expected time at which the faster slot is free.
        """
        best_ms, best = run_ms / class_speed(number) / WAIT_GAIN, None
        for other, ends in self.ends.items():
            if other <= number:
                continue
            # A task that is overdue says nothing about when it will end.
            position = ends.bisect_right((now_ms, self.sequence)) + claims[other]
            if position >= len(ends):
                continue
            end_ms = ends[position][0]
            finish_ms = end_ms - now_ms + run_ms / class_speed(other)
            if finish_ms < best_ms:
                best_ms, best = finish_ms, (other, end_ms)
        if best is None:
            return None
        claims[best[0]] += 1
        return best[1]
