"""Homes of one service in the order in which an owner would choose them."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Set

import attrs
from sortedcontainers import SortedList

from ..foundation._ids import TaskId
from ..placement._fit import TaskNeed

# Finish times within 5 % count as equal; then the load decides, which spreads a burst.
FINISH_CLASS_LOG = math.log(1.05)
NONE: frozenset[str] = frozenset()


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
        memory_mb: Memory of its largest upstream.
        accelerators: Most accelerators of one of its upstreams.
        own: The home is in this process.
        tasks: Tasks of this owner that are there.
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
    memory_mb: int = 0
    accelerators: int = 0
    own: bool = False
    tasks: dict[TaskId, None] = attrs.field(factory=dict)
    fair_part: int = 0
    placed: deque[int] = attrs.field(factory=deque)

    @property
    def unused(self) -> int:
        """Free slots that no task on its way or in the queue will take."""
        return self.free - self.queued - len(self.placed)

    @property
    def room(self) -> int:
        """Tasks that may be sent now: free slots, and then places in the queue."""
        return max(self.unused + self.queue_limit, self.fair_part - len(self.tasks))

    def could_fit(self, need: TaskNeed) -> bool:
        """Whether its largest upstream could run a task if it were idle."""
        return (
            self.memory_mb >= need.memory_mb and self.accelerators >= need.accelerators
        )

    def key(self, run_ms: float) -> tuple:
        """Return the sort key of the home, the best first."""
        left = self.unused
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

    def best(self, need: TaskNeed, unfit: Set[str] = NONE) -> HomeRow | None:
        """Return the home where a task ends first, or None if no home has room.

        Args:
            need: What the task takes.
            unfit: Homes that have said that the task fits nowhere there.
        """
        for key in self.order:
            row = self.rows[key[-1]]
            if row.could_fit(need) and row.name not in unfit:
                return row
        return None

    def fits_somewhere(self, need: TaskNeed, unfit: Set[str] = NONE) -> bool:
        """Whether a task could run at a home that is idle."""
        return any(
            row.could_fit(need) and row.name not in unfit for row in self.rows.values()
        )

    def use(self, row: HomeRow, task: TaskId, now_ms: int) -> None:
        """Count a task that is sent to a home until a later report includes it."""
        row.placed.append(now_ms)
        row.tasks[task] = None
        self._place(row)

    def release(self, row: HomeRow, task: TaskId) -> None:
        """Count a task that has left a home."""
        row.tasks.pop(task, None)
        self._place(row)
