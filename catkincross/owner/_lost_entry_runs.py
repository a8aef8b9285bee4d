"""Proof by the agents that no run of a lost entry's volatile jobs goes on.

Load pattern: all hosts lose power and are back after some seconds. No entry can tell
which volatile jobs had begun, but the agents know which runs are on their workers.
"""

from __future__ import annotations

from ._shard import ShardPhase
from ._state import OwnerState


def lost_runs_ended(state: OwnerState, since_ms: int) -> bool:
    """Whether all agents have told that their workers have no run of a lost entry.

    The shards' logs name the agents of earlier processes, which have to be connected.
    The proof holds only while every agent has a link to every entry.

    Args:
        state: State of the owner.
        since_ms: Earliest time at which an agent's state may have been received, on
            the owner's clock in milliseconds.
    """
    if not state.shards:
        return False
    for shard in state.shards.values():
        if shard.phase is not ShardPhase.OPEN or shard.unresolved:
            return False
    clear_agents = 0
    for agent_info in state.agents.values():
        if agent_info.connected:
            agent_state = agent_info.state
            if agent_state is None or agent_info.received_ms < since_ms:
                return False
            if agent_state.unleased_runs:
                return False
            clear_agents += 1
        elif state.now_ms - agent_info.lost_ms < state.limits.volatile_expiry_ms:
            return False
    return clear_agents > 0
