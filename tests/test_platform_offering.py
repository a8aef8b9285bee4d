"""Tests of the entries to which agents offer their room."""

from __future__ import annotations

from collections import Counter

from catkincross.dispatch import offered_entries
from catkincross.peers import AgentState, encode_message
from scenarios.platform_model import job, ready_model

ENTRIES = 12


def places(count: int = ENTRIES) -> dict[str, str]:
    """Return entries of four data centres in turn."""
    return {f"e{number}": f"dc{number % 4}" for number in range(count)}


def test_room_is_offered_to_few_entries_and_not_only_to_local_ones() -> None:
    """An evacuated data centre's entries would otherwise have no worker at all."""
    for number in range(40):
        found = offered_entries(f"side-{number}", "dc1", places(), 5)
        local = {name for name in found if places()[name] == "dc1"}
        assert len(found) == 5
        assert len(local) == 3


def test_offers_spread_evenly_over_the_entries_of_other_data_centres() -> None:
    """An entry that few agents choose would have to reject work beside idle workers."""
    counts: Counter[str] = Counter()
    for number in range(90):
        counts.update(offered_entries(f"side-{number}", "dc1", places(), 5))
    others = [counts[name] for name, place in places().items() if place != "dc1"]
    assert min(others) >= 8
    assert max(others) <= 40


def test_all_entries_are_offered_room_while_there_are_few() -> None:
    """Small deployments must not lose capacity by the limit."""
    assert offered_entries("side-1", "dc1", places(4), 5) == set(places(4))


def test_messages_of_an_agent_do_not_grow_with_the_number_of_entries() -> None:
    """A day of 81 processes took more processor time than it may, by such messages."""
    found = {}
    for entries in (5, 15):
        model = ready_model(entries=entries, agents=1)
        for number in range(20):
            spec = job(f"{number:016x}", count=1, volatile=True)
            model.submit(f"{number}", spec, f"e{number % 5}", limit_ms=9_000)
        before = model.sent["u0", AgentState.__name__]
        model.run(1_000)
        found[entries] = model.sent["u0", AgentState.__name__] - before
    assert found[15] <= found[5] * 1.4


def test_runs_of_an_entry_outlive_the_end_of_the_offer() -> None:
    """An entry that returns takes an offer away, but not the leases of runs."""
    model = ready_model(entries=5, agents=1)
    spec = job("a" * 16, count=1, volatile=True, estimate_ms=2_000)
    model.machines["u0"].run_ms = 2_000
    offered = model.workers["u0"].core.state
    model.submit("post", spec, "e0", limit_ms=9_000)
    model.run(100)
    number = 5
    while "e0" in offered.offered and number < 40:
        model.start_entry(f"e{number}")
        number += 1
    assert "e0" not in offered.offered
    model.run(4_000)
    assert model.answers["post"].detail == "completed"
    assert model.count("start") == 1


def test_an_entry_that_is_left_alone_gets_all_workers() -> None:
    """The loss of all other entries must not strand their workers."""
    model = ready_model(entries=8, agents=6)
    for number in range(1, 8):
        model.kill(f"e{number}")
    model.run(1_000)
    rows = model.owners["e0"].core.state.agents.values()
    assert all(row.state is not None and row.state.ready for row in rows)


def test_a_state_takes_few_bytes() -> None:
    """States are most of the bytes between data centres, which are priced."""
    content = AgentState(9_999_999_999, 32_000, 131_072, 8, True, 999_999)
    assert len(encode_message(content)) < 100
