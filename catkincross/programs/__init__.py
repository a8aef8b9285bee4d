"""Processes that drive the cores: entry, agent and the demo."""
