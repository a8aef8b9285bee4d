"""Shards that another entry owned between two joins of this one."""

from __future__ import annotations

from catkincross.owner import Append, ClaimShard, OwnerCore, OwnerLimits


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
