"""Decision core of the agent, which registers its upstream and admits starts."""

from __future__ import annotations

from ..protocol._core import Core

# Importing these modules registers their handlers and systems.
from . import _agent_membership, _agent_results, _agent_tasks  # noqa: F401
from ._agent_registry import AGENT
from ._agent_state import AgentState


class AgentCore(Core[AgentState]):
    """Decisions of an agent, without input or output."""

    registry = AGENT

    def __repr__(self) -> str:
        return (
            f"<AgentCore {self.state.incarnation}: {len(self.state.running)} running>"
        )

    def next_step_ms(self) -> int | None:
        """Return when the next step is due if no event arrives before."""
        expiry_due_ms = self.state.start_expiry.next_due_ms()
        next_heartbeat_ms = self.state.heartbeat_due_ms
        return (
            next_heartbeat_ms
            if expiry_due_ms is None
            else min(next_heartbeat_ms, expiry_due_ms)
        )
