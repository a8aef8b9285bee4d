"""Tests of the links that agents keep, and of the entries that they know."""

from __future__ import annotations

import pytest

from catkincross.dispatch import LiveHolder, NoHolder, PeerVolatileJobs
from catkincross.jobs import AgentsUsed, decode_record
from catkincross.peers import (
    STORE_SOURCE,
    EntryDirectory,
    Greeting,
    Members,
    announcement,
)
from scenarios.platform_model import SETTLE_MS, Model, job, ready_model
from scenarios.volatile_model import VolatileModel


def links(model: Model) -> int:
    """Return the number of open links between entries and agents."""
    return sum(len(host.core.state.entries) for host in model.workers.values())


def test_links_grow_with_the_agents_and_not_with_the_entries() -> None:
    """5,600 links between 160 agents and 35 entries took most of the idle work."""
    assert links(ready_model(entries=5, agents=12)) == 60
    assert links(ready_model(entries=35, agents=12)) == 60


def test_messages_of_an_idle_fleet_grow_with_the_agents_only() -> None:
    """States to every entry made 22,400 messages a second of 160 agents."""
    totals = {}
    for entries in (5, 30):
        model = ready_model(entries=entries, agents=10)
        before = model.sent.total()
        model.run(2_000)
        totals[entries] = model.sent.total() - before
    assert totals[30] <= totals[5] * 1.1


@pytest.mark.parametrize("restarted", [False, True])
def test_a_new_owner_without_links_learns_of_the_runs_of_a_lost_one(
    restarted: bool,
) -> None:
    """A takeover by an entry that no agent knows would run every task twice."""
    model = ready_model(entries=14, agents=12)

    def agents_of(entry: str) -> set[str]:
        return {
            name
            for name, host in model.workers.items()
            if entry in host.core.state.offered
        }

    spec = job("b" * 16, count=5, estimate_ms=3_000)
    for machine in model.machines.values():
        machine.run_ms = 3_000
    first = "e0"
    model.deal_to([first])
    model.run(1_000)
    model.submit("post", spec, first)
    model.run(300)
    holders = {task.agent for task in model_job(model, first, spec.id).all_tasks()}
    assert model.count("start") == 5
    stranger = min(model.owners, key=lambda name: len(agents_of(name) & holders))
    assert not agents_of(stranger) & holders
    model.kill(first)
    if restarted:
        for agent in sorted(holders):
            model.kill(agent)
            model.start_agent(agent)
    model.run(1_000)
    model.deal_to([stranger])
    model.run(1_200)
    shard = model.owners[stranger].core.state.shard_for(spec.id)
    assert shard is not None
    assert not shard.unresolved
    model.run(6_000)
    assert not model.overlapping()
    assert model_job(model, stranger, spec.id).state == "completed"


def model_job(model: Model, entry: str, job_id: str):
    """Return a job as its owner has it."""
    return model.owners[entry].core.state.shard_for(job_id).jobs[job_id]


def test_only_connected_agents_are_recorded_for_a_shard() -> None:
    """A new owner waits for every recorded agent, so strangers must not be among them.

    Otherwise the records of a shard would grow with the fleet.
    """
    model = ready_model(entries=12, agents=20)
    recorded: set[str] = set()
    for data in model.store.read(0):
        record = decode_record(data)
        if isinstance(record, AgentsUsed):
            recorded |= set(record.names)
    assert 0 < len(recorded) < 20


def test_a_link_to_a_suspected_entry_is_retried_and_offers_nothing() -> None:
    """Capacity that is offered to an entry that does not answer stays unused."""
    model = ready_model(entries=8, agents=3)
    agent = model.workers["u0"].core
    suspect = sorted(agent.state.offered)[0]
    model.owners[suspect].frozen_until_ms = model.now_ms + 6_000
    model.run(3_000)
    assert suspect not in agent.state.offered
    assert len(agent.state.offered) == 5
    model.run(5_000)
    assert suspect in agent.state.offered


@pytest.mark.parametrize("lease_age_ms", [0, 200, 400])
def test_runs_go_on_when_a_connection_to_their_entry_is_reset(
    lease_age_ms: int,
) -> None:
    """A reset of the link must not end the runs of an entry that is well.

    The agent opened the link again after 500 ms, and 17 runs were stopped since the
    lease of their entry had lapsed meanwhile.
    """
    model = ready_model(entries=1, agents=1)
    model.machines["u0"].run_ms = 3_000
    model.submit("r", job("a" * 16, volatile=True), "e0", timeout_ms=9_000)
    model.run(300)
    assert model.count("start") == 4
    agent = model.workers["u0"].core
    entry_info = agent.state.entries["e0"]
    entry_info.lease_received_ms -= lease_age_ms
    entry_info.volatile_until_ms -= lease_age_ms
    for run in agent.state.runs.values():
        run.expires_ms -= lease_age_ms
    agent.handle_entry_lost(model.now_ms, "e0")
    model.owners["e0"].core.handle_agent_lost(model.now_ms, "u0")
    model.run(4_000)
    assert model.answers["r"].outcome == "state"
    assert model.count("start") == 4


def test_a_link_that_is_not_wanted_any_more_is_closed() -> None:
    """Links that are kept for ever would add up to one for each pair."""
    model = ready_model(entries=5, agents=4)
    for number in range(5, 20):
        model.start_entry(f"e{number}")
    model.run(5_000)
    assert links(model) == 20


def test_an_entry_that_has_left_does_not_come_back() -> None:
    """An old announcement must not bring an entry back that others have dropped."""
    directory = EntryDirectory()
    directory.replace(STORE_SOURCE, {"a": "dc1"})
    directory.apply("a", Members({"a": "dc1", "b": "dc2"}, [], complete=True))
    assert directory.known() == {"a": "dc1", "b": "dc2"}
    directory.apply("a", announcement({"a": "dc1", "b": "dc2"}, {"a": "dc1"}))
    assert directory.known() == {"a": "dc1"}
    directory.apply("a", Members({"c": ""}, [], complete=False))
    directory.forget("a")
    assert directory.known() == {"a": "dc1"}
    directory.replace(STORE_SOURCE, {})
    assert directory.known() == {}


def test_a_job_that_ends_and_begins_again_is_announced_as_held() -> None:
    """Another entry that takes it for ended would run it at the same time."""
    model = ready_model(entries=1, agents=1)
    core = model.owners["e0"].core
    spec = job("c" * 16, count=1, volatile=True)
    model.machines["u0"].run_ms = 1_000
    model.submit("first", spec, "e0", timeout_ms=9_000)
    model.run(100)
    core.take_volatile_changes()
    core.abandon(model.now_ms, "first", spec.id)
    model.submit("again", spec, "e0", timeout_ms=9_000)
    model.run(500)
    assert model.count("start") == 2
    changes = core.take_volatile_changes()
    peers = PeerVolatileJobs(2_250)
    greeting = Greeting("entry", "e0", 1, "1.1.1.1:1")
    peers.add_entry(greeting)
    peers.update(greeting, changes, model.now_ms)
    assert peers.find_holder(spec.id, model.now_ms) == LiveHolder("1.1.1.1:1")
    assert peers.find_holder("d" * 16, model.now_ms) == NoHolder()


@pytest.mark.parametrize("every", [1, 2])
def test_links_that_fall_silent_for_good_are_replaced(every: int) -> None:
    """deploy/days/severed: nothing but a limit of its own shows such a connection."""
    model = VolatileModel(entries=3, agents=6)
    model.run(SETTLE_MS)
    for machine in model.machines.values():
        machine.run_ms = 400
    model.submit("first", job("a" * 16, volatile=True), "e0", timeout_ms=9_000)
    model.run(200)
    for link in list(model.agent_links.values())[::every]:
        link.to_agent.dead = link.to_entry.dead = True
    # The limit for silent links, a look each 200 ms, and a pause of 500 ms.
    model.run(1_600 + 200 + 500)
    for entry in model.owners:
        spec = job(entry[1:] * 16, count=12, volatile=True)
        model.submit(entry, spec, entry, timeout_ms=3_000)
    model.run(5_000)
    ended = [
        fields["state"] for _, _, event, fields in model.notes if event == "job ended"
    ]
    assert ended == ["completed"] * 4
    assert model.overlapping() == []
