"""Upstream as the placement index of a home sees it."""

from __future__ import annotations

import math
from functools import cache

import attrs

# Speeds within one class, 10 % wide, count as equal: their upstreams are chosen by
# load, and the index is not reordered after each observation.
SPEED_CLASS_LOG = math.log(1.1)


def speed_class(speed: float) -> int:
    """Return the speed class of a relative speed; 0 is the mean of the service."""
    return round(math.log(speed) / SPEED_CLASS_LOG)


@cache
def class_speed(class_number: int) -> float:
    """Return the relative speed at the middle of a speed class."""
    return math.exp(class_number * SPEED_CLASS_LOG)


@attrs.define
class Upstream:
    """An upstream in the placement index of a home.

    Attributes:
        name: Name of the upstream's agent.
        slots: Number of slots that may be used now.
        slots_in_use: Number of slots in use.
        speed_class: Class of the relative speed; see the function `speed_class`.
        distance_ms: One-way network time from the home to the agent.
        memory_mb: Total memory of its worker.
        accelerators: Total number of accelerators of its worker.
        memory_free_mb: Memory that new tasks may use.
        accelerators_free: Number of accelerators that no running task uses.
    """

    name: str
    service: str
    data_centre: str
    slots: int
    slots_in_use: int = 0
    speed_class: int = 0
    distance_ms: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0
    memory_free_mb: int = 0
    accelerators_free: int = 0

    @property
    def free_slots(self) -> int:
        """Number of free slots."""
        return max(0, self.slots - self.slots_in_use)

    @property
    def load_permille(self) -> int:
        """Share of the slots in use, in thousandths."""
        return 1_000 * self.slots_in_use // max(1, self.slots)

    def finish_ms(self, run_ms: float) -> float:
        """Return the expected time until the answer to a task that is sent now, in ms.

        Args:
            run_ms: Run time on an upstream of mean speed.
        """
        return 2 * self.distance_ms + run_ms / class_speed(self.speed_class)
