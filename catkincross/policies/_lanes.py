"""Queues of one service, one for each class of memory and accelerators.

Tasks with different needs wait in separate queues, so that a task that fits on no
upstream now does not block the others.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

from ..placement._fit import TaskNeed
from ._fair_queue import FairQueue, Turn

Item = TypeVar("Item", bound=Hashable)


class Lanes(Generic[Item]):
    """Fair queues, or lanes, by class of need; memory classes double in width.

    Args:
        batch_share: See `FairQueue`.
        burst_cost: See `FairQueue`.
    """

    def __init__(self, *, batch_share: float, burst_cost: float) -> None:
        self.batch_share = batch_share
        self.burst_cost = burst_cost
        self.queues: dict[tuple[int, int], FairQueue[Item]] = {}
        self.places: dict[Item, tuple[tuple[int, int], Turn]] = {}
        self.waiting_costs = {False: 0.0, True: 0.0}
        self.held: set[str] = set()

    def __len__(self) -> int:
        return len(self.places)

    def __contains__(self, item: object) -> bool:
        return item in self.places

    def push(self, item: Item, turn: Turn, need: TaskNeed) -> None:
        """Add an item; an item that is queued already keeps its position."""
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
        self._track(item, key, turn)
        queue.push(item, turn)

    def _track(self, item: Item, key: tuple[int, int], turn: Turn) -> None:
        self.places[item] = (key, turn)
        self.waiting_costs[turn.interactive] += turn.cost

    def cost(self, *, interactive: bool) -> float:
        """Return the queued work of one class, in milliseconds of a slot."""
        return self.waiting_costs[interactive]

    def remove(self, item: Item) -> None:
        """Remove an item; unknown items are ignored."""
        place = self.places.pop(item, None)
        if place is not None:
            key, turn = place
            self.waiting_costs[turn.interactive] -= turn.cost
            self.queues[key].remove(item)

    def take(self, key: tuple[int, int]) -> tuple[Item, Turn] | None:
        """Remove and return the next item of a lane, or None if none can be served."""
        taken = self.queues[key].take()
        if taken is not None:
            del self.places[taken[0]]
            self.waiting_costs[taken[1].interactive] -= taken[1].cost
        return taken

    def put_back(self, key: tuple[int, int], item: Item, turn: Turn) -> None:
        """Undo the `take` of an item, which becomes the next one of its team again."""
        self._track(item, key, turn)
        self.queues[key].put_back(item, turn)

    def waiting(self) -> list[tuple[int, int]]:
        """Return the lanes that are not empty, those of large tasks first.

        Large tasks go first because small ones would use up the free memory that they
        need.
        """
        return sorted(
            (key for key, queue in self.queues.items() if queue), reverse=True
        )

    def hold(self, team: str) -> None:
        """Skip the items of a team until `resume`."""
        self.held.add(team)

    def resume(self, team: str) -> None:
        """Serve a team again that was on hold."""
        if team in self.held:
            self.held.discard(team)
            for queue in self.queues.values():
                queue.resume(team)

    def charge(self, team: str, cost: float) -> None:
        """Add work that another entry did for a team to its virtual time."""
        for queue in self.queues.values():
            queue.charge(team, cost)
