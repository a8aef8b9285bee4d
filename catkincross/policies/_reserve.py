"""Reserve of slots that batch tasks leave to interactive tasks for a short time.

A caller waits for an interactive task, so a fast slot should be free when the task
arrives. Batch tasks take reserved slots only after they have waited for
`QueueSettings.reserve_wait_ms`.
"""

from __future__ import annotations

import random

import attrs

from ..placement._fit import TaskNeed
from ..placement._upstream import Upstream
from ..settings._dispatch_settings import QueueSettings
from ._service_slots import ServiceSlots

# Slots are reserved only if an interactive task has arrived within this time.
INTERACTIVE_WINDOW_MS = 10_000
# Bounds the number of upstreams that one choice examines.
MAX_RESERVED_SLOTS = 16


@attrs.define
class InteractiveReservation:
    """Reservation of slots by service, active after arrivals of interactive tasks.

    Attributes:
        last_arrival_ms: When an interactive task last arrived at this home, by service.
    """

    settings: QueueSettings
    last_arrival_ms: dict[str, int] = attrs.field(factory=dict)

    def record_arrival(self, service: str, now_ms: int) -> None:
        """Record the arrival of an interactive task."""
        self.last_arrival_ms[service] = now_ms

    def reserved_slots(self, service: str, total: int, now_ms: int) -> int:
        """Return how many free slots of a service are reserved for interactive tasks.

        Args:
            service: Name of the service.
            total: Number of slots of the service at this home.
            now_ms: The time now.
        """
        arrived_ms = self.last_arrival_ms.get(service)
        if arrived_ms is None or now_ms - arrived_ms > INTERACTIVE_WINDOW_MS:
            return 0
        wanted = self.settings.interactive_reserve_permille * total // 1_000
        return min(MAX_RESERVED_SLOTS, wanted)


def choose_unreserved(
    slots: ServiceSlots, need: TaskNeed, rng: random.Random, reserved: int
) -> Upstream | None:
    """Return the upstream for a batch task, or None if no unreserved slot fits.

    Args:
        slots: The upstreams of the service.
        need: Resource need of the task.
        rng: Source of random choices.
        reserved: Number of free slots to leave free, the best ones first.
    """
    policy, set_aside = slots.policy, []
    remaining = reserved
    while remaining > 0:
        best = policy.choose(need, rng)
        if best is None:
            break
        policy.remove(best.name)
        set_aside.append(best)
        remaining -= best.free_slots
    chosen = policy.choose(need, rng)
    for upstream in set_aside:
        policy.put(upstream)
    if chosen is None and remaining < 0:
        # The last upstream set aside has more free slots than remained to reserve.
        return set_aside[-1]
    return chosen
