"""Homes of one service in the order in which an owner would choose them."""

from __future__ import annotations

import math
from collections import deque

import attrs
from sortedcontainers import SortedList

# Finish times within 5 % count as equal; then the load decides, which spreads a burst.
FINISH_CLASS_LOG = math.log(1.05)


@attrs.define
class HomeRow:
    """A home as an owner knows it.

    Attributes:
        free: Free slots at the last report.
        queued: Tasks that waited there at the last report.
        queue_limit: Tasks that may wait there.
        wait_ms: Expected wait of a new task there when it reported.
        distance_ms: One-way network time.
        speed: Speed of its next free slot relative to the other homes.
        own: The home is in this process.
        outstanding: Tasks of this owner that are there.
        fair_part: Tasks that this owner may have there even if the queue is full, so
            that the owners that report later are not shut out.
        placed: Times of the placements that the last report cannot know of.
    """

    name: str
    free: int = 0
    slots: int = 0
    queued: int = 0
    queue_limit: int = 0
    wait_ms: float = 0.0
    distance_ms: float = 0.0
    speed: float = 1.0
    own: bool = False
    outstanding: int = 0
    fair_part: int = 0
    placed: deque[int] = attrs.field(factory=deque)

    @property
    def room(self) -> int:
        """Tasks that may be sent now: free slots, and then places in the queue."""
        places = self.free + self.queue_limit - self.queued - len(self.placed)
        return max(places, self.fair_part - self.outstanding)

    def key(self, run_ms: float) -> tuple:
        """Return the sort key of the home, the best first."""
        left = self.free - self.queued - len(self.placed)
        finish_ms = 2 * self.distance_ms + run_ms / self.speed
        if left <= 0:
            # Each task that waits ahead takes its share of the slots for a run time.
            ahead = (1 - left) / max(1, self.slots)
            finish_ms += max(self.wait_ms, ahead * run_ms / self.speed)
        finish_class = round(math.log(max(1.0, finish_ms)) / FINISH_CLASS_LOG)
        load = 1_000 * (self.slots - left) // max(1, self.slots)
        return left <= 0, finish_class, not self.own, load, self.name


class HomeIndex:
    """Homes with room for a service, ordered by the expected finish of a task.

    A change of one home costs the logarithm of their number.
    """

    def __init__(self) -> None:
        self.run_ms = 100.0
        self.rows: dict[str, HomeRow] = {}
        self.order = SortedList()
        self.keys: dict[str, tuple] = {}

    def put(self, row: HomeRow) -> None:
        """Add a home or replace its values."""
        self.rows[row.name] = row
        self._place(row)

    def remove(self, name: str) -> None:
        """Remove a home; unknown names are ignored."""
        if self.rows.pop(name, None) is not None:
            self._take_out(name)

    def _take_out(self, name: str) -> None:
        key = self.keys.pop(name, None)
        if key is not None:
            self.order.remove(key)

    def _place(self, row: HomeRow) -> None:
        self._take_out(row.name)
        if row.room > 0:
            key = self.keys[row.name] = row.key(self.run_ms)
            self.order.add(key)

    def best(self) -> HomeRow | None:
        """Return the home where a task ends first, or None if no home has room."""
        return self.rows[self.order[0][-1]] if self.order else None

    def use(self, row: HomeRow, now_ms: int) -> None:
        """Count a task that is sent to a home until a later report includes it."""
        row.placed.append(now_ms)
        row.outstanding += 1
        self._place(row)

    def release(self, row: HomeRow) -> None:
        """Count a task that has left a home."""
        row.outstanding = max(0, row.outstanding - 1)
        self._place(row)
