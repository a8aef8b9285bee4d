"""Decision core of the agent: registers an upstream and arbitrates starts."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

# Importing these modules registers their handlers and systems.
from . import _agent_membership, _agent_results, _agent_tasks  # noqa: F401
from ._agent_registry import AGENT
from ._agent_state import AgentState
from ._effects import Effect, Received


class AgentCore:
    """Pure decision code of an agent.

    Args:
        state: The agent's state; the core changes it in place.
    """

    def __init__(self, state: AgentState) -> None:
        self.state = state

    def __repr__(self) -> str:
        return f"<AgentCore {self.state.me}: {len(self.state.running)} running>"

    def step(self, now_ms: int, inbox: Sequence[Any]) -> list[Effect]:
        """Handle a batch of inbox items.

        Args:
            now_ms: The process's clock, read immediately before the call.
            inbox: `Received` messages and local events, in order of arrival.

        Returns:
            The effects to carry out, in order.
        """
        state = self.state
        state.now_ms = now_ms
        for item in inbox:
            if isinstance(item, Received):
                AGENT.handlers[type(item.message)](state, item.sender, item.message)
            else:
                AGENT.handlers[type(item)](state, "", item)
        for _, system in AGENT.systems:
            system(state)
        effects, state.effects = state.effects, []
        return effects

    def next_due_ms(self) -> int | None:
        """Return when the core must step again without an event."""
        forget = self.state.forget.next_due_ms()
        heartbeat = self.state.heartbeat_due_ms
        return heartbeat if forget is None else min(heartbeat, forget)
