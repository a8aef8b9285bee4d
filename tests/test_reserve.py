"""Guards against batch tasks in the slots that are reserved for interactive ones."""

from __future__ import annotations

import random

from catkincross.placement._fit import TaskNeed
from catkincross.placement._upstream import Upstream
from catkincross.policies._reserve import (
    INTERACTIVE_WINDOW_MS,
    InteractiveReservation,
    choose_unreserved,
)
from catkincross.policies._service_slots import ServiceSlots
from catkincross.settings import QueueSettings

NEED = TaskNeed(100, 0, 0)


def slots_of(*rows: tuple[str, int, int]) -> ServiceSlots:
    """Return an index of upstreams given as name, slots and speed class."""
    slots = ServiceSlots("interactive_reserve")
    for name, count, speed_class in rows:
        slots.put(Upstream(name, "s", "d", count, speed_class=speed_class))
    return slots


def chosen(slots: ServiceSlots, reserved: int) -> str | None:
    """Return the name of the upstream for a batch task."""
    upstream = choose_unreserved(slots, NEED, random.Random(1), reserved)
    return upstream.name if upstream else None


def test_batch_tasks_leave_the_fastest_slots() -> None:
    # Guards against batch tasks that take the slots reserved for interactive ones.
    slots = slots_of(("fast", 2, 4), ("slow", 2, -4))
    assert chosen(slots, 0) == "fast"
    assert chosen(slots, 2) == "slow"
    assert chosen(slots, 4) is None


def test_slots_beyond_the_reserve_are_used() -> None:
    # Guards against a reserve that keeps an upstream's other free slots idle.
    assert chosen(slots_of(("only", 3, 0)), 2) == "only"


def test_a_choice_leaves_the_index_as_it_was() -> None:
    # Guards against upstreams that a choice sets aside and does not put back.
    slots = slots_of(("fast", 2, 4), ("slow", 2, -4))
    chosen(slots, 2)
    assert slots.policy.choose(NEED, random.Random(1)).name == "fast"


def test_nothing_is_reserved_without_interactive_work() -> None:
    # Guards against slots that stay idle where no interactive tasks arrive.
    reserve = InteractiveReservation(QueueSettings(interactive_reserve_permille=100))
    assert reserve.reserved_slots("s", 80, 0) == 0
    reserve.record_arrival("s", 1_000)
    assert reserve.reserved_slots("s", 80, 1_000) == 8
    assert reserve.reserved_slots("s", 80, 1_001 + INTERACTIVE_WINDOW_MS) == 0
