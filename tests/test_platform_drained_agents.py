"""Agents that have left, in the logs of the shards."""

from __future__ import annotations

import pytest

from scenarios.platform_model import SETTLE_MS, Model


@pytest.mark.parametrize(("drains", "forgotten_ms"), [(True, 300), (False, 3_600)])
def test_a_later_owner_does_not_wait_for_an_agent_that_has_left(
    drains: bool, forgotten_ms: int
) -> None:
    """It stayed in the logs of the shards as a possible holder of runs.

    An agent that was killed may still have runs on its worker for some time.
    """
    model = Model(entries=1, agents=3)
    model.run(SETTLE_MS)
    if drains:
        model.workers["u2"].core.leave(model.now_ms)
        model.run(500)
    core = model.owners["e0"].core
    assert all("u2" in shard.recorded_agents for shard in core.state.shards.values())
    model.workers.pop("u2").up = False
    core.handle_agent_lost(model.now_ms, "u2")
    model.run(250)
    recorded = [shard.recorded_agents for shard in core.state.shards.values()]
    assert all(("u2" in names) is not drains for names in recorded)
    model.run(forgotten_ms)
    assert not any(
        "u2" in shard.recorded_agents for shard in core.state.shards.values()
    )
    model.kill("e0")
    model.run(100)
    model.start_entry("e0")
    model.assign()
    model.run(600)
    core = model.owners["e0"].core
    assert core.state.shards
    assert not any(shard.unresolved for shard in core.state.shards.values())
