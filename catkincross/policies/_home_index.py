"""Homes of one service, in the order in which an owner prefers them."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Set

import attrs
from sortedcontainers import SortedList

from ..foundation._ids import TaskId
from ..placement._fit import TaskNeed

# Finish times within 5 % count as equal. Among them the local home comes first, then
# the least loaded one, which spreads a burst over several homes.
FINISH_CLASS_LOG = math.log(1.05)
NO_HOMES: frozenset[str] = frozenset()


@attrs.define
class HomeRow:
    """State of a home from its last report, as the owner knows it.

    Attributes:
        free: Free slots at the last report.
        slots: All slots at the last report.
        queued: Number of tasks that waited at the home at its last report.
        queue_limit: Number of tasks that may wait at the home.
        wait_ms: Expected wait of a new task at the home, from its last report.
        distance_ms: One-way network time to the home; negative until it is measured.
        speed: Speed of the home's next free slot relative to the other homes.
        memory_mb: Memory of the home's largest upstream.
        accelerators: Highest number of accelerators of one of the home's upstreams.
        is_local: Whether the home is in the owner's own process.
        tasks: This owner's tasks that are at the home.
        guaranteed_tasks: Number of tasks that this owner may have at the home even
            if its queue is full, so that owners that report later are not shut out.
        unreported_placements_ms: Times of the placements that the home's last report
            cannot include.
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
    is_local: bool = False
    tasks: dict[TaskId, None] = attrs.field(factory=dict)
    guaranteed_tasks: int = 0
    unreported_placements_ms: deque[int] = attrs.field(factory=deque)

    @property
    def unclaimed_slots(self) -> int:
        """Free slots not claimed by queued or unreported tasks; negative if too few."""
        return self.free - self.queued - len(self.unreported_placements_ms)

    @property
    def sendable_tasks(self) -> int:
        """Number of tasks that may be sent now, to free slots or into the queue."""
        return max(
            self.unclaimed_slots + self.queue_limit,
            self.guaranteed_tasks - len(self.tasks),
        )

    def fits_when_idle(self, need: TaskNeed) -> bool:
        """Whether the home's largest upstream could run the task when idle."""
        return (
            self.memory_mb >= need.memory_mb and self.accelerators >= need.accelerators
        )

    def key(self, run_ms: float) -> tuple:
        """Return the sort key of the home for a task of this run time, best first."""
        unclaimed = self.unclaimed_slots
        finish_ms = 2 * self.distance_ms + run_ms / self.speed
        if unclaimed <= 0:
            # Each task ahead in the queue occupies one of the slots for a run time.
            ahead = (1 - unclaimed) / max(1, self.slots)
            finish_ms += max(self.wait_ms, ahead * run_ms / self.speed)
        finish_class = round(math.log(max(1.0, finish_ms)) / FINISH_CLASS_LOG)
        load = 1_000 * (self.slots - unclaimed) // max(1, self.slots)
        return unclaimed <= 0, finish_class, not self.is_local, load, self.name


class HomeIndex:
    """Homes of one service; those with room are ordered by expected finish.

    A change of one home costs the logarithm of the number of homes.

    Attributes:
        run_ms: Run time of the task for which the homes are ordered, on a home of mean
            speed.
        rows: All homes by name.
        order: Sort keys of the homes to which tasks may be sent now, best first.
        keys: Sort key of each home in `order`, by name.
    """

    def __init__(self) -> None:
        self.run_ms = 100.0
        self.rows: dict[str, HomeRow] = {}
        self.order = SortedList()
        self.keys: dict[str, tuple] = {}

    def put(self, row: HomeRow) -> None:
        """Add a home or replace its values."""
        self.rows[row.name] = row
        self._reindex(row)

    def remove(self, name: str) -> None:
        """Remove a home; unknown names are ignored."""
        if self.rows.pop(name, None) is not None:
            self._unindex(name)

    def _unindex(self, name: str) -> None:
        key = self.keys.pop(name, None)
        if key is not None:
            self.order.remove(key)

    def _reindex(self, row: HomeRow) -> None:
        self._unindex(row.name)
        if row.sendable_tasks > 0:
            key = self.keys[row.name] = row.key(self.run_ms)
            self.order.add(key)

    def choose(self, need: TaskNeed, unfit: Set[str] = NO_HOMES) -> HomeRow | None:
        """Return the preferred home with room that fits a task, or None.

        Args:
            need: Resource need of the task.
            unfit: Homes that declined the task because none of their upstreams could
                run it.
        """
        for key in self.order:
            row = self.rows[key[-1]]
            if row.fits_when_idle(need) and row.name not in unfit:
                return row
        return None

    def fits_somewhere(self, need: TaskNeed, unfit: Set[str] = NO_HOMES) -> bool:
        """Whether a task could run at any of the homes if they were idle."""
        return any(
            row.fits_when_idle(need) and row.name not in unfit
            for row in self.rows.values()
        )

    def add_placement(self, row: HomeRow, task: TaskId, now_ms: int) -> None:
        """Count a task sent to a home, until a later report of the home includes it."""
        row.unreported_placements_ms.append(now_ms)
        row.tasks[task] = None
        self._reindex(row)

    def remove_placement(self, row: HomeRow, task: TaskId) -> None:
        """Stop counting a task that has left a home."""
        row.tasks.pop(task, None)
        self._reindex(row)
