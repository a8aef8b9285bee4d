"""Placement policies: indexes of upstreams with free slots, and the choice of one.

Each policy keeps its own index, because each orders the upstreams differently. A
choice or a change of one upstream costs at most the logarithm of their number.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from sortedcontainers import SortedList

from ._fit import MemoryIndex, TaskNeed, fits
from ._upstream import Upstream

# Candidates examined in the order of preference before the search continues in the
# order of free memory, so that a large task cannot cost a scan of all upstreams.
FIT_SCAN = 16


class PlacementPolicy(Protocol):
    """Index of the upstreams of one service that have a free slot.

    Attributes:
        reserves_slots: Whether batch tasks leave the best slots to interactive ones.
    """

    reserves_slots: bool

    def put(self, upstream: Upstream) -> None:
        """Add an upstream, or update its values if its name is known."""

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
    """Upstreams by name, with random access and an index of free memory.

    Attributes:
        rows: Upstreams by name.
        names: Names in any order, for a random choice.
        positions: Position in `names` by name.
        memory: Index of the free memory and the free accelerators.
    """

    reserves_slots = False

    def __init__(self) -> None:
        self.rows: dict[str, Upstream] = {}
        self.names: list[str] = []
        self.positions: dict[str, int] = {}
        self.memory = MemoryIndex()

    def __len__(self) -> int:
        return len(self.names)

    def put(self, upstream: Upstream) -> None:
        """Add an upstream, or update its values if its name is known."""
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

    def largest_fitting(self, need: TaskNeed) -> Upstream | None:
        """Return the fitting upstream with the most free memory, or None."""
        name = self.memory.largest_fitting(need)
        return None if name is None else self.rows[name]

    def pick_random(self, need: TaskNeed, rng: random.Random) -> Upstream | None:
        """Return a random upstream that fits, or None.

        After `FIT_SCAN` tries, the fitting upstream with the most free memory is taken.
        """
        for _ in range(FIT_SCAN if self.names else 0):
            upstream = self.rows[self.names[int(rng.random() * len(self.names))]]
            if fits(upstream, need):
                return upstream
        return self.largest_fitting(need)


@placement_policy("random")
class RandomChoice(FreeUpstreams):
    """Any upstream with a free slot, with equal probability."""

    def choose(self, need: TaskNeed, rng: random.Random) -> Upstream | None:
        """Return a random upstream that fits, or None."""
        return self.pick_random(need, rng)


@placement_policy("two_choices")
class TwoChoices(FreeUpstreams):
    """The less loaded of two upstreams picked at random."""

    def choose(self, need: TaskNeed, rng: random.Random) -> Upstream | None:
        """Return the less loaded of two random upstreams that fit, or None."""
        first, second = self.pick_random(need, rng), self.pick_random(need, rng)
        if first is None or second is None:
            return None
        return first if first.load_permille <= second.load_permille else second


@placement_policy("round_robin")
class RoundRobin(FreeUpstreams):
    """Upstreams in turn."""

    def __init__(self) -> None:
        super().__init__()
        # An ordered dict moves a name to the end in constant time. In a plain dict the
        # first key is slow to find once many keys before it were deleted.
        self.rotation: OrderedDict[str, None] = OrderedDict()

    def put(self, upstream: Upstream) -> None:
        """Add an upstream at the end of the rotation, or update its values."""
        super().put(upstream)
        self.rotation.setdefault(upstream.name)

    def remove(self, name: str) -> None:
        """Remove an upstream; unknown names are ignored."""
        super().remove(name)
        self.rotation.pop(name, None)

    def choose(self, need: TaskNeed, rng: random.Random) -> Upstream | None:
        """Return the next upstream that fits, or None."""
        for _ in range(min(FIT_SCAN, len(self.rotation))):
            name = next(iter(self.rotation))
            self.rotation.move_to_end(name)
            if fits(self.rows[name], need):
                return self.rows[name]
        return self.largest_fitting(need)


class OrderedUpstreams(FreeUpstreams):
    """Upstreams in the order of preference that `rank` defines.

    Attributes:
        order: Sort keys of the upstreams, the preferred one first.
        keys: Sort key of each upstream, by name.
    """

    def __init__(self) -> None:
        super().__init__()
        self.order = SortedList()
        self.keys: dict[str, tuple] = {}

    def rank(self, upstream: Upstream) -> tuple:
        """Return the sort key of an upstream; the preferred one sorts first."""
        return (upstream.load_permille, upstream.name)

    def put(self, upstream: Upstream) -> None:
        """Add an upstream, or move it to its new position."""
        super().put(upstream)
        key, previous = self.rank(upstream), self.keys.get(upstream.name)
        if key == previous:
            return
        if previous is not None:
            self.order.remove(previous)
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
        return self.largest_fitting(need)


@placement_policy("least_loaded")
class LeastLoaded(OrderedUpstreams):
    """The upstream with the smallest share of its slots in use."""


class FastestFirst(OrderedUpstreams):
    """Upstreams at one distance, the fastest first.

    Among equally fast ones those with the fewest free accelerators come first, then the
    least loaded.
    """

    def rank(self, upstream: Upstream) -> tuple:
        """Return the sort key: speed class, fewest free accelerators, then load."""
        return (
            -upstream.speed_class,
            upstream.accelerators_free,
            upstream.load_permille,
            upstream.name,
        )


@placement_policy("expected_finish")
class ExpectedFinish:
    """The upstream on which the task is expected to end first.

    At one distance the fastest upstream is the best for a task of any run time, so one
    order per distance is enough.

    Attributes:
        groups: Upstreams by distance in milliseconds.
        distances: Distance in milliseconds by name of the upstream.
    """

    reserves_slots = False

    def __init__(self) -> None:
        self.groups: dict[float, FastestFirst] = {}
        self.distances: dict[str, float] = {}

    def put(self, upstream: Upstream) -> None:
        """Add an upstream, or move it to its new position."""
        previous = self.distances.get(upstream.name)
        if previous is not None and previous != upstream.distance_ms:
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
        best, best_finish_ms = None, 0.0
        for group in self.groups.values():
            upstream = group.choose(need, rng)
            if upstream is None:
                continue
            finish_ms = upstream.finish_ms(need.run_ms)
            if best is None or finish_ms < best_finish_ms:
                best, best_finish_ms = upstream, finish_ms
        return best


@placement_policy("interactive_reserve")
class InteractiveReserve(ExpectedFinish):
    """As `expected_finish`, but batch tasks leave the best slots to interactive ones.

    A batch task takes them once it has waited for `QueueSettings.reserve_wait_ms`.
    """

    reserves_slots = True
