"""Shards that another entry owned between two joins of this one."""

from __future__ import annotations

import pytest

from catkincross.owner import Append, ClaimShard, OwnerCore, OwnerLimits
from scenarios.platform_model import job, ready_model

JOB = "5c0e7a21d94b36f8"


def test_a_shard_that_had_another_owner_between_two_joins_is_checked() -> None:
    """The other owner has fenced this one, which kept the shard under its old epoch.

    Agents follow the higher epoch and tell this owner nothing, so that the jobs of the
    shard stood still until the next append, for 70 to 95 s.
    """
    core = OwnerCore("e0", OwnerLimits(shards=4), 1)
    core.update_shard_assignment(1_000, 990, [2], 18)
    core.handle_shard_claimed(1_010, 2, 18, [])
    core.step(1_020)
    core.update_shard_assignment(1_500, 1_490, [2], 20)
    effects = []
    for now_ms in range(1_500, 2_500, 50):
        effects += core.step(now_ms)
    calls = [effect for effect in effects if isinstance(effect, Append | ClaimShard)]
    assert [call.shard for call in calls] == [2]


@pytest.mark.parametrize("ask", ["cancel", "job_state"])
def test_a_former_owner_does_not_deny_a_job_of_the_next_one(ask: str) -> None:
    """It had not joined since, answered 410, and the job ran on."""
    model = ready_model(entries=2)
    spec = job(JOB)
    former = model.owner_of(spec)
    successor = "e1" if former == "e0" else "e0"
    model.deal_to([successor])
    model.run(20)
    model.submit("post", spec, successor)
    model.run(20)
    assert model.answers["post"].outcome == "accepted"
    host = model.owners[former]
    assert host.core.state.shard_for(JOB) is not None
    getattr(host.core, ask)(model.now_ms, "ask", JOB)
    model.run(50)
    assert model.answers["ask"].outcome == "moved"


@pytest.mark.parametrize("ask", ["cancel", "job_state"])
def test_an_owner_denies_an_unknown_job(ask: str) -> None:
    """The check of its epoch must not keep the answer back."""
    model = ready_model(entries=2)
    host = model.owners[model.owner_of(job(JOB))]
    getattr(host.core, ask)(model.now_ms, "ask", JOB)
    model.run(50)
    assert model.answers["ask"].outcome == "gone"


@pytest.mark.parametrize("ask", ["cancel", "job_state"])
def test_an_owner_that_reaches_no_store_denies_no_job(ask: str) -> None:
    """Nothing shows that no other entry has accepted the job."""
    model = ready_model(entries=2)
    host = model.owners[model.owner_of(job(JOB))]
    model.store.down = True
    getattr(host.core, ask)(model.now_ms, "ask", JOB)
    model.run(800)
    assert model.answers["ask"].outcome in ("unknown", "moved")
