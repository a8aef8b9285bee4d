"""Registry of the agent's handlers and systems."""

from __future__ import annotations

from ..foundation._core_registry import CoreRegistry
from ._agent_state import AgentState

AGENT: CoreRegistry[AgentState] = CoreRegistry("agent")
