"""Daemons that run the decision cores: entry, agent, and a demo system."""
