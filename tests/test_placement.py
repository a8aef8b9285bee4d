"""Guards against placement that loses, misjudges or returns removed upstreams."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given, settings, strategies as st

from catkincross.placement._fit import TaskNeed
from catkincross.placement._placement import PLACEMENT_POLICIES
from catkincross.placement._slot_forecast import SlotForecast
from catkincross.placement._upstream import Upstream
from catkincross.policies._service_slots import ServiceSlots

CHANGES = st.lists(
    st.tuples(
        st.sampled_from(["put", "remove", "start", "end"]),
        st.integers(0, 5),
        st.integers(0, 3),
        st.integers(-3, 3),
    ),
    max_size=60,
)


def upstream(name: str, **changes: object) -> Upstream:
    """Return an upstream with one slot, with the given values changed."""
    values = {"slots": 1, "memory_free_mb": 1_000, **changes}
    return Upstream(name, "s", "d", **values)


@pytest.mark.parametrize("policy", PLACEMENT_POLICIES)
@settings(derandomize=True, max_examples=60)
@given(changes=CHANGES)
def test_index_agrees_with_a_scan_of_all_upstreams(policy: str, changes: list) -> None:
    # Guards against placement on a full or removed upstream, and against slots that
    # stay idle.
    slots, rng, need = ServiceSlots(policy), random.Random(1), TaskNeed(100, 10)
    for action, number, count, speed in changes:
        name = f"u{number}"
        row = slots.upstreams.get(name)
        if action == "put":
            slots.put(upstream(name, slots=count, speed_class=speed))
        elif action == "remove":
            slots.remove(name)
        elif action == "end" and row is not None and row.slots_in_use > 0:
            slots.allocate(name, -1, -300, 0)
        elif action == "start":
            chosen = slots.policy.choose(need, rng)
            fitting = [
                row
                for row in slots.upstreams.values()
                if row.slots_in_use < row.slots and row.memory_free_mb >= 10
            ]
            assert (chosen is None) == (not fitting)
            if chosen is not None:
                assert chosen in fitting
                slots.allocate(chosen.name, 1, 300, 0)
    assert slots.free_slots == sum(row.free_slots for row in slots.upstreams.values())


def test_expected_finish_weighs_distance_against_speed() -> None:
    # Guards against a short task on a fast but distant upstream, where the network
    # time exceeds the run time that is saved.
    slots = ServiceSlots("expected_finish")
    slots.put(upstream("near", speed_class=0))
    slots.put(upstream("far", speed_class=5, distance_ms=10.0))
    rng = random.Random(1)
    assert slots.policy.choose(TaskNeed(20), rng).name == "near"
    assert slots.policy.choose(TaskNeed(500), rng).name == "far"


def test_the_only_upstream_with_enough_memory_is_found() -> None:
    # Guards against a bounded scan that stops before the only upstream that fits.
    slots = ServiceSlots("expected_finish")
    for number in range(100):
        slots.put(upstream(f"u{number}", speed_class=5, memory_free_mb=10))
    slots.put(upstream("large", speed_class=-5, memory_free_mb=64_000))
    chosen = slots.policy.choose(TaskNeed(100, 32_000), random.Random(1))
    assert chosen is not None and chosen.name == "large"


def test_a_long_task_waits_for_a_fast_slot_and_a_short_one_does_not() -> None:
    # Guards against a job whose last, long task starts on the slowest upstream.
    forecast = SlotForecast()
    forecast.add("running", 10, 1_050.0)
    claims = Counter()
    assert forecast.find_faster_slot_ms(1_000, 20, -10, claims) is None
    assert forecast.find_faster_slot_ms(1_000, 1_000, -10, claims) == 1_050.0
    # The slot is claimed now, so a second task has none to wait for.
    assert forecast.find_faster_slot_ms(1_000, 1_000, -10, claims) is None
