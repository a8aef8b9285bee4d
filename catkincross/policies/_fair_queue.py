"""Weighted fair queue over teams, with interactive work before batch work."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Hashable, Iterator, Set
from typing import Generic, TypeVar

import attrs

Item = TypeVar("Item", bound=Hashable)


@attrs.frozen
class QueueTicket:
    """Attributes that decide when a queued item is served.

    Attributes:
        team: Team whose share the item uses.
        weight: Share of the team relative to other teams.
        cost: Work of the item, in milliseconds of a slot.
        interactive: Whether a caller waits for the item.
        burst: Work by which the team may run ahead, in addition to the queue's own
            burst, in milliseconds of a slot.
    """

    team: str
    weight: float = 1.0
    cost: float = 1.0
    interactive: bool = False
    burst: float = 0.0


@attrs.define
class TeamQueue:
    """Queued items of one team in one class, and the team's virtual time.

    Attributes:
        virtual_finish: Virtual time at which the work served so far would end if the
            team had only its share.
        items: Sequence number and item, the next one first; removed items stay until
            they reach the head.
        scheduled_tag: Virtual time under which the team is in the heap, or None.
    """

    virtual_finish: float = 0.0
    items: deque = attrs.field(factory=deque)
    scheduled_tag: float | None = None


class ClassQueue(Generic[Item]):
    """Start-time fair queue over the teams of one class.

    Args:
        burst_cost: Work by which a team that was idle may run ahead of the others, in
            milliseconds of a slot.
        paused_teams: Teams at their limit, whose items are skipped.

    Attributes:
        virtual_time: Highest virtual time at which an item was served.
        sequence: Last number given to an item or a heap entry; orders equal ones.
        team_queues: Queue of each team.
        heap: Virtual time, sequence number and team of the scheduled teams. An entry
            whose time is not the team's `scheduled_tag` is obsolete.
        queued: Sequence number and ticket of each queued item.
    """

    def __init__(self, burst_cost: float, paused_teams: Set[str]) -> None:
        self.burst_cost = burst_cost
        self.paused_teams = paused_teams
        self.virtual_time = 0.0
        self.sequence = 0
        self.team_queues: dict[str, TeamQueue] = {}
        self.heap: list[tuple[float, int, str]] = []
        self.queued: dict[Item, tuple[int, QueueTicket]] = {}

    def __len__(self) -> int:
        return len(self.queued)

    def push(self, item: Item, ticket: QueueTicket, *, front: bool = False) -> None:
        """Add an item after the other items of its team, or before them if `front`."""
        self.sequence += 1
        self.queued[item] = (self.sequence, ticket)
        team_queue = self.team_queues.get(ticket.team)
        if team_queue is None:
            team_queue = self.team_queues[ticket.team] = TeamQueue(
                self._earliest_start(ticket)
            )
        if front:
            team_queue.items.appendleft((self.sequence, item))
            team_queue.virtual_finish -= ticket.cost / ticket.weight
        else:
            team_queue.items.append((self.sequence, item))
        if team_queue.scheduled_tag is None or front:
            self._schedule_team(ticket, team_queue)

    def _earliest_start(self, ticket: QueueTicket) -> float:
        return self.virtual_time - (self.burst_cost + ticket.burst) / ticket.weight

    def _schedule_team(self, ticket: QueueTicket, team_queue: TeamQueue) -> None:
        # Apart from a burst, an idle team keeps no claim to the time it did not use.
        team_queue.virtual_finish = max(
            team_queue.virtual_finish, self._earliest_start(ticket)
        )
        team_queue.scheduled_tag = team_queue.virtual_finish
        self.sequence += 1
        heapq.heappush(
            self.heap, (team_queue.scheduled_tag, self.sequence, ticket.team)
        )

    def remove(self, item: Item) -> bool:
        """Remove an item; return whether it was queued."""
        return self.queued.pop(item, None) is not None

    def pop_next(self) -> tuple[Item, QueueTicket] | None:
        """Remove and return the next item, or None if no item can be served."""
        while self.heap:
            tag, _, team = heapq.heappop(self.heap)
            team_queue = self.team_queues[team]
            if team_queue.scheduled_tag != tag:
                continue
            team_queue.scheduled_tag = None
            if team in self.paused_teams:
                continue
            found = self._pop_first(team_queue)
            if found is None:
                continue
            item, ticket = found
            self.virtual_time = max(self.virtual_time, tag)
            team_queue.virtual_finish += ticket.cost / ticket.weight
            if team_queue.items:
                self._schedule_team(ticket, team_queue)
            return item, ticket
        # Nothing is queued: of the idle teams only those that used more than their
        # share are kept.
        if not self.queued:
            indebted = {
                name: queue
                for name, queue in self.team_queues.items()
                if queue.virtual_finish > self.virtual_time
            }
            self.team_queues = indebted
        return None

    def _pop_first(self, team_queue: TeamQueue) -> tuple[Item, QueueTicket] | None:
        while team_queue.items:
            sequence, item = team_queue.items.popleft()
            queued_ticket = self.queued.get(item)
            if queued_ticket is not None and queued_ticket[0] == sequence:
                del self.queued[item]
                return item, queued_ticket[1]
        return None

    def resume_team(self, team: str) -> None:
        """Serve the items of a team again after it was at its limit."""
        team_queue = self.team_queues.get(team)
        if (
            team_queue is None
            or team_queue.scheduled_tag is not None
            or not team_queue.items
        ):
            return
        for _, item in team_queue.items:
            if item in self.queued:
                self._schedule_team(self.queued[item][1], team_queue)
                return

    def charge_team(self, team: str, cost: float) -> None:
        """Add work that a team got through other entries to its virtual time.

        Args:
            team: Name of the team.
            cost: Work in milliseconds of a slot, divided by the team's weight.
        """
        team_queue = self.team_queues.get(team)
        if team_queue is None:
            team_queue = self.team_queues[team] = TeamQueue(self.virtual_time)
        team_queue.virtual_finish = (
            max(team_queue.virtual_finish, self.virtual_time) + cost
        )


class FairQueue(Generic[Item]):
    """Queued items by class and team, served by weighted fair shares.

    Args:
        batch_share: Smallest share of the served items that batch work gets while it
            waits.
        burst_cost: Work by which a team that was idle may run ahead of the others, in
            milliseconds of a slot.
        paused_teams: Teams at their limit, whose items are skipped.

    Attributes:
        batch_credit: Sum of the batch share over the items served while both classes
            wait; a batch item is served when it reaches 1.
        interactive: Items for which a caller waits.
        batch: All other items.
    """

    def __init__(
        self,
        *,
        batch_share: float = 0.1,
        burst_cost: float = 0.0,
        paused_teams: Set[str] = frozenset(),
    ) -> None:
        self.batch_share = batch_share
        self.batch_credit = 0.0
        self.interactive: ClassQueue[Item] = ClassQueue(burst_cost, paused_teams)
        self.batch: ClassQueue[Item] = ClassQueue(burst_cost, paused_teams)

    def __len__(self) -> int:
        return len(self.interactive) + len(self.batch)

    def __contains__(self, item: object) -> bool:
        return item in self.interactive.queued or item in self.batch.queued

    def __iter__(self) -> Iterator[Item]:
        yield from self.interactive.queued
        yield from self.batch.queued

    def _queue(self, ticket: QueueTicket) -> ClassQueue[Item]:
        return self.interactive if ticket.interactive else self.batch

    def push(self, item: Item, ticket: QueueTicket) -> None:
        """Add an item; an item that is queued already keeps its position."""
        if item not in self:
            self._queue(ticket).push(item, ticket)

    def put_back(self, item: Item, ticket: QueueTicket) -> None:
        """Undo `pop_next`: the item becomes the next one of its team again."""
        self._queue(ticket).push(item, ticket, front=True)

    def remove(self, item: Item) -> bool:
        """Remove an item; return whether it was queued."""
        return self.interactive.remove(item) or self.batch.remove(item)

    def pop_next(self) -> tuple[Item, QueueTicket] | None:
        """Remove and return the next item, or None if no item can be served."""
        if not self.batch:
            return self.interactive.pop_next()
        if not self.interactive:
            return self.batch.pop_next()
        self.batch_credit += self.batch_share
        if self.batch_credit >= 1.0:
            self.batch_credit -= 1.0
            return self.batch.pop_next() or self.interactive.pop_next()
        return self.interactive.pop_next() or self.batch.pop_next()

    def resume_team(self, team: str) -> None:
        """Serve the items of a team again after it was at its limit."""
        self.interactive.resume_team(team)
        self.batch.resume_team(team)

    def charge_team(self, team: str, cost: float) -> None:
        """Add work that a team got through other entries to its virtual time.

        Args:
            team: Name of the team.
            cost: Work in milliseconds of a slot, divided by the team's weight.
        """
        self.interactive.charge_team(team, cost)
        self.batch.charge_team(team, cost)
