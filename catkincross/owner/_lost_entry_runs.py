"""Proof by the agents that no run of a lost entry's volatile jobs goes on.

Load pattern: all hosts lose power and are back after some seconds. No entry can tell
which volatile jobs had begun, but the agents know which runs are on their workers.
"""

from __future__ import annotations

from ._shard import ShardPhase
from ._state import OwnerState


def lost_runs_ended(state: OwnerState, since_ms: int) -> bool:
    """Whether all known agents have told that they have no run of a lost entry.

    The shards' logs name the agents of earlier owners, which have to report first.

    Args:
        state: State of the owner.
        since_ms: Time before which the entries were lost, on the owner's clock in
            milliseconds.
    """
    if not state.shards:
        return False
    for shard in state.shards.values():
        if shard.phase is not ShardPhase.OPEN or shard.unresolved:
            return False
    clear_agents = 0
    for agent_info in state.agents.values():
        if agent_info.connected:
            if not agent_info.leases_seen_since(since_ms):
                return False
            clear_agents += 1
        elif not agent_info.drained:
            # Lost entries may have given it leases until their end.
            lost_ms = max(agent_info.lost_ms, since_ms)
            if state.now_ms - lost_ms < state.limits.volatile_expiry_ms:
                return False
    return clear_agents > 0
