"""Tests of the choice of the entries to which agents offer their capacity."""

from __future__ import annotations

from collections import Counter

import attrs

from catkincross.dispatch import offered_entries
from catkincross.peers import AgentState, NotStarted, Start, encode_message
from catkincross.workers import WorkerLimits
from scenarios.platform_model import job, ready_model

ENTRIES = 12


def data_centres(count: int = ENTRIES) -> dict[str, str]:
    """Return the data centre of each entry; the entries are dealt to four in turn."""
    return {f"e{number}": f"dc{number % 4}" for number in range(count)}


def test_capacity_is_offered_to_few_entries_and_not_only_to_local_ones() -> None:
    """With local offers alone, entries of an evacuated data centre have no workers."""
    for number in range(40):
        offered = offered_entries(f"side-{number}", "dc1", data_centres(), 5)
        local = {name for name in offered if data_centres()[name] == "dc1"}
        assert len(offered) == 5
        assert len(local) == 3


def test_offers_spread_evenly_over_the_entries_of_other_data_centres() -> None:
    """An entry that few agents choose would reject jobs while workers are idle."""
    counts: Counter[str] = Counter()
    for number in range(90):
        counts.update(offered_entries(f"side-{number}", "dc1", data_centres(), 5))
    others = [
        counts[name]
        for name, data_centre in data_centres().items()
        if data_centre != "dc1"
    ]
    assert min(others) >= 8
    assert max(others) <= 40


def test_all_entries_are_offered_capacity_while_there_are_few() -> None:
    """The limit on offers must not cost small deployments any capacity."""
    assert offered_entries("side-1", "dc1", data_centres(4), 5) == set(data_centres(4))


def test_messages_of_an_agent_do_not_grow_with_the_number_of_entries() -> None:
    """States for all entries took too much processor time in a day of 81 processes."""
    messages = {}
    for entries in (5, 15):
        model = ready_model(entries=entries, agents=1)
        for number in range(20):
            spec = job(f"{number:016x}", count=1, volatile=True)
            model.submit(f"{number}", spec, f"e{number % 5}", timeout_ms=9_000)
        before = model.sent["u0", AgentState.__name__]
        model.run(1_000)
        messages[entries] = model.sent["u0", AgentState.__name__] - before
    assert messages[15] <= messages[5] * 1.4


def test_runs_of_an_entry_continue_after_the_offer_to_it_ends() -> None:
    """An offer that moves to a new entry must not end the leases of current runs."""
    model = ready_model(entries=5, agents=1)
    spec = job("a" * 16, count=1, volatile=True, estimate_ms=2_000)
    model.machines["u0"].run_ms = 2_000
    agent_state = model.workers["u0"].core.state
    model.submit("post", spec, "e0", timeout_ms=9_000)
    model.run(100)
    number = 5
    while "e0" in agent_state.offered and number < 40:
        model.start_entry(f"e{number}")
        number += 1
    assert "e0" not in agent_state.offered
    model.run(4_000)
    assert model.answers["post"].detail == "completed"
    assert model.count("start") == 1


def test_the_last_entry_gets_the_capacity_of_all_workers() -> None:
    """Workers offered to lost entries alone would stay idle."""
    model = ready_model(entries=8, agents=6)
    for number in range(1, 8):
        model.kill(f"e{number}")
    model.run(1_000)
    agent_rows = model.owners["e0"].core.state.agents.values()
    assert all(row.state is not None and row.state.ready for row in agent_rows)


def test_an_agent_state_is_encoded_in_few_bytes() -> None:
    """Most of the priced traffic between data centres is agent states."""
    message = AgentState(9_999_999_999, 32_000, 131_072, 8, True, 999_999)
    assert len(encode_message(message)) < 100


def play_overload(turn_ms: int) -> tuple[int, int, int]:
    """Play a load above the capacity at all five entries of three workers.

    Returns:
        Start orders, refused start orders, and completed jobs.
    """
    model = ready_model(entries=5, agents=3)
    for machine in model.machines.values():
        machine.run_ms = 150
    for host in model.workers.values():
        limits = host.core.state.limits
        host.core.update_limits(attrs.evolve(limits, turn_ms=turn_ms))
    for number in range(300):
        spec = job(f"{number:016x}", count=2, volatile=True, estimate_ms=150)
        model.submit(f"{number}", spec, f"e{number % 5}", timeout_ms=2_500)
        if number % 5 == 4:
            model.run(100)
    model.run(3_000)
    orders = sum(model.sent[agent, Start.__name__] for agent in model.workers)
    refused = sum(model.sent[agent, NotStarted.__name__] for agent in model.workers)
    outcomes = [answer.outcome for answer in model.answers.values()]
    return orders, refused, outcomes.count("state")


def test_entries_learn_of_free_capacity_in_turn() -> None:
    """In a burst over twelve entries, half of all start orders were refused.

    All entries with waiting tasks learned of free capacity at the same time.
    """
    _, refused_without, completed_without = play_overload(turn_ms=0)
    orders, refused, completed = play_overload(WorkerLimits().turn_ms)
    assert refused < refused_without / 2
    assert refused <= orders / 4
    assert completed >= completed_without
