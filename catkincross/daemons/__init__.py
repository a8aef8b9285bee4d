"""Processes of the product on the platform: the entry and the agent."""
