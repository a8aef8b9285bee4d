"""Queues of one service, one for each class of memory and accelerators.

Tasks with different needs wait in separate queues, so that a task that fits on no
upstream now does not block the others.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

from ..placement._fit import TaskNeed
from ._fair_queue import FairQueue, QueueTicket

Item = TypeVar("Item", bound=Hashable)


class ResourceLanes(Generic[Item]):
    """Fair queues, or lanes, by class of need; memory classes double in width.

    Args:
        batch_share: See `FairQueue`.
        burst_cost: See `FairQueue`.

    Attributes:
        queues: Lanes by key: bit length of the memory in MB, number of accelerators.
        positions: Lane key and ticket of each queued item.
        waiting_costs: Queued work of batch (False) and interactive (True) items, in
            milliseconds of a slot.
        paused_teams: Teams at their limit, whose items are skipped.
    """

    def __init__(self, *, batch_share: float, burst_cost: float) -> None:
        self.batch_share = batch_share
        self.burst_cost = burst_cost
        self.queues: dict[tuple[int, int], FairQueue[Item]] = {}
        self.positions: dict[Item, tuple[tuple[int, int], QueueTicket]] = {}
        self.waiting_costs = {False: 0.0, True: 0.0}
        self.paused_teams: set[str] = set()

    def __len__(self) -> int:
        return len(self.positions)

    def __contains__(self, item: object) -> bool:
        return item in self.positions

    def push(self, item: Item, ticket: QueueTicket, need: TaskNeed) -> None:
        """Add an item; an item that is queued already keeps its position."""
        if item in self.positions:
            return
        key = (need.memory_mb.bit_length(), need.accelerators)
        queue = self.queues.get(key)
        if queue is None:
            queue = self.queues[key] = FairQueue(
                batch_share=self.batch_share,
                burst_cost=self.burst_cost,
                paused_teams=self.paused_teams,
            )
        self._track(item, key, ticket)
        queue.push(item, ticket)

    def _track(self, item: Item, key: tuple[int, int], ticket: QueueTicket) -> None:
        self.positions[item] = (key, ticket)
        self.waiting_costs[ticket.interactive] += ticket.cost

    def cost(self, *, interactive: bool) -> float:
        """Return the queued interactive or batch work, in milliseconds of a slot."""
        return self.waiting_costs[interactive]

    def remove(self, item: Item) -> None:
        """Remove an item; unknown items are ignored."""
        position = self.positions.pop(item, None)
        if position is not None:
            key, ticket = position
            self.waiting_costs[ticket.interactive] -= ticket.cost
            self.queues[key].remove(item)

    def pop_next(self, key: tuple[int, int]) -> tuple[Item, QueueTicket] | None:
        """Remove and return the next item of a lane, or None if none can be served."""
        taken = self.queues[key].pop_next()
        if taken is not None:
            del self.positions[taken[0]]
            self.waiting_costs[taken[1].interactive] -= taken[1].cost
        return taken

    def put_back(self, key: tuple[int, int], item: Item, ticket: QueueTicket) -> None:
        """Undo `pop_next`: the item becomes the next one of its team again."""
        self._track(item, key, ticket)
        self.queues[key].put_back(item, ticket)

    def nonempty_lanes(self) -> list[tuple[int, int]]:
        """Return the keys of the lanes that are not empty, those of large tasks first.

        Large tasks go first because small ones would use up the free memory that they
        need.
        """
        return sorted(
            (key for key, queue in self.queues.items() if queue), reverse=True
        )

    def pause_team(self, team: str) -> None:
        """Skip the items of a team until `resume_team`."""
        self.paused_teams.add(team)

    def resume_team(self, team: str) -> None:
        """Serve the items of a paused team again."""
        if team in self.paused_teams:
            self.paused_teams.discard(team)
            for queue in self.queues.values():
                queue.resume_team(team)

    def charge_team(self, team: str, cost: float) -> None:
        """Add work that a team got through other entries; see `ClassQueue`."""
        for queue in self.queues.values():
            queue.charge_team(team, cost)
