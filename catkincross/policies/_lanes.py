"""Queues of one service, one for each class of memory and accelerators.

Tasks of different need wait apart, so that one that fits nowhere now does not hold
up the others.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

from ..placement._fit import TaskNeed
from ._fair_queue import FairQueue, Turn

Item = TypeVar("Item", bound=Hashable)


class Lanes(Generic[Item]):
    """Fair queues by class of need; classes of memory double in width.

    Args:
        batch_share: See `FairQueue`.
        burst_cost: See `FairQueue`.
    """

    def __init__(self, *, batch_share: float, burst_cost: float) -> None:
        self.batch_share = batch_share
        self.burst_cost = burst_cost
        self.queues: dict[tuple[int, int], FairQueue[Item]] = {}
        self.places: dict[Item, tuple[tuple[int, int], Turn]] = {}
        self.costs = {False: 0.0, True: 0.0}
        self.held: set[str] = set()

    def __len__(self) -> int:
        return len(self.places)

    def __contains__(self, item: object) -> bool:
        return item in self.places

    def push(self, item: Item, turn: Turn, need: TaskNeed) -> None:
        """Add an item; one that is queued already keeps its place."""
        if item in self.places:
            return
        key = (need.memory_mb.bit_length(), need.accelerators)
        queue = self.queues.get(key)
        if queue is None:
            queue = self.queues[key] = FairQueue(
                batch_share=self.batch_share,
                burst_cost=self.burst_cost,
                held=self.held,
            )
        self._add(item, key, turn)
        queue.push(item, turn)

    def _add(self, item: Item, key: tuple[int, int], turn: Turn) -> None:
        self.places[item] = (key, turn)
        self.costs[turn.interactive] += turn.cost

    def cost(self, *, interactive: bool) -> float:
        """Return the work that waits in one class, in milliseconds of a slot."""
        return self.costs[interactive]

    def remove(self, item: Item) -> None:
        """Remove an item; unknown ones are ignored."""
        place = self.places.pop(item, None)
        if place is not None:
            key, turn = place
            self.costs[turn.interactive] -= turn.cost
            self.queues[key].remove(item)

    def take(self, key: tuple[int, int]) -> tuple[Item, Turn] | None:
        """Remove and return the next item of a lane, or None if it is empty."""
        taken = self.queues[key].take()
        if taken is not None:
            del self.places[taken[0]]
            self.costs[taken[1].interactive] -= taken[1].cost
        return taken

    def put_back(self, key: tuple[int, int], item: Item, turn: Turn) -> None:
        """Undo the `take` of an item."""
        self._add(item, key, turn)
        self.queues[key].put_back(item, turn)

    def waiting(self) -> list[tuple[int, int]]:
        """Return the lanes with an item, those of large tasks first.

        A large task needs the room that a small one would take first.
        """
        return sorted(
            (key for key, queue in self.queues.items() if queue), reverse=True
        )

    def hold(self, team: str) -> None:
        """Pass over the items of a team until `resume`."""
        self.held.add(team)

    def resume(self, team: str) -> None:
        """Take up a team again."""
        if team in self.held:
            self.held.discard(team)
            for queue in self.queues.values():
                queue.resume(team)

    def charge(self, team: str, cost: float) -> None:
        """Count work of a team that another entry did."""
        for queue in self.queues.values():
            queue.charge(team, cost)
