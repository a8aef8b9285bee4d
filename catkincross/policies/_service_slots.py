"""Slots of the upstreams of one service at a home, indexed for placement."""

from __future__ import annotations

from collections import Counter

import attrs

from ..placement._fit import MemoryIndex
from ..placement._placement import PLACEMENT_POLICIES, PlacementPolicy
from ..placement._slot_forecast import SlotForecast
from ..placement._upstream import Upstream, class_speed


@attrs.define
class DataCentreTotals:
    """Sums over the upstreams of one data centre.

    Attributes:
        upstreams: Number of upstreams.
        slots: Number of slots that may be used.
        slots_in_use: Number of slots in use.
        free_slots: Number of free slots.
        free_classes: Number of upstreams with a free slot, by speed class.
        speed_in_use: Sum of the relative speeds of all slots in use.
    """

    upstreams: int = 0
    slots: int = 0
    slots_in_use: int = 0
    free_slots: int = 0
    free_classes: Counter[int] = attrs.field(factory=Counter)
    speed_in_use: float = 0.0

    def update_totals(self, row: Upstream, sign: int) -> None:
        """Add an upstream (sign 1) or remove it (sign -1)."""
        self.upstreams += sign
        self.slots += sign * row.slots
        self.slots_in_use += sign * row.slots_in_use
        self.free_slots += sign * row.free_slots
        self.speed_in_use += sign * row.slots_in_use * class_speed(row.speed_class)
        if row.free_slots > 0:
            self.update_free_class(row, sign)

    def update_free_class(self, row: Upstream, sign: int) -> None:
        """Add (sign 1) or remove (sign -1) an upstream in `free_classes`."""
        self.free_classes[row.speed_class] += sign
        if not self.free_classes[row.speed_class]:
            del self.free_classes[row.speed_class]


class ServiceSlots:
    """Upstreams of one service that accept tasks, with the placement policy's index.

    Args:
        policy: Name of the placement policy.

    Attributes:
        upstreams: Upstreams by name.
        data_centres: Totals by data centre.
        forecast: Expected ends of the running tasks.
        total_memory: Index of the upstreams by total memory and accelerators.
        policy: Index of the upstreams with a free slot, from which one is chosen.
    """

    def __init__(self, policy: str) -> None:
        self.policy: PlacementPolicy = PLACEMENT_POLICIES[policy]()
        self.upstreams: dict[str, Upstream] = {}
        self.data_centres: dict[str, DataCentreTotals] = {}
        self.forecast = SlotForecast()
        self.total_memory = MemoryIndex()

    def put(self, row: Upstream) -> None:
        """Add an upstream, or replace it if the name is known."""
        self.remove(row.name)
        self.upstreams[row.name] = row
        self.total_memory.put(row.name, row.memory_mb, row.accelerators)
        self.data_centres.setdefault(row.data_centre, DataCentreTotals()).update_totals(
            row, 1
        )
        if row.free_slots > 0:
            self.policy.put(row)

    def remove(self, name: str) -> None:
        """Remove an upstream; unknown names are ignored."""
        row = self.upstreams.pop(name, None)
        if row is None:
            return
        self.policy.remove(name)
        self.total_memory.remove(name)
        totals = self.data_centres[row.data_centre]
        totals.update_totals(row, -1)
        if not totals.upstreams:
            del self.data_centres[row.data_centre]

    def allocate(
        self, name: str, slots: int, memory_mb: int, accelerators: int
    ) -> None:
        """Count resources that a task takes; negative values return them."""
        row = self.upstreams.get(name)
        if row is None:
            return
        totals = self.data_centres[row.data_centre]
        free_before = row.free_slots
        row.slots_in_use += slots
        row.memory_free_mb -= memory_mb
        row.accelerators_free -= accelerators
        free_after = row.free_slots
        totals.slots_in_use += slots
        totals.speed_in_use += slots * class_speed(row.speed_class)
        totals.free_slots += free_after - free_before
        if (free_before > 0) != (free_after > 0):
            totals.update_free_class(row, 1 if free_after else -1)
        if free_after > 0:
            self.policy.put(row)
        else:
            self.policy.remove(name)

    @property
    def free_slots(self) -> int:
        """Number of free slots of all upstreams."""
        return sum(totals.free_slots for totals in self.data_centres.values())

    @property
    def slots(self) -> int:
        """Number of slots of all upstreams."""
        return sum(totals.slots for totals in self.data_centres.values())
