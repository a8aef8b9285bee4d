"""Weighted fair queue over teams, interactive work before batch work."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Hashable, Iterator, Set
from typing import Generic, TypeVar

import attrs

Item = TypeVar("Item", bound=Hashable)


@attrs.frozen
class Turn:
    """What decides when an item's turn comes.

    Attributes:
        cost: Work of the item, in milliseconds of a slot.
        burst: Work by which its team may run ahead, beside that of the queue.
    """

    team: str
    weight: float = 1.0
    cost: float = 1.0
    interactive: bool = False
    burst: float = 0.0


@attrs.define
class TeamLine:
    """Items of one team in one class, and the team's virtual time.

    Attributes:
        finish: Virtual time at which the work taken so far would end if the team had
            only its share.
        head_tag: Tag under which the line is in the heap, or None.
    """

    finish: float = 0.0
    items: deque = attrs.field(factory=deque)
    head_tag: float | None = None


class ClassQueue(Generic[Item]):
    """Start-time fair queue over the teams of one class.

    Args:
        burst_cost: Work by which a team that was idle may run ahead of the others.
        held: Teams at their limit, whose items are passed over.
    """

    def __init__(self, burst_cost: float, held: Set[str]) -> None:
        self.burst_cost = burst_cost
        self.held = held
        self.virtual = 0.0
        self.sequence = 0
        self.lines: dict[str, TeamLine] = {}
        self.heap: list[tuple[float, int, str]] = []
        self.turns: dict[Item, tuple[int, Turn]] = {}

    def __len__(self) -> int:
        return len(self.turns)

    def push(self, item: Item, turn: Turn, *, front: bool = False) -> None:
        """Add an item behind or before its team's others."""
        self.sequence += 1
        self.turns[item] = (self.sequence, turn)
        line = self.lines.get(turn.team)
        if line is None:
            line = self.lines[turn.team] = TeamLine(self._floor(turn))
        if front:
            line.items.appendleft((self.sequence, item))
            line.finish -= turn.cost / turn.weight
        else:
            line.items.append((self.sequence, item))
        if line.head_tag is None or front:
            self._enter(turn, line)

    def _floor(self, turn: Turn) -> float:
        return self.virtual - (self.burst_cost + turn.burst) / turn.weight

    def _enter(self, turn: Turn, line: TeamLine) -> None:
        # An idle team keeps no claim to the time that it did not use, but for a burst.
        line.finish = max(line.finish, self._floor(turn))
        line.head_tag = line.finish
        self.sequence += 1
        heapq.heappush(self.heap, (line.head_tag, self.sequence, turn.team))

    def remove(self, item: Item) -> bool:
        """Remove an item; return whether it was there."""
        return self.turns.pop(item, None) is not None

    def take(self) -> tuple[Item, Turn] | None:
        """Remove and return the item whose turn it is, or None if empty."""
        while self.heap:
            tag, _, team = heapq.heappop(self.heap)
            line = self.lines[team]
            if line.head_tag != tag:
                continue
            line.head_tag = None
            if team in self.held:
                continue
            found = self._first(line)
            if found is None:
                continue
            item, turn = found
            self.virtual = max(self.virtual, tag)
            line.finish += turn.cost / turn.weight
            if line.items:
                self._enter(turn, line)
            return item, turn
        # All lines are empty: teams that are idle need no account but their debt.
        if not self.turns:
            ahead = {t: n for t, n in self.lines.items() if n.finish > self.virtual}
            self.lines = ahead
        return None

    def _first(self, line: TeamLine) -> tuple[Item, Turn] | None:
        while line.items:
            sequence, item = line.items.popleft()
            known = self.turns.get(item)
            if known is not None and known[0] == sequence:
                del self.turns[item]
                return item, known[1]
        return None

    def resume(self, team: str) -> None:
        """Take up a team again that was at its limit."""
        line = self.lines.get(team)
        if line is None or line.head_tag is not None or not line.items:
            return
        for _, item in line.items:
            if item in self.turns:
                self._enter(self.turns[item][1], line)
                return

    def charge(self, team: str, cost: float) -> None:
        """Count work of a team that another entry did."""
        line = self.lines.get(team)
        if line is None:
            line = self.lines[team] = TeamLine(self.virtual)
        line.finish = max(line.finish, self.virtual) + cost


class FairQueue(Generic[Item]):
    """Items by class and team.

    Args:
        batch_share: Least share of the turns that batch work gets while it waits.
        burst_cost: Work by which a team that was idle may run ahead of the others.
        held: Teams at their limit, whose items are passed over.
    """

    def __init__(
        self,
        *,
        batch_share: float = 0.1,
        burst_cost: float = 0.0,
        held: Set[str] = frozenset(),
    ) -> None:
        self.batch_share = batch_share
        self.batch_credit = 0.0
        self.interactive: ClassQueue[Item] = ClassQueue(burst_cost, held)
        self.batch: ClassQueue[Item] = ClassQueue(burst_cost, held)

    def __len__(self) -> int:
        return len(self.interactive) + len(self.batch)

    def __contains__(self, item: object) -> bool:
        return item in self.interactive.turns or item in self.batch.turns

    def __iter__(self) -> Iterator[Item]:
        yield from self.interactive.turns
        yield from self.batch.turns

    def _queue(self, turn: Turn) -> ClassQueue[Item]:
        return self.interactive if turn.interactive else self.batch

    def push(self, item: Item, turn: Turn) -> None:
        """Add an item; one that is queued already keeps its place."""
        if item not in self:
            self._queue(turn).push(item, turn)

    def put_back(self, item: Item, turn: Turn) -> None:
        """Undo the `take` of an item: it is the next of its team again."""
        self._queue(turn).push(item, turn, front=True)

    def remove(self, item: Item) -> bool:
        """Remove an item; return whether it was there."""
        return self.interactive.remove(item) or self.batch.remove(item)

    def take(self) -> tuple[Item, Turn] | None:
        """Remove and return the item whose turn it is, or None if empty."""
        if not self.batch:
            return self.interactive.take()
        if not self.interactive:
            return self.batch.take()
        self.batch_credit += self.batch_share
        if self.batch_credit >= 1.0:
            self.batch_credit -= 1.0
            return self.batch.take() or self.interactive.take()
        return self.interactive.take() or self.batch.take()

    def resume(self, team: str) -> None:
        """Take up a team again that was at its limit."""
        self.interactive.resume(team)
        self.batch.resume(team)

    def charge(self, team: str, cost: float) -> None:
        """Count work of a team that another entry did."""
        self.interactive.charge(team, cost)
        self.batch.charge(team, cost)
