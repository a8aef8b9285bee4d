"""Registry of the agent's handlers and systems."""

from __future__ import annotations

from ._agent_state import AgentState
from ._systems import CoreRegistry

AGENT: CoreRegistry[AgentState] = CoreRegistry("agent")
