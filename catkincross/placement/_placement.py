"""Placement policies: indexes of upstreams with free slots, and the choice of one.

Each policy keeps its own index, because each orders the upstreams differently. The
cost of a choice and of a change of one upstream is at most logarithmic in their number.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from sortedcontainers import SortedList

from ._fit import MemoryOrder, TaskNeed, fits
from ._upstream import Upstream

# Candidates that are examined in order of preference before the search goes on in
# the order of free memory, so that a large task cannot cost a scan of all upstreams.
FIT_SCAN = 16


class PlacementPolicy(Protocol):
    """Index of the upstreams of one service that have a free slot.

    Attributes:
        reserves: Whether batch tasks leave the best slots to interactive ones.
    """

    reserves: bool

    def put(self, upstream: Upstream) -> None:
        """Add an upstream or take its changed values."""

    def remove(self, name: str) -> None:
        """Remove an upstream; unknown names are ignored."""

    def choose(self, need: TaskNeed, rng: random.Random) -> Upstream | None:
        """Return an upstream with a free slot that fits the task, or None."""


PLACEMENT_POLICIES: dict[str, Callable[[], PlacementPolicy]] = {}


def placement_policy(name: str) -> Callable[[type], type]:
    """Register a policy class under the name used in the settings."""

    def register(policy: type) -> type:
        PLACEMENT_POLICIES[name] = policy
        return policy

    return register


class FreeUpstreams:
    """Upstreams by name, with random access and the order of free memory."""

    reserves = False

    def __init__(self) -> None:
        self.rows: dict[str, Upstream] = {}
        self.names: list[str] = []
        self.positions: dict[str, int] = {}
        self.memory = MemoryOrder()

    def __len__(self) -> int:
        return len(self.names)

    def put(self, upstream: Upstream) -> None:
        """Add an upstream or take its changed values."""
        if upstream.name not in self.positions:
            self.positions[upstream.name] = len(self.names)
            self.names.append(upstream.name)
        self.rows[upstream.name] = upstream
        self.memory.put(
            upstream.name, upstream.memory_free_mb, upstream.accelerators_free
        )

    def remove(self, name: str) -> None:
        """Remove an upstream; unknown names are ignored."""
        if self.rows.pop(name, None) is None:
            return
        position, last = self.positions.pop(name), self.names.pop()
        if last != name:
            self.names[position] = last
            self.positions[last] = position
        self.memory.remove(name)

    def any_fitting(self, need: TaskNeed) -> Upstream | None:
        """Return the upstream with the most free memory if the task fits there."""
        name = self.memory.roomiest(need)
        return None if name is None else self.rows[name]

    def draw(self, need: TaskNeed, rng: random.Random) -> Upstream | None:
        """Return a random upstream that fits; after some tries any that fits."""
        for _ in range(FIT_SCAN if self.names else 0):
            upstream = self.rows[self.names[int(rng.random() * len(self.names))]]
            if fits(upstream, need):
                return upstream
        return self.any_fitting(need)


@placement_policy("random")
class RandomChoice(FreeUpstreams):
    """Any upstream with a free slot, each with the same probability."""

    def choose(self, need: TaskNeed, rng: random.Random) -> Upstream | None:
        """Return a random upstream that fits, or None."""
        return self.draw(need, rng)


@placement_policy("two_choices")
class TwoChoices(FreeUpstreams):
    """The less loaded of two random upstreams."""

    def choose(self, need: TaskNeed, rng: random.Random) -> Upstream | None:
        """Return the less loaded of two random upstreams that fit, or None."""
        one, other = self.draw(need, rng), self.draw(need, rng)
        if one is None or other is None:
            return None
        return one if one.load_permille <= other.load_permille else other


@placement_policy("round_robin")
class RoundRobin(FreeUpstreams):
    """Upstreams in turn."""

    def __init__(self) -> None:
        super().__init__()
        # An ordered dict moves a name in constant time; the first key of a plain dict
        # is found slowly once many before it were deleted.
        self.turn: OrderedDict[str, None] = OrderedDict()

    def put(self, upstream: Upstream) -> None:
        """Add an upstream at the end of the round, or take its changed values."""
        super().put(upstream)
        self.turn.setdefault(upstream.name)

    def remove(self, name: str) -> None:
        """Remove an upstream; unknown names are ignored."""
        super().remove(name)
        self.turn.pop(name, None)

    def choose(self, need: TaskNeed, rng: random.Random) -> Upstream | None:
        """Return the next upstream that fits, or None."""
        for _ in range(min(FIT_SCAN, len(self.turn))):
            name = next(iter(self.turn))
            self.turn.move_to_end(name)
            if fits(self.rows[name], need):
                return self.rows[name]
        return self.any_fitting(need)


class OrderedUpstreams(FreeUpstreams):
    """Upstreams in an order of preference given by `rank`."""

    def __init__(self) -> None:
        super().__init__()
        self.order = SortedList()
        self.keys: dict[str, tuple] = {}

    def rank(self, upstream: Upstream) -> tuple:
        """Return the sort key of an upstream, the preferred one first."""
        return (upstream.load_permille, upstream.name)

    def put(self, upstream: Upstream) -> None:
        """Add an upstream or move it to its new place."""
        super().put(upstream)
        key, old = self.rank(upstream), self.keys.get(upstream.name)
        if key == old:
            return
        if old is not None:
            self.order.remove(old)
        self.order.add(key)
        self.keys[upstream.name] = key

    def remove(self, name: str) -> None:
        """Remove an upstream; unknown names are ignored."""
        super().remove(name)
        key = self.keys.pop(name, None)
        if key is not None:
            self.order.remove(key)

    def choose(self, need: TaskNeed, rng: random.Random) -> Upstream | None:
        """Return the first upstream that fits, or None."""
        for position in range(min(FIT_SCAN, len(self.order))):
            upstream = self.rows[self.order[position][-1]]
            if fits(upstream, need):
                return upstream
        return self.any_fitting(need)


@placement_policy("least_loaded")
class LeastLoaded(OrderedUpstreams):
    """The upstream with the smallest share of its slots in use."""


class FastestFirst(OrderedUpstreams):
    """Upstreams at one distance: fast ones first, then those with less load."""

    def rank(self, upstream: Upstream) -> tuple:
        """Return speed class and load; among equals the one with no accelerators."""
        return (
            -upstream.speed_class,
            upstream.accelerators_free,
            upstream.load_permille,
            upstream.name,
        )


@placement_policy("expected_finish")
class ExpectedFinish:
    """The upstream where the task is expected to end first.

    At one distance the fastest upstream is the best one for a task of any run time, so
    one order for each distance is enough.
    """

    reserves = False

    def __init__(self) -> None:
        self.groups: dict[float, FastestFirst] = {}
        self.distances: dict[str, float] = {}

    def put(self, upstream: Upstream) -> None:
        """Add an upstream or move it to its new place."""
        old = self.distances.get(upstream.name)
        if old is not None and old != upstream.distance_ms:
            self.remove(upstream.name)
        self.distances[upstream.name] = upstream.distance_ms
        group = self.groups.get(upstream.distance_ms)
        if group is None:
            group = self.groups[upstream.distance_ms] = FastestFirst()
        group.put(upstream)

    def remove(self, name: str) -> None:
        """Remove an upstream; unknown names are ignored."""
        distance_ms = self.distances.pop(name, None)
        if distance_ms is None:
            return
        group = self.groups[distance_ms]
        group.remove(name)
        if not group:
            del self.groups[distance_ms]

    def choose(self, need: TaskNeed, rng: random.Random) -> Upstream | None:
        """Return the upstream with the earliest expected finish, or None."""
        best, best_ms = None, 0.0
        for group in self.groups.values():
            upstream = group.choose(need, rng)
            if upstream is None:
                continue
            finish_ms = upstream.finish_ms(need.run_ms)
            if best is None or finish_ms < best_ms:
                best, best_ms = upstream, finish_ms
        return best


@placement_policy("interactive_reserve")
class InteractiveReserve(ExpectedFinish):
    """As `expected_finish`, with the best slots left to interactive tasks at first."""

    reserves = True
